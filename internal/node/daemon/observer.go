package daemon

import (
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/ledger"
	"github.com/azurespan/azurespan/internal/node/audit"
	"github.com/azurespan/azurespan/internal/node/broker"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/pacing"
)

type (
	// observer writes decisions to the trail and measures.
	observer struct{ d *Daemon }

	// backend adds the daemon's own readiness to the broker.
	backend struct {
		*broker.Broker
		d *Daemon
	}
)

var (
	_ owner.Observer  = observer{}
	_ broker.Observer = observer{}
	_ owner.Pacer     = (*pacing.Pacing)(nil)
)

// Loaded implements owner.Observer.
func (o observer) Loaded(now time.Time, k ledger.Key, took time.Duration) {
	o.d.metrics.Loads.WithLabelValues("ok").Inc()
	o.d.metrics.LoadSeconds.Observe(took.Seconds())
	o.d.trail.Add(now, audit.Decision{Kind: "loaded", Model: k.Model, Upstream: k.Upstream, Why: "version " + k.Version + " in " + took.Round(time.Millisecond).String()})
}

// Unloaded implements owner.Observer.
func (o observer) Unloaded(now time.Time, k ledger.Key, idle time.Duration) {
	o.d.trail.Add(now, audit.Decision{Kind: "unloaded", Model: k.Model, Upstream: k.Upstream, Why: "idle for " + idle.Round(time.Millisecond).String()})
}

// Idle implements owner.Observer.
func (o observer) Idle(d time.Duration) { o.d.metrics.IdleAcceleratorSeconds.Add(d.Seconds()) }

// Placed implements owner.Observer.
func (o observer) Placed(now time.Time, what string, k ledger.Key, why string) {
	if why == "" {
		why = "accepted"
	}
	o.d.trail.Add(now, audit.Decision{Kind: what, Model: k.Model, Upstream: k.Upstream, Why: why})
}

// Queued implements broker.Observer.
func (o observer) Queued(class declare.Class, wait time.Duration) {
	o.d.metrics.QueueSeconds.WithLabelValues(string(class)).Observe(wait.Seconds())
}

// Cold implements broker.Observer.
func (o observer) Cold(_ declare.Class, wait time.Duration) {
	o.d.metrics.ColdStartSeconds.Observe(wait.Seconds())
}

// Decided implements broker.Observer.
func (o observer) Decided(now time.Time, request, model, what, upstream, why string) {
	o.d.trail.Add(now, audit.Decision{Kind: what, Request: request, Model: model, Upstream: upstream, Why: why})
}

// Ready names what is missing before the daemon can serve.
func (b backend) Ready() []string {
	missing := b.Broker.Ready()
	if _, ready, _ := b.d.follow.Status(); !ready && len(missing) > 0 {
		missing = append(missing, "control stream")
	}
	return missing
}
