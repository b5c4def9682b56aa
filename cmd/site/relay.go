package main

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// relay passes the connections of one failure domain on to the platform. While
// its file exists, the failure domain is cut off: open connections are closed
// and new ones refused.
type relay struct {
	to, file string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// listen starts a relay, which runs until the process ends.
func listen(address, to, file string) (*relay, error) {
	// A file of an earlier run would cut the new one.
	if err := os.Remove(file); err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{to: to, file: file, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(c)
		}
	}()
	return r, nil
}

// update looks whether the file exists, and reports a change.
func (r *relay) update() bool {
	_, err := os.Stat(r.file)
	if r.cut.Swap(err == nil) == (err == nil) {
		return false
	}
	if err == nil {
		r.mu.Lock()
		for c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
	}
	return true
}

func (r *relay) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer to.Close()
	r.mu.Lock()
	r.conns[from] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	// Under the lock's order, a cut that came before the registration is seen
	// here, and a later one closes the connection.
	if r.cut.Load() {
		return
	}
	go func() {
		_, _ = io.Copy(to, from) // the end of either direction ends both
		to.Close()
	}()
	_, _ = io.Copy(from, to)
}
