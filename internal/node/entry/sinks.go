package entry

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/feed"
)

type (
	// configSink puts new configurations in force.
	configSink struct {
		entry *Entry
		// version is the one in force; older versions are ignored.
		version int64
		loaded  bool
	}

	// registerSink maintains the register of upstreams.
	registerSink struct {
		entry  *Entry
		topics *topicView
		// versionsAt is when the versions of all upstreams were last recorded.
		versionsAt time.Time
	}
)

var (
	_ feed.Sink = (*configSink)(nil)
	_ feed.Sink = (*registerSink)(nil)
)

const (
	// expireInterval is the interval at which missing entries are checked.
	expireInterval = 100 * time.Millisecond
	// versionsInterval is the interval at which the versions of all upstreams are
	// recorded.
	versionsInterval = time.Second
)

// KnownPosition returns 0: the configuration comes from the log alone.
func (s *configSink) KnownPosition() logpos.Position { return 0 }

// Replace applies the newest records.
func (s *configSink) Replace(now time.Time, p *feed.Page) { s.Apply(now, p) }

// Apply puts the highest version among the records in force.
func (s *configSink) Apply(now time.Time, p *feed.Page) {
	defer s.entry.configTopicRead(p)
	var newest *fleet.Config
	var offset logpos.Position
	for _, rec := range p.Records {
		if rec.Key != s.entry.platform.ConfigKey || len(rec.Value) == 0 {
			continue
		}
		cfg, err := s.entry.platform.DecodeConfig(rec.Value)
		if err != nil {
			event.ConfigRejected.Log("offset", rec.Offset, "err", err)
			continue
		}
		if newest == nil || cfg.Version > newest.Version {
			newest, offset = cfg, rec.Offset
		}
	}
	if newest == nil || s.loaded && newest.Version <= s.version {
		return
	}
	_, knownAt := s.entry.topics.currentAt()
	if !s.loaded {
		defer close(s.entry.configured)
	}
	s.version, s.loaded = newest.Version, true
	s.entry.topics.configInForce(newest.Version)
	s.entry.relay.Configure(newest)
	s.entry.loader.Configure(newest)
	s.entry.topics.publish(now)
	if !knownAt.IsZero() {
		s.entry.metrics.ConfigLagSeconds.Observe(s.entry.now().Sub(knownAt).Seconds())
	}
	event.EntryConfig.Log("version", newest.Version, "offset", offset, "routes", len(newest.Routes), "services", len(newest.Services), "accounts", len(newest.Accounts), "read-took", p.Took)
}

// Failed does nothing: the last configuration stays in force.
func (s *configSink) Failed(time.Time, error) {}

// Recovered has the holder's record written directly again, not through other daemons.
func (s *configSink) Recovered(time.Time, time.Duration) { s.entry.dispatcher.Reached() }

// KnownPosition returns the position up to which the register is known, which
// includes the holder's updates.
func (s *registerSink) KnownPosition() logpos.Position {
	register, _ := s.topics.KnownPositions()
	return register
}

// Replace applies the newest records; upstreams without one are dropped.
func (s *registerSink) Replace(now time.Time, p *feed.Page) {
	v := s.topics
	v.mu.Lock()
	asOf, knownAt, drains := v.roster.AsOf(), v.roster.ReadAt(), 0
	if !p.Next.Before(asOf) {
		if v.roster.Loaded() && !p.Next.SameEra(asOf) {
			v.roster.Returned(now, p.Next)
		}
		ids := make(map[string]bool, len(p.Records))
		for _, rec := range p.Records {
			if len(rec.Value) > 0 {
				ids[rec.Key] = true
				if up, c := s.put(now, rec); startsDrain(up, c, asOf) {
					drains++
				}
			}
		}
		for _, id := range v.roster.Retain(now, ids, p.Next) {
			event.UpstreamChanged.Log("upstream", id, "change", roster.Left, "reason", "no entry")
		}
		v.roster.Advance(p.EndAt, p.Next, true)
		v.recordRegisterRead(v.boot().Add(-now.Sub(p.EndAt)))
	}
	v.mu.Unlock()
	v.publish(now)
	v.drained(knownAt, drains)
	s.entry.loader.NotifyWatchers()
}

// Apply applies further records, except those that the holder's updates have
// included in the meantime.
func (s *registerSink) Apply(now time.Time, p *feed.Page) {
	v := s.topics
	v.mu.Lock()
	changed := false
	asOf, knownAt, drains := v.roster.AsOf(), v.roster.ReadAt(), 0
	for _, rec := range p.Records {
		if rec.Key == "" || rec.Offset.Before(v.roster.AsOf()) {
			continue
		}
		if len(rec.Value) > 0 {
			up, c := s.put(now, rec)
			changed = changed || c != roster.None
			if startsDrain(up, c, asOf) {
				drains++
			}
			continue
		}
		if c := v.roster.Drop(now, rec.Key, rec.Offset); c != roster.None {
			changed = true
			event.UpstreamChanged.Log("upstream", rec.Key, "change", c, "reason", "entry removed", "offset", rec.Offset)
		}
	}
	v.roster.Advance(p.EndAt, p.Next, p.Next >= p.End)
	v.recordRegisterRead(v.boot().Add(-now.Sub(p.EndAt)))
	v.mu.Unlock()
	if len(p.Records) > 0 {
		v.publish(now)
		v.drained(knownAt, drains)
	}
	if changed {
		s.entry.loader.NotifyWatchers()
	}
}

// put applies one entry and returns the upstream and its change. The caller holds
// s.topics.mu.
func (s *registerSink) put(now time.Time, rec feed.Record) (fleet.Upstream, roster.Change) {
	up, err := s.entry.platform.DecodeUpstream(rec.Key, rec.Value)
	if err != nil {
		event.RegisterEntryIgnored.Log("upstream", rec.Key, "offset", rec.Offset, "cause", err.Error())
		return fleet.Upstream{}, roster.None
	}
	up.Offset = rec.Offset
	c := s.topics.roster.Put(now, up)
	if c != roster.None {
		event.UpstreamChanged.Log("upstream", up.ID, "change", c, "service", up.Service, "version", up.Version, "address", up.Address,
			"failure-domain", up.FailureDomain, "born", up.Born, "leaves-in", up.LeavesIn, "offset", rec.Offset)
	}
	return up, c
}

// Failed records that the register can't be read.
func (s *registerSink) Failed(time.Time, error) {
	s.topics.mu.Lock()
	defer s.topics.mu.Unlock()
	s.topics.roster.Disconnected()
}

// Recovered records that the register can be read again.
func (s *registerSink) Recovered(now time.Time, _ time.Duration) {
	s.topics.mu.Lock()
	defer s.topics.mu.Unlock()
	s.topics.roster.Reconnected(now)
}

// trackVersions tells the table of origins at intervals which versions are registered.
func (s *registerSink) trackVersions(now time.Time) {
	if now.Sub(s.versionsAt) < versionsInterval {
		return
	}
	s.versionsAt = now
	s.topics.mu.Lock()
	ups := s.topics.roster.Append(nil)
	s.topics.mu.Unlock()
	s.entry.registerVersions(now, ups)
}

// expireLoop sets the age gauges and drops upstreams whose entries are still
// missing after an outage.
func (s *registerSink) expireLoop(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := s.entry.now()
		s.entry.setGauges(now)
		s.trackVersions(now)
		s.topics.mu.Lock()
		left := s.topics.roster.Expire(now)
		s.topics.mu.Unlock()
		for _, id := range left {
			event.UpstreamChanged.Log("upstream", id, "change", roster.Left, "reason", "missing after an outage")
		}
		if len(left) > 0 {
			s.topics.publish(now)
			s.entry.loader.NotifyWatchers()
		}
	}
}
