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
	// periodicInterval is the time between runs of the periodic tasks.
	periodicInterval = time.Second
	// prewakeTimeout bounds a load that is started ahead of requests.
	prewakeTimeout = 2 * time.Minute
	// snapshotTimeout bounds the append of a snapshot.
	snapshotTimeout = 10 * time.Second
	// hostGoneTimeout bounds the append of the record that a host is gone.
	hostGoneTimeout = 5 * time.Second
	// snapshotKey is the key of the rendezvous hash that chooses the daemon
	// that appends snapshots.
	snapshotKey = "snapshot"
)

// runPeriodic runs the periodic tasks until ctx ends: metrics of control
// traffic, claims assignments, loads ahead of requests, and snapshots. Some of
// them are done by only one daemon of the deployment.
func (d *Daemon) runPeriodic(ctx context.Context) error {
	tick := time.NewTicker(periodicInterval)
	defer tick.Stop()
	counted := map[string][2]uint64{} // bytes sent and received, by source
	var downSince time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for source, t := range d.traffic {
			total := [2]uint64{t.Sent.Load(), t.Received.Load()}
			d.metrics.ControlSentBytes.WithLabelValues(source).Add(float64(total[0] - counted[source][0]))
			d.metrics.ControlReceivedBytes.WithLabelValues(source).Add(float64(total[1] - counted[source][1]))
			counted[source] = total
		}
		downSince = d.setControlGauges(time.Now(), downSince)
		d.assignClaims()
		d.prewakeModels(ctx, time.Now())
		if d.follower.SnapshotDue(time.Now()) && hrw.Best(snapshotKey, d.gossip.Live("")) == d.name {
			c, cancel := context.WithTimeout(ctx, snapshotTimeout)
			if err := d.follower.AppendSnapshot(c); err != nil {
				event.SnapshotFailed.Log("err", err)
			}
			cancel()
		}
	}
}

// setControlGauges sets the metrics of the control stream. downSince is the time
// since which the log has been unreachable, zero if it is reachable. The new
// value is returned.
func (d *Daemon) setControlGauges(now, downSince time.Time) time.Time {
	d.follower.View(func(state *ctrl.State) { d.metrics.ConfigurationOffset.Set(float64(state.Version())) })
	if _, _, up := d.follower.Status(); up {
		d.metrics.LogUnreachableSeconds.Set(0)
		return time.Time{}
	}
	if downSince.IsZero() {
		downSince = now
	}
	d.metrics.LogUnreachableSeconds.Set(now.Sub(downSince).Seconds())
	return downSince
}

// prewakeModels loads models ahead of their first request. It considers the
// models that are loaded nowhere and whose prewakes the rendezvous hash assigns
// to this daemon.
func (d *Daemon) prewakeModels(ctx context.Context, now time.Time) {
	index := d.router.Config()
	if index == nil {
		return
	}
	live := d.gossip.Live("")
	var candidates []*declare.Model
	for i := range index.Deployment.Models {
		m := &index.Deployment.Models[i]
		if hrw.Best("prewake/"+m.Name, live) == d.name && !d.isLoaded(m.Name) {
			candidates = append(candidates, m)
		}
	}
	for name, reason := range d.owner.DuePrewakes(now, candidates) {
		event.ModelDue.Log("model", name, "reason", reason)
		d.trail.Add(now, audit.Decision{Kind: "prewake", Model: name, Why: reason})
		m := index.Model(name)
		go func() {
			c, cancel := context.WithTimeout(ctx, prewakeTimeout)
			defer cancel()
			// The waker logs a refusal. The next request for the model wakes
			// it.
			_, _ = d.waker.Wake(c, waker.Request{Model: m.Name, Version: m.Version, Class: declare.Background, Deadline: now.Add(prewakeTimeout)})
		}()
	}
}

// isLoaded reports whether a replica of the model is loaded on any upstream.
func (d *Daemon) isLoaded(model string) bool {
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

// watchHosts reads the platform's host list, which gives the addresses of peers,
// the upstreams that are leaving, and the hosts that are gone. The list contains
// all hosts. If each of 320 daemons read 920 entries every 2 s, that alone would
// take more than ten times the 3 KB/s for control traffic. The daemons of a
// failure domain therefore take turns in reading it, and report what the others
// need.
func (d *Daemon) watchHosts(ctx context.Context) error {
	tick := time.NewTicker(d.settings.Timing.HostsInterval)
	defer tick.Stop()
	failing := false
	for first := true; ; first = false {
		if !first && !d.readsHostList(time.Now()) {
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
			d.applyHostList(ctx, time.Now(), list)
		}
		failing = err != nil
		d.hostListFailing.Store(failing)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// readsHostList reports whether it is this daemon's turn to read the host list
// in the current interval.
func (d *Daemon) readsHostList(now time.Time) bool {
	slot := now.UnixNano() / int64(d.settings.Timing.HostsInterval)
	return hrw.Best("hosts/"+strconv.FormatInt(slot, 10), d.gossip.Live(d.settings.Daemon.FailureDomain)) == d.name
}

// applyHostList adds the addresses of peers as seeds, reports the upstreams that
// are leaving, and records the hosts that are gone.
func (d *Daemon) applyHostList(ctx context.Context, now time.Time, list hosts.List) {
	var seeds, gone []string
	for _, h := range list.Hosts {
		switch h.State {
		case hosts.Live:
			// The entry of a daemon's host has the daemon's peer address.
			if _, _, err := net.SplitHostPort(h.Address); err == nil && !d.isUpstream(h.Name) {
				seeds = append(seeds, h.Address)
			}
		case hosts.Leaving:
			d.reportUpstreamLeaving(now, h.Name)
		case hosts.Gone:
			gone = append(gone, h.Name)
		}
	}
	d.gossip.AddSeeds(seeds)
	for _, h := range gone {
		d.recordHostGone(ctx, h)
	}
}

func (d *Daemon) isUpstream(name string) bool {
	found := false
	d.follower.View(func(state *ctrl.State) { found = state.Config().Upstream(name) != nil })
	return found
}

// reportUpstreamLeaving reports to the peers that an upstream is leaving
// according to the host list.
func (d *Daemon) reportUpstreamLeaving(now time.Time, name string) {
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

// recordHostGone appends the record that a host is gone, if the control state
// still contains ownerships or grants of it. Only one daemon of the deployment,
// chosen by rendezvous hash, does so.
func (d *Daemon) recordHostGone(ctx context.Context, host string) {
	needed := false
	d.follower.View(func(state *ctrl.State) {
		needed = len(state.UpstreamGrants(nil, host)) > 0
		for i := range state.Config().Deployment.Upstreams {
			u := state.Config().Deployment.Upstreams[i].Name
			if o, ok := state.Owner(u); ok && !o.Resigned && ctrl.HostOf(o.Daemon) == host {
				needed = true
			}
			needed = needed || slices.ContainsFunc(state.FormerOwners(u), func(f ctrl.FormerOwnership) bool { return ctrl.HostOf(f.Daemon) == host })
		}
	})
	if !needed || hrw.Best("gone/"+host, d.gossip.Live("")) != d.name || strings.HasPrefix(d.name, host+"/") {
		return
	}
	c, cancel := context.WithTimeout(ctx, hostGoneTimeout)
	defer cancel()
	if _, err := d.follower.Append(c, record.HostGone{Host: host}); err != nil {
		event.OwnershipAppendFailed.Log("host", host, "record", "host-gone", "err", err)
	}
}
