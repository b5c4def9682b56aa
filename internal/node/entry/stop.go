package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
)

// stop takes the daemon out of rotation and finishes the requests in progress.
func (e *Entry) stop(server *http.Server) {
	began := e.now()
	e.stopping.Store(true)
	event.EntryStopping.Log("active", e.active.Load(), "grace", e.settings.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Grace-graceMargin)
	defer cancel()
	drained, released := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(released)
		e.releaseLease(drained, began.Add(e.settings.Grace-releaseMargin))
	}()
	defer func() {
		close(drained)
		<-released
	}()
	pause.For(ctx, rotationDelay)
	e.forwarder.Close()
	e.relay.Stop()
	if err := server.Shutdown(ctx); err != nil {
		event.EntryStopped.Log("took", e.now().Sub(began), "cut", e.active.Load(), "cause", err.Error())
		_ = server.Close() // the process ends anyway
		return
	}
	e.awaitTunnels(ctx)
	event.EntryStopped.Log("took", e.now().Sub(began), "cut", 0)
}

// awaitTunnels waits until no connection is forwarded for another daemon, or ctx ends.
func (e *Entry) awaitTunnels(ctx context.Context) {
	for e.forwarder.Open() > 0 && pause.For(ctx, tunnelCheckInterval) {
	}
}

// releaseLease releases the lease once drained is closed, or at the given time. Until
// then this daemon goes on to order loads: a machine that is only restarted takes the
// lease again at once, and any other holder has to pause first.
func (e *Entry) releaseLease(drained <-chan struct{}, latest time.Time) {
	t := time.NewTimer(latest.Sub(e.now()))
	defer t.Stop()
	select {
	case <-drained:
	case <-t.C:
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	e.elector.Release(ctx)
}
