package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/link/intake"
)

// stop takes the daemon out of rotation and finishes the requests in progress. Once it is
// out of rotation, it accepts no connections; a request that comes on an open one is
// served if it ends in time, and else refused, until there have been none for a while.
func (e *Entry) stop(server *http.Server, callers *intake.Listener) {
	began := e.now()
	e.stopping.Store(true)
	event.EntryStopping.Log("active", e.active.Load(), "grace", e.settings.Grace)
	end := began.Add(e.settings.Grace - graceMargin)
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
	e.relay.Stop(end)
	e.endIntake(ctx, callers)
	// Each response ends its connection. Idle ones are left to Shutdown, which passes no
	// request on that crosses the end of its connection.
	e.awaitCallers(ctx)
	if err := server.Shutdown(ctx); err != nil {
		ended := e.active.Load()
		e.endRequests()
		event.EntryStopped.Log("took", e.now().Sub(began), "ended", ended, "cut", e.active.Load(), "cause", err.Error())
		_ = server.Close() // the process ends anyway
		return
	}
	e.awaitTunnels(ctx)
	event.EntryStopped.Log("took", e.now().Sub(began), "ended", 0, "cut", 0)
}

// endIntake closes the listener once the connections that the system has completed are
// accepted.
func (e *Entry) endIntake(ctx context.Context, callers *intake.Listener) {
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	if err := callers.End(ctx); err != nil {
		event.CallerConnectionError.Log("cause", err.Error())
	}
}

// awaitCallers waits until there has been no request for quietTime, or ctx ends.
func (e *Entry) awaitCallers(ctx context.Context) {
	quietSince := e.now()
	for pause.For(ctx, endCheckInterval) {
		e.guards.callers.EndStalled()
		if now := e.now(); e.active.Load() > 0 {
			quietSince = now
		} else if now.Sub(quietSince) >= quietTime {
			return
		}
	}
}

// endRequests ends the requests in progress and waits until their callers have an answer.
func (e *Entry) endRequests() {
	e.relay.EndRequests()
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	for e.active.Load() > 0 && pause.For(ctx, endCheckInterval) {
	}
	// The last answers leave the buffers of the server after their handlers.
	pause.For(ctx, endCheckInterval)
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
	e.loader.End(ctx)
	e.elector.Release(ctx)
}
