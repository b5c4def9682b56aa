package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/link/guard"
	"github.com/azurespan/azurespan/internal/node/bounds"
)

// serveCaller counts a request and passes it to the relay.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.relay.ServeHTTP(w, r)
}

// serveReadiness replies whether callers should be sent to this daemon.
func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	ready := !e.stopping.Load() && e.relay.Config() != nil && e.topics.loaded()
	if ready && !e.ready.Load() && e.topics.isBehind(e.now()) {
		// This daemon has started since the log returned from a copy without the
		// newest configuration.
		ready = false
	}
	if e.ready.Swap(ready) != ready {
		event.EntryReady.Log("ready", ready, "stopping", e.stopping.Load(), "configured", e.relay.Config() != nil, "upstreams", e.topics.loaded())
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// listen opens a listener on an IP:port.
func listen(address string) (*net.TCPListener, error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	l, err := net.ListenTCP("tcp4", at)
	return l, merry.Wrap(err)
}

// serveHTTP returns a component that serves h on l, whose clients g bounds.
func serveHTTP(l net.Listener, g *guard.Guard, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		s := &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
			MaxHeaderBytes: bounds.InnerHeadBytes, ErrorLog: event.StdLogger(event.CallerConnectionError),
		}
		g.Attach(s)
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		return merry.Wrap(s.Serve(g.Wrap(l)))
	}
}
