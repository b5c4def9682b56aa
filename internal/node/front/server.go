package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/link/intake"
	"github.com/azurespan/azurespan/internal/node/calls"
)

type (
	// Backend serves validated requests. Its errors are *fault.Fault; any
	// other error is reported as internal with run unknown. Calls return
	// soon after their context ends.
	Backend interface {
		// Complete starts a chat completion.
		Complete(ctx context.Context, r calls.Request) (calls.Stream, error)
		// Resume continues the response to requestID at token index from.
		Resume(ctx context.Context, requestID, upstream string, from int64) (calls.Stream, error)
		// Invoke calls a plain service.
		Invoke(ctx context.Context, c calls.ServiceCall) (calls.ServiceResponse, error)
		// Config returns the active configuration, or nil if there is none yet.
		Config() *declare.Index
		// Missing returns the names of the components that the daemon still
		// waits for, none when it is ready to serve.
		Missing() []string
	}

	// Server is the HTTP server for client requests. It is an http.Handler
	// and safe for concurrent use.
	Server struct {
		settings    Settings
		backend     Backend
		oas         *oas.Server
		httpServer  *http.Server
		tracker     exchangeTracker
		streamSlots chan struct{}
		signer      signer
		// buffers is what the buffers of streams take, nil if they aren't bounded together.
		buffers *ration.Ration
		// intake is the listener in use, nil before Serve; Wait ends it.
		intake atomic.Pointer[intake.Listener]
	}
)

var (
	_ http.Handler = (*Server)(nil)
	_ oas.Handler  = (*Server)(nil)
)

const (
	servicePathPrefix = "/services/"
	// headerSlopBytes is how much more than MaxHeaderBytes net/http reads.
	headerSlopBytes = 4 << 10
	// intakeTimeout bounds the time in which a server that is draining accepts the
	// connections that the system has completed.
	intakeTimeout = time.Second
)

// New returns a Server that passes requests to b. It returns an internal fault
// if the secret is empty, because any client could then resume any response.
func New(set Settings, b Backend) (*Server, error) {
	if len(set.Secret) == 0 {
		return nil, fault.New(fault.Internal, "no secret for the signatures of event IDs is set")
	}
	set = set.withDefaults()
	s := &Server{
		settings:    set,
		backend:     b,
		streamSlots: make(chan struct{}, set.MaxStreams),
		signer:      newSigner(set.Secret),
	}
	generated, err := oas.NewServer(s,
		oas.WithErrorHandler(handleError),
		oas.WithNotFound(handleNotFound),
		oas.WithMethodNotAllowed(handleMethodNotAllowed))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the generated OpenAPI server could not be created")
	}
	s.oas = generated
	s.httpServer = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: set.HeaderTimeout,
		IdleTimeout:       set.IdleTimeout,
		MaxHeaderBytes:    max(set.MaxHeaderBytes-headerSlopBytes, 1),
		ErrorLog:          errorLog(),
	}
	if set.Guard != nil {
		set.Guard.Attach(s.httpServer)
	}
	if set.Account != nil {
		s.buffers = set.Account.Part(set.Buffers, set.StreamBufferBytes)
	}
	return s, nil
}

// Serve serves the connections of l until Close or Wait, then returns
// http.ErrServerClosed. It takes ownership of l.
func (s *Server) Serve(l net.Listener) error {
	if tcp, ok := l.(*net.TCPListener); ok {
		accepting := intake.New(tcp)
		s.intake.Store(accepting)
		l = accepting
	}
	if g := s.settings.Guard; g != nil {
		l = g.Wrap(keepAliveListener{l})
	} else {
		l = limitListener(l, s.settings.MaxConnections)
	}
	err := s.httpServer.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		// Wait has ended the listener.
		return http.ErrServerClosed
	}
	return err
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/livez":
		s.Livez(rw, r)
		return
	case "/readyz":
		s.Readyz(rw, r)
		return
	}
	accepted := s.tracker.begin()
	if accepted {
		defer s.tracker.end()
	}
	x := s.newExchange(rw)
	defer x.finish()
	if !accepted {
		rw.Header().Set("Connection", "close")
		x.refuse(fault.New(fault.Draining, "the daemon is shutting down").WithRetry(x.retryDelay()))
		return
	}
	defer x.recoverPanic()
	x.key = takeKey(r.Header)
	r = r.WithContext(x.newContext(r.Context()))
	if err := x.readBody(rw, r); err != nil {
		x.writeRefusal(err)
		return
	}
	if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicePathPrefix); ok {
		s.serveService(x, r, rest)
		return
	}
	s.oas.ServeHTTP(x.w, r)
}

// Drain refuses new requests from now on; exchanges in progress continue.
func (s *Server) Drain() { s.tracker.close() }

// Wait returns nil when no exchange is in progress and the last responses have
// been sent, or the context's error. It is called after Drain and stops Serve.
func (s *Server) Wait(ctx context.Context) error {
	if err := s.tracker.wait(ctx); err != nil {
		return err
	}
	if accepting := s.intake.Load(); accepting != nil {
		limited, cancel := context.WithTimeout(ctx, intakeTimeout)
		defer cancel()
		if err := accepting.End(limited); err != nil {
			return err
		}
	}
	// net/http writes the end of a response after ServeHTTP returns; Shutdown
	// waits for that.
	return s.httpServer.Shutdown(ctx)
}

// Close stops Serve and closes all connections.
func (s *Server) Close() error { return s.httpServer.Close() }

// secondsSince returns the time from t to now, in seconds.
func (s *Server) secondsSince(t time.Time) float64 { return s.settings.Now().Sub(t).Seconds() }
