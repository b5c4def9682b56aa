package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
)

// Server serves the calls of other daemons.
type Server struct {
	secret    []byte
	tls       *tls.Config
	rpc       *rpc.Server
	traffic   *Traffic
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	connSlots chan struct{}
}

// maxConns limits the number of connections from peers. A deployment has a few
// hundred daemons with one connection each.
const maxConns = 1024

// NewServer returns a Server that calls the exported methods of receiver under
// the name "Peer" and counts its bytes in t. Connections are not encrypted if
// tlsConf is nil.
func NewServer(secret []byte, tlsConf *tls.Config, receiver any, t *Traffic) (*Server, error) {
	s := rpc.NewServer()
	if err := s.RegisterName("Peer", receiver); err != nil {
		return nil, merry.Wrap(err)
	}
	return &Server{
		secret: secret, tls: tlsConf, rpc: s, traffic: t,
		conns: map[net.Conn]struct{}{}, connSlots: make(chan struct{}, maxConns),
	}, nil
}

// Serve accepts connections from l until ctx ends. It then closes l and all
// connections.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			_ = c.Close()
		}
	})
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return merry.Wrap(err)
		}
		select {
		case s.connSlots <- struct{}{}:
			go s.serve(ctx, c)
		default:
			_ = c.Close()
		}
	}
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer func() { <-s.connSlots }()
	known, _ := c.(interface{ Serve() })
	if s.tls != nil {
		c = tls.Server(c, s.tls)
	}
	if err := authenticate(c, s.secret, false); err != nil {
		event.PeerRejected.Log("address", c.RemoteAddr().String(), "err", err)
		_ = c.Close()
		return
	}
	if known != nil {
		// A connection of a peer doesn't give way to others.
		known.Serve()
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	if ctx.Err() == nil {
		s.rpc.ServeConn(s.traffic.Conn(c))
	}
}
