package main

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// relay is a TCP proxy between the daemons of one failure domain and the
// platform. While its file exists, the failure domain is partitioned from the
// platform: open connections are closed and new ones are closed on arrival.
type relay struct {
	to, file string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// startRelay starts a relay that runs until the process ends.
func startRelay(address, to, file string) (*relay, error) {
	// A file left by a previous run would partition the new deployment.
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
			go r.forward(c)
		}
	}()
	return r, nil
}

// updateCut checks whether the file exists and reports whether that changed.
func (r *relay) updateCut() bool {
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

// forward copies data in both directions between a client connection and the
// platform.
func (r *relay) forward(from net.Conn) {
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
	// updateCut sets cut before it locks mu. So a cut that missed this connection
	// is visible here, and a later one closes the connection.
	if r.cut.Load() {
		return
	}
	go func() {
		_, _ = io.Copy(to, from) // the end of either direction closes both connections
		to.Close()
	}()
	_, _ = io.Copy(from, to)
}
