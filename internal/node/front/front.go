package front

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/node/calls"
)

type (
	// Backend serves checked requests. Its failures are *fault.Fault; any
	// other error is answered as internal with run unknown. Calls return
	// soon after their context ends.
	Backend interface {
		// Complete starts a chat completion.
		Complete(ctx context.Context, r calls.Request) (calls.Stream, error)
		// Resume continues the answer to requestID at the token index from.
		Resume(ctx context.Context, requestID, upstream string, from int64) (calls.Stream, error)
		// Invoke calls a plain service.
		Invoke(ctx context.Context, c calls.ServiceCall) (calls.ServiceResponse, error)
		// Config returns the configuration in force, nil before the first.
		Config() *declare.Index
		// Ready names what is missing before the daemon can serve; it is
		// empty when the daemon is ready.
		Missing() []string
	}

	// Front is the HTTP interface to callers. It is an http.Handler and safe
	// for concurrent use.
	Server struct {
		s       Settings
		backend Backend
		oas     *oas.Server
		http    *http.Server
		gate    gate
		slots   chan struct{}
		signer  signer
	}
)

var (
	_ http.Handler = (*Server)(nil)
	_ oas.Handler  = (*Server)(nil)
)

const servicePrefix = "/services/"

// New returns a Front before b. It fails with an internal fault if the secret
// is empty, because anyone could then resume any answer.
func New(s Settings, b Backend) (*Server, error) {
	if len(s.Secret) == 0 {
		return nil, fault.New(fault.Internal, "the caller interface has no secret to sign event ids with")
	}
	s = s.withDefaults()
	f := &Server{
		s:       s,
		backend: b,
		slots:   make(chan struct{}, s.MaxStreams),
		signer:  newSigner(s.Secret),
	}
	srv, err := oas.NewServer(f,
		oas.WithErrorHandler(handleError),
		oas.WithNotFound(handleNotFound),
		oas.WithMethodNotAllowed(handleMethod))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the generated server can't be built")
	}
	f.oas = srv
	f.http = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		// net/http reads 4 KiB more than this bound.
		MaxHeaderBytes: max(s.MaxHeaderBytes-4<<10, 1),
		ErrorLog:       errorLog(),
	}
	return f, nil
}

// Serve answers the connections of l until Close, and takes l over. It returns
// http.ErrServerClosed after Close or Wait.
func (f *Server) Serve(l net.Listener) error {
	return f.http.Serve(limitListener(l, f.s.MaxConnections))
}

// ServeHTTP answers one request.
func (f *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/livez":
		f.Livez(rw, r)
		return
	case "/readyz":
		f.Readyz(rw, r)
		return
	}
	entered := f.gate.enter()
	if entered {
		defer f.gate.leave()
	}
	x := f.newExchange(rw)
	defer x.finish()
	if !entered {
		rw.Header().Set("Connection", "close")
		x.refuse(fault.New(fault.Draining, "the daemon is shutting down").WithRetry(x.jitter()))
		return
	}
	defer x.onPanic()
	r = r.WithContext(x.bind(r.Context()))
	if err := x.read(rw, r); err != nil {
		x.reject(err)
		return
	}
	if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicePrefix); ok {
		f.serveService(x, r, rest)
		return
	}
	f.oas.ServeHTTP(x.w, r)
}

// Drain refuses new requests from now on; exchanges in progress go on.
func (f *Server) Drain() { f.gate.close() }

// Wait returns nil when no exchange is in progress and the last answers are
// sent, or the context's error. It is called after Drain and stops Serve.
func (f *Server) Wait(ctx context.Context) error {
	if err := f.gate.wait(ctx); err != nil {
		return err
	}
	// The end of an answer is written after ServeHTTP returns; Shutdown waits
	// for that.
	return f.http.Shutdown(ctx)
}

// Close stops Serve and closes all connections.
func (f *Server) Close() error { return f.http.Close() }

// since returns the time from t to now, in seconds.
func (f *Server) since(t time.Time) float64 { return f.s.Now().Sub(t).Seconds() }
