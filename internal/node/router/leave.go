package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/rest"
	"github.com/azurespan/azurespan/internal/rule/route"
)

const (
	// leavingHeader marks a refusal by a plain service that is leaving.
	leavingHeader = "X-Upstream-Leaving"
	// leavingProbeInterval is the interval between checks whether a leaving
	// service has exited; after maxLeaving it is considered alive in any case.
	leavingProbeInterval = time.Second
	maxLeaving           = 10 * time.Minute
)

// errLeaving is the cause of a call that a leaving service refused.
var errLeaving = errors.New("the service is leaving")

// leaving reports whether a service refused a call because it is leaving, in
// which case the call did not run.
func isLeaving(r *rest.Reply) bool {
	return r.Status == http.StatusServiceUnavailable && r.Header.Get(leavingHeader) != ""
}

// serviceLeaving reports to the peers that a plain service is leaving. Plain
// services are not polled, so it is reported as alive again once its process has
// exited, since the next process on its address is a new one.
func (rt *Router) serviceLeaving(now time.Time, d *declare.Upstream) {
	var f member.Fact
	rt.facts.Do(func(m *member.Set) { f, _ = m.Get(member.Key{Kind: member.Upstream, Name: d.Name}) })
	rt.mu.Lock()
	rt.services.SetHealth(d.Name, route.Leaving)
	rt.mu.Unlock()
	if f.Status == member.Leaving {
		return
	}
	f.Kind, f.Name, f.Domain, f.Status = member.Upstream, d.Name, d.FailureDomain, member.Leaving
	rt.facts.Report(now, f)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxLeaving)
		defer cancel()
		awaitExit(ctx, d.Address)
		f.Status = member.Alive
		rt.facts.Report(time.Now(), f)
	}()
}

// awaitExit returns when no process listens on address, or ctx ends.
func awaitExit(ctx context.Context, address string) {
	var dialer net.Dialer
	for ctx.Err() == nil {
		pause.For(ctx, leavingProbeInterval)
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
	}
}
