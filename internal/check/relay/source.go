package relay

import (
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
)

// Outside is the node of a connection that no known process opened.
const Outside = "outside"

// origin is the node that opened an accepted connection.
type origin struct {
	net  *Net
	conn net.Conn
	mu   sync.Mutex
	name string
}

// find returns the node, or Outside while it is not known: a process connects
// to others before its identifier is known here.
func (o *origin) find() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.name == "" {
		o.name = o.net.source(o.conn)
	}
	if o.name == "" {
		return Outside
	}
	return o.name
}

// source looks for the node that opened c; it returns an empty name if none
// of the known processes did.
func (n *Net) source(c net.Conn) string {
	far, ok1 := c.RemoteAddr().(*net.TCPAddr)
	near, ok2 := c.LocalAddr().(*net.TCPAddr)
	if !ok1 || !ok2 {
		return ""
	}
	inode := inodeOf(far, near)
	if inode == 0 {
		return ""
	}
	n.mu.Lock()
	pids := maps.Clone(n.pids)
	n.mu.Unlock()
	for name, pid := range pids {
		if holds(pid, inode) {
			return name
		}
	}
	return ""
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
