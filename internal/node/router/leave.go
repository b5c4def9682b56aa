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
	// leaveProbe is the time between two looks whether a service that leaves
	// has ended, leaveFor the time after which it is taken back in any case.
	leaveProbe = time.Second
	leaveFor   = 10 * time.Minute
)

// errLeaving is the cause of a call that a leaving service refused.
var errLeaving = errors.New("the service is leaving")

// leaving reports whether a service refused a call because it is leaving, in
// which case the call did not run.
func leaving(r *rest.Reply) bool {
	return r.Status == http.StatusServiceUnavailable && r.Header.Get(leavingHeader) != ""
}

// serviceLeaving tells the peers that a plain service is leaving. Nobody polls
// a plain service, so it is taken back once its process has ended, since the
// next one on its address is a new one.
func (b *Router) serviceLeaving(now time.Time, d *declare.Upstream) {
	var f member.Fact
	b.facts.Do(func(m *member.Set) { f, _ = m.Get(member.Key{Kind: member.Upstream, Name: d.Name}) })
	b.mu.Lock()
	b.services.SetHealth(d.Name, route.Leaving)
	b.mu.Unlock()
	if f.Status == member.Leaving {
		return
	}
	f.Kind, f.Name, f.Domain, f.Status = member.Upstream, d.Name, d.FailureDomain, member.Leaving
	b.facts.Report(now, f)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveFor)
		defer cancel()
		awaitEnd(ctx, d.Address)
		f.Status = member.Alive
		b.facts.Report(time.Now(), f)
	}()
}

// awaitEnd returns when no process listens on address, or ctx ends.
func awaitEnd(ctx context.Context, address string) {
	var dialer net.Dialer
	for ctx.Err() == nil {
		pause.For(ctx, leaveProbe)
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = c.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
	}
}
