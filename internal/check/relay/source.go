package relay

import (
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
)

// UnknownNode is the node of a connection that no known process opened.
const UnknownNode = "outside"

// opener identifies the node that opened an accepted connection.
type opener struct {
	net  *Network
	conn net.Conn
	mu   sync.Mutex
	// name is empty until the node is identified.
	name string
}

// node returns the node, or UnknownNode while it is not identified: a process
// may open connections before it is registered.
func (o *opener) node() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.name == "" {
		o.name = o.net.findOpener(o.conn)
	}
	if o.name == "" {
		return UnknownNode
	}
	return o.name
}

// findOpener returns the node that opened c, or an empty string if none of the
// registered processes did.
func (n *Network) findOpener(c net.Conn) string {
	remote, remoteOK := c.RemoteAddr().(*net.TCPAddr)
	local, localOK := c.LocalAddr().(*net.TCPAddr)
	if !remoteOK || !localOK {
		return ""
	}
	// The opener's socket has the two addresses the other way round.
	inode := socketInode(remote, local)
	if inode == 0 {
		return ""
	}
	n.mu.Lock()
	pids := maps.Clone(n.pids)
	n.mu.Unlock()
	for name, pid := range pids {
		if ownsSocket(pid, inode) {
			return name
		}
	}
	return ""
}

// ownsSocket reports whether a process has the socket open.
func ownsSocket(pid int, inode uint32) bool {
	dir, want := fmt.Sprintf("/proc/%d/fd", pid), fmt.Sprintf("socket:[%d]", inode)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if target, err := os.Readlink(dir + "/" + e.Name()); err == nil && target == want {
			return true
		}
	}
	return false
}
