package daemon

import (
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/node/audit"
	"github.com/azurespan/azurespan/internal/node/limit"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/router"
)

type (
	// observer records decisions in the audit trail and updates metrics.
	observer struct{ d *Daemon }

	// backend adds the daemon's own readiness to that of the router.
	backend struct {
		*router.Router
		d *Daemon
	}
)

// refused is the kind of the decision that the router records for a refusal.
const refused = "refused"

var (
	_ owner.Observer    = observer{}
	_ router.Observer   = observer{}
	_ owner.LoadLimiter = (*limit.Limiter)(nil)
)

// Loaded implements owner.Observer.
func (o observer) Loaded(now time.Time, k ctrl.GrantKey, took time.Duration) {
	o.d.metrics.Loads.WithLabelValues("ok").Inc()
	o.d.metrics.LoadSeconds.Observe(took.Seconds())
	o.d.trail.Add(now, audit.Decision{Kind: "loaded", Model: k.Model, Upstream: k.Upstream, Why: "version " + k.Version + " in " + took.Round(time.Millisecond).String()})
}

// Unloaded implements owner.Observer.
func (o observer) Unloaded(now time.Time, k ctrl.GrantKey, idle time.Duration) {
	o.d.trail.Add(now, audit.Decision{Kind: "unloaded", Model: k.Model, Upstream: k.Upstream, Why: "idle for " + idle.Round(time.Millisecond).String()})
}

// Idle implements owner.Observer.
func (o observer) Idle(d time.Duration) { o.d.metrics.IdleAcceleratorSeconds.Add(d.Seconds()) }

// Placed implements owner.Observer. An empty reason is that of an accepted
// record.
func (o observer) Placed(now time.Time, kind string, k ctrl.GrantKey, reason string) {
	if reason == "" {
		reason = "accepted"
	}
	if kind == owner.LoadFailed {
		o.d.metrics.Loads.WithLabelValues("failed").Inc()
	}
	o.d.trail.Add(now, audit.Decision{Kind: kind, Model: k.Model, Upstream: k.Upstream, Why: reason})
}

// Woken records a decision of the waker.
func (o observer) Woken(now time.Time, kind, model, upstream, reason string) {
	o.d.trail.Add(now, audit.Decision{Kind: kind, Model: model, Upstream: upstream, Why: reason})
}

// Refused records the refusal of a request before it was routed. The router
// records its own refusals.
func (o observer) Refused(now time.Time, request string, f *fault.Fault) {
	if o.d.trail.Has(request, refused) {
		return
	}
	event.CallerRefused.Log("request", request, "reason", string(f.Kind), "run", string(f.Run), "detail", f.Detail)
	o.d.trail.Add(now, audit.Decision{Kind: refused, Request: request, Why: string(f.Kind) + ": " + f.Detail})
}

// Queued implements router.Observer.
func (o observer) Queued(class declare.Class, wait time.Duration) {
	o.d.metrics.QueueSeconds.WithLabelValues(string(class)).Observe(wait.Seconds())
}

// ColdStart implements router.Observer.
func (o observer) ColdStart(_ declare.Class, wait time.Duration) {
	o.d.metrics.ColdStartSeconds.Observe(wait.Seconds())
}

// Decided implements router.Observer.
func (o observer) Decided(now time.Time, request, model, kind, upstream, reason string) {
	o.d.trail.Add(now, audit.Decision{Kind: kind, Request: request, Model: model, Upstream: upstream, Why: reason})
}

// Missing names the conditions that the daemon lacks to serve.
func (b backend) Missing() []string {
	missing := b.Router.Missing()
	if _, ready, _ := b.d.follower.Status(); !ready && len(missing) > 0 {
		missing = append(missing, "control stream")
	}
	return missing
}
