package relay

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// Outside is the node of a connection that no known process opened.
const Outside = "outside"

// source returns the node that opened the connection with the given remote
// address. It looks a few times, because a socket shows up in the system's
// table a moment after the connection is accepted.
func (n *Net) source(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok {
		return Outside
	}
	n.mu.Lock()
	pids := make(map[string]int, len(n.pids))
	for name, pid := range n.pids {
		pids[name] = pid
	}
	n.mu.Unlock()
	for range 3 {
		if inode := inodeOf(t.Port); inode != "" {
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

// inodeOf returns the inode of the loopback socket with the given local port.
func inodeOf(port int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	local := fmt.Sprintf("0100007F:%04X", port)
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		fields := strings.Fields(sc.Text())
		if len(fields) > 9 && fields[1] == local && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

// holds reports whether a process has the socket open.
func holds(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if at, err := os.Readlink(dir + "/" + e.Name()); err == nil && at == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
