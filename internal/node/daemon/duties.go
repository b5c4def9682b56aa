package daemon

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/hosts"
	"github.com/azurespan/azurespan/internal/node/audit"
	"github.com/azurespan/azurespan/internal/node/waker"
)

const (
	dutyInterval = time.Second
	// prewakeTimeout bounds a load ahead of requests.
	prewakeTimeout = 2 * time.Minute
	// snapshotDuty is the key by which one daemon is chosen to write
	// snapshots.
	snapshotDuty = "snapshot"
)

// duties does what one daemon of the deployment or this one has to do now and
// then: snapshots, claims assignments, metrics of control traffic.
func (d *Daemon) duties(ctx context.Context) error {
	tick := time.NewTicker(dutyInterval)
	defer tick.Stop()
	counted := map[string][2]uint64{}
	var downSince time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for source, t := range d.traffic {
			at := [2]uint64{t.Sent.Load(), t.Received.Load()}
			d.metrics.ControlSentBytes.WithLabelValues(source).Add(float64(at[0] - counted[source][0]))
			d.metrics.ControlReceivedBytes.WithLabelValues(source).Add(float64(at[1] - counted[source][1]))
			counted[source] = at
		}
		downSince = d.gauges(time.Now(), downSince)
		d.assign()
		d.prewake(ctx, time.Now())
		if d.follow.SnapshotDue(time.Now()) && hrw.Best(snapshotDuty, d.gossip.Live("")) == d.name {
			c, cancel := context.WithTimeout(ctx, 10*time.Second)
			if err := d.follow.AppendSnapshot(c); err != nil {
				event.SnapshotFailed.Log("err", err)
			}
			cancel()
		}
	}
}

// gauges sets the metrics of the control stream. downSince is when the log was
// first found unreachable, zero if it answered; the new value is returned.
func (d *Daemon) gauges(now, downSince time.Time) time.Time {
	d.follow.View(func(l *ctrl.State) { d.metrics.ConfigurationOffset.Set(float64(l.Version())) })
	if _, _, up := d.follow.Status(); up {
		d.metrics.LogUnreachableSeconds.Set(0)
		return time.Time{}
	}
	if downSince.IsZero() {
		downSince = now
	}
	d.metrics.LogUnreachableSeconds.Set(now.Sub(downSince).Seconds())
	return downSince
}

// prewake loads models ahead of their first request, if this daemon
// coordinates their wakes and none is loaded.
func (d *Daemon) prewake(ctx context.Context, now time.Time) {
	x := d.router.Config()
	if x == nil {
		return
	}
	live := d.gossip.Live("")
	var mine []*declare.Model
	for i := range x.Deployment.Models {
		m := &x.Deployment.Models[i]
		if hrw.Best("prewake/"+m.Name, live) == d.name && !d.loaded(m.Name) {
			mine = append(mine, m)
		}
	}
	for name, why := range d.owner.DuePrewakes(now, mine) {
		event.ModelDue.Log("model", name, "reason", why)
		d.trail.Add(now, audit.Decision{Kind: "prewake", Model: name, Why: why})
		m := x.Model(name)
		go func() {
			c, cancel := context.WithTimeout(ctx, prewakeTimeout)
			defer cancel()
			// A refusal is logged by the waker; the next request wakes it.
			_, _ = d.waker.Wake(c, waker.Request{Model: m.Name, Version: m.Version, Class: declare.Background, Deadline: now.Add(prewakeTimeout)})
		}()
	}
}

// loaded reports whether a replica of the model is loaded anywhere.
func (d *Daemon) loaded(model string) bool {
	found := false
	d.gossip.Do(func(m *member.Set) {
		m.Each(member.Upstream, func(f member.Fact) {
			for _, r := range f.Loaded {
				found = found || r.Model == model
			}
		})
	})
	return found
}

// watchHosts reads the platform's host list: it gives addresses of peers,
// upstreams that leave, and hosts that are gone. The list holds all hosts, so
// the daemons of a failure domain take turns in reading it and tell the others
// what matters: if 320 daemons each read 920 entries every 2 s, that alone
// takes more than ten times the 3 KB/s for control.
func (d *Daemon) watchHosts(ctx context.Context) error {
	tick := time.NewTicker(d.set.Timing.HostsInterval)
	defer tick.Stop()
	failing := false
	for first := true; ; first = false {
		if !first && !d.hostsTurn(time.Now()) {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				continue
			}
		}
		list, err := d.hosts.List(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && !failing:
			event.HostListFailed.Log("err", err)
		case err == nil:
			d.takeHosts(ctx, time.Now(), list)
		}
		failing = err != nil
		d.hostsFailing.Store(failing)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// hostsTurn reports whether this daemon reads the host list in the present
// interval.
func (d *Daemon) hostsTurn(now time.Time) bool {
	slot := now.UnixNano() / int64(d.set.Timing.HostsInterval)
	return hrw.Best("hosts/"+strconv.FormatInt(slot, 10), d.gossip.Live(d.set.Daemon.FailureDomain)) == d.name
}

func (d *Daemon) takeHosts(ctx context.Context, now time.Time, list hosts.List) {
	var seeds, gone []string
	for _, h := range list.Hosts {
		switch h.State {
		case hosts.Live:
			// A host's entry names its peer address if it is a daemon.
			if _, _, err := net.SplitHostPort(h.Address); err == nil && !d.isUpstream(h.Name) {
				seeds = append(seeds, h.Address)
			}
		case hosts.Leaving:
			d.upstreamLeaving(now, h.Name)
		case hosts.Gone:
			gone = append(gone, h.Name)
		}
	}
	d.gossip.AddSeeds(seeds)
	for _, h := range gone {
		d.recordGone(ctx, h)
	}
}

func (d *Daemon) isUpstream(name string) bool {
	found := false
	d.follow.View(func(l *ctrl.State) { found = l.Config().Upstream(name) != nil })
	return found
}

// upstreamLeaving tells the peers of an upstream that the list says is leaving.
func (d *Daemon) upstreamLeaving(now time.Time, name string) {
	if !d.isUpstream(name) {
		return
	}
	var f member.Fact
	var ok bool
	d.gossip.Do(func(m *member.Set) { f, ok = m.Get(member.Key{Kind: member.Upstream, Name: name}) })
	if ok && f.Status < member.Leaving {
		f.Status = member.Leaving
		d.gossip.Report(now, f)
	}
}

// recordGone writes that a host is gone, if the ledger still counts on it.
// One daemon of the deployment does so.
func (d *Daemon) recordGone(ctx context.Context, host string) {
	needed := false
	d.follow.View(func(l *ctrl.State) {
		needed = len(l.UpstreamGrants(nil, host)) > 0
		for i := range l.Config().Deployment.Upstreams {
			u := l.Config().Deployment.Upstreams[i].Name
			if o, ok := l.Owner(u); ok && !o.Resigned && ctrl.HostOf(o.Daemon) == host {
				needed = true
			}
			needed = needed || slices.ContainsFunc(l.FormerOwners(u), func(f ctrl.FormerOwnership) bool { return ctrl.HostOf(f.Daemon) == host })
		}
	})
	if !needed || hrw.Best("gone/"+host, d.gossip.Live("")) != d.name || strings.HasPrefix(d.name, host+"/") {
		return
	}
	c, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if _, err := d.follow.Append(c, record.HostGone{Host: host}); err != nil {
		event.OwnershipAppendFailed.Log("host", host, "record", "host-gone", "err", err)
	}
}
