package main

import (
	"context"
	"net"
	"sync"
)

// gate is a network path that may be cut: nothing passes then, and what was under way is
// held up. Nothing is reset.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// set cuts the path or heals it.
func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

// wait returns once the path is not cut, or ctx ends.
func (g *gate) wait(ctx context.Context) {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return
		}
		select {
		case <-shut:
		case <-ctx.Done():
			return
		}
	}
}

// relay passes connections on to an address through g. It returns its own address.
func relay(g *gate, to string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	pass := func(dst, src net.Conn) {
		defer func() { _, _ = dst.Close(), src.Close() }()
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			g.wait(context.Background())
			if n > 0 {
				if _, err := dst.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				g.wait(context.Background())
				out, err := net.Dial("tcp4", to)
				if err != nil {
					_ = in.Close()
					return
				}
				go pass(out, in)
				pass(in, out)
			}()
		}
	}()
	return l.Addr().String(), nil
}
