package relay

import (
	"fmt"
	"net"
	"os"
	"time"
)

// Outside is the node of a connection that no known process opened.
const Outside = "outside"

// source returns the node that opened an accepted connection. It looks a few
// times, because a process may not have its socket in its table yet.
func (n *Net) source(c net.Conn) string {
	far, ok1 := c.RemoteAddr().(*net.TCPAddr)
	near, ok2 := c.LocalAddr().(*net.TCPAddr)
	if !ok1 || !ok2 {
		return Outside
	}
	n.mu.Lock()
	pids := make(map[string]int, len(n.pids))
	for name, pid := range n.pids {
		pids[name] = pid
	}
	n.mu.Unlock()
	for range 3 {
		if inode := inodeOf(far, near); inode != 0 {
			for name, pid := range pids {
				if holds(pid, inode) {
					return name
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return Outside
}

// holds reports whether a process has the socket open.
func holds(pid int, inode uint32) bool {
	dir, want := fmt.Sprintf("/proc/%d/fd", pid), fmt.Sprintf("socket:[%d]", inode)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if at, err := os.Readlink(dir + "/" + e.Name()); err == nil && at == want {
			return true
		}
	}
	return false
}
