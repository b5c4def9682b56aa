package daemon

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/ledger"
	"github.com/azurespan/azurespan/internal/node/audit"
	"github.com/azurespan/azurespan/internal/node/broker"
	"github.com/azurespan/azurespan/internal/node/follow"
	"github.com/azurespan/azurespan/internal/node/owner"
)

type (
	// observer writes decisions to the trail and measures.
	observer struct{ d *Daemon }

	// backend adds the daemon's own readiness to the broker.
	backend struct {
		*broker.Broker
		d *Daemon
	}

	// pacer bounds the loads that this daemon orders at the same time.
	pacer struct{ slots chan struct{} }

	// idle unloads replicas after an idle time that grows with the
	// deployment's weight of cold starts.
	idle struct{ ctl *follow.Follower }
)

var (
	_ owner.Observer  = observer{}
	_ broker.Observer = observer{}
	_ owner.Pacer     = (*pacer)(nil)
	_ owner.Idle      = (*idle)(nil)
)

// Loaded implements owner.Observer.
func (o observer) Loaded(now time.Time, k ledger.Key, took time.Duration) {
	o.d.metrics.Loads.WithLabelValues("ok").Inc()
	o.d.metrics.LoadSeconds.Observe(took.Seconds())
	o.d.trail.Add(now, audit.Decision{Kind: "loaded", Model: k.Model, Upstream: k.Upstream, Why: "version " + k.Version + " in " + took.Round(time.Millisecond).String()})
}

// Unloaded implements owner.Observer.
func (o observer) Unloaded(now time.Time, k ledger.Key, idle time.Duration) {
	accelerators := 1
	o.d.follow.View(func(l *ledger.Ledger) {
		if u := l.Config().Upstream(k.Upstream); u != nil {
			accelerators = max(u.Accelerators, 1)
		}
	})
	o.d.metrics.IdleAcceleratorSeconds.Add(idle.Seconds() * float64(accelerators))
	o.d.trail.Add(now, audit.Decision{Kind: "unloaded", Model: k.Model, Upstream: k.Upstream, Why: "idle for " + idle.Round(time.Millisecond).String()})
}

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

func newPacer() *pacer {
	return &pacer{slots: make(chan struct{}, declare.DefaultStoreLoadsAtOnce)}
}

// Acquire implements owner.Pacer.
func (p *pacer) Acquire(ctx context.Context, _ declare.Class) (func(), error) {
	select {
	case p.slots <- struct{}{}:
		return func() { <-p.slots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newIdle(f *follow.Follower) *idle { return &idle{ctl: f} }

// Unload implements owner.Idle.
func (i *idle) Unload(now time.Time, m *declare.Model, _ ledger.Key, since time.Time) bool {
	var weight float64
	replicas := 0
	i.ctl.View(func(l *ledger.Ledger) {
		weight = l.Config().Deployment.ColdStartWeight
		replicas = l.Replicas(m.Name)
	})
	if m.MinReplicas > 0 && replicas <= m.MinReplicas {
		return false
	}
	keep := 30*time.Second + time.Duration(weight*float64(10*time.Minute))
	return now.Sub(since) > keep
}

// Used implements owner.Idle.
func (i *idle) Used(time.Time, ledger.Key) {}
