package dialer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/tunnel"
	"github.com/azurespan/azurespan/internal/rule/paths"
)

// Dialer connects to upstreams. It is safe for concurrent use.
type Dialer struct {
	paths   *paths.Table
	direct  func(ctx context.Context, address string) (net.Conn, error)
	metrics *metric.Metrics
	now     func() time.Time
}

const (
	// ownTimeout bounds the set-up of a connection over the daemon's own path: the
	// longest round trip between failure domains is 8 ms.
	ownTimeout = 200 * time.Millisecond
	// forwardTimeout bounds the set-up of a connection through one forwarder, which
	// bounds its own part by 120 ms.
	forwardTimeout = 160 * time.Millisecond
)

// New returns a Dialer whose own path is direct.
func New(table *paths.Table, direct func(ctx context.Context, address string) (net.Conn, error), metrics *metric.Metrics, now func() time.Time) *Dialer {
	return &Dialer{paths: table, direct: direct, metrics: metrics, now: now}
}

// Direct connects to an upstream over the daemon's own path.
func (d *Dialer) Direct(ctx context.Context, up fleet.Upstream) (net.Conn, error) {
	return d.dialDirect(ctx, up.ID, up.Address)
}

// Dial connects to the upstream with an ID at an address. The connection may be a
// tunnel.Conn.
func (d *Dialer) Dial(ctx context.Context, id, address string) (net.Conn, error) {
	plan := d.paths.Plan(d.now(), id)
	if plan.Probe {
		go d.probe(id, address)
	}
	var err error
	if plan.Direct {
		var c net.Conn
		limit := ownTimeout
		if plan.DirectFor > 0 {
			limit = plan.DirectFor
		}
		own, cancel := context.WithTimeout(ctx, limit)
		c, err = d.dialDirect(own, id, address)
		cancel()
		if err == nil || ctx.Err() != nil {
			return c, err
		}
	}
	c, ferr := d.forward(ctx, plan.Forwarders, id, address)
	if c != nil {
		return c, nil
	}
	if err == nil {
		err = ferr
	}
	return nil, err
}

// dialDirect is Direct for the upstream with an ID at an address.
func (d *Dialer) dialDirect(ctx context.Context, id, address string) (net.Conn, error) {
	c, err := d.direct(ctx, address)
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		d.logPath(d.paths.Direct(d.now(), id, err == nil))
	}
	return c, err
}

// forward connects through the first of the forwarders that can. c is nil if none
// can, and err is then the last failure.
func (d *Dialer) forward(ctx context.Context, forwarders []string, id, address string) (c net.Conn, err error) {
	unreachable := false
	for _, f := range forwarders {
		attempt, cancel := context.WithTimeout(ctx, forwardTimeout)
		var tc *tunnel.Conn
		tc, err = tunnel.Dial(attempt, f, id, address)
		cancel()
		var refused *tunnel.UnreachableError
		switch {
		case err == nil:
			d.metrics.ForwardedConnections.WithLabelValues(metric.ForwardOK).Inc()
			d.logPath(d.paths.Forwarded(d.now(), id, true))
			return tc, nil
		case errors.As(err, &refused):
			unreachable = true
		case ctx.Err() == nil:
			d.paths.ForwarderFailed(d.now(), f)
		}
		d.metrics.ForwardedConnections.WithLabelValues(metric.ForwardFailed).Inc()
		event.ForwardFailed.Log("upstream", id, "forwarder", f, "cause", err.Error())
	}
	if unreachable {
		d.logPath(d.paths.Forwarded(d.now(), id, false))
	}
	return nil, err
}

// probe tries the daemon's own path to an upstream.
func (d *Dialer) probe(id, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	c, err := d.dialDirect(ctx, id, address)
	if err == nil {
		_ = c.Close() // nothing was sent
	}
}

// logPath logs a change of whether the daemon's own path to upstreams is lost.
func (d *Dialer) logPath(before, after bool) {
	if before == after {
		return
	}
	event.UpstreamPath.Log("lost", after)
	d.metrics.UpstreamPathLost.Set(0)
	if after {
		d.metrics.UpstreamPathLost.Set(1)
	}
}
