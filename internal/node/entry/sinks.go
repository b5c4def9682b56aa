package entry

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
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

// KnownOffset returns 0: the configuration comes from the log alone.
func (s *configSink) KnownOffset() int64 { return 0 }

// Replace applies the newest records.
func (s *configSink) Replace(now time.Time, p *feed.Page) { s.Apply(now, p) }

// Apply puts the highest version among the records in force.
func (s *configSink) Apply(now time.Time, p *feed.Page) {
	defer s.entry.configTopicRead(now, p)
	var newest *fleet.Config
	offset := int64(0)
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
	s.version, s.loaded = newest.Version, true
	s.entry.relay.Configure(newest)
	s.entry.loader.Configure(newest)
	s.entry.topics.publish(now)
	event.EntryConfig.Log("version", newest.Version, "offset", offset, "routes", len(newest.Routes), "services", len(newest.Services), "read-took", p.Took)
}

// Failed does nothing: the last configuration stays in force.
func (s *configSink) Failed(time.Time, error) {}

// Recovered does nothing.
func (s *configSink) Recovered(time.Time, time.Duration) {}

// KnownOffset returns the offset up to which the register is known, which
// includes the holder's updates.
func (s *registerSink) KnownOffset() int64 {
	register, _ := s.topics.KnownOffsets()
	return register
}

// Replace applies the newest records; upstreams without one are dropped.
func (s *registerSink) Replace(now time.Time, p *feed.Page) {
	v := s.topics
	v.mu.Lock()
	if p.Next >= v.roster.AsOf() {
		ids := make(map[string]bool, len(p.Records))
		for _, rec := range p.Records {
			if len(rec.Value) > 0 {
				ids[rec.Key] = true
				s.put(now, rec)
			}
		}
		for _, id := range v.roster.Retain(now, ids, p.Next) {
			event.UpstreamChanged.Log("upstream", id, "change", roster.Left, "reason", "no entry")
		}
		v.roster.Advance(now.Add(-p.Took), p.Next, true)
	}
	v.mu.Unlock()
	v.publish(now)
	s.entry.loader.NotifyWatchers()
}

// Apply applies further records, except those that the holder's updates have
// included in the meantime.
func (s *registerSink) Apply(now time.Time, p *feed.Page) {
	v := s.topics
	v.mu.Lock()
	changed := false
	for _, rec := range p.Records {
		if rec.Key == "" || rec.Offset < v.roster.AsOf() {
			continue
		}
		if len(rec.Value) > 0 {
			changed = s.put(now, rec) || changed
			continue
		}
		if c := v.roster.Drop(now, rec.Key, rec.Offset); c != roster.None {
			changed = true
			event.UpstreamChanged.Log("upstream", rec.Key, "change", c, "reason", "entry removed", "offset", rec.Offset)
		}
	}
	v.roster.Advance(now.Add(-p.Took), p.Next, p.Next >= p.End)
	v.mu.Unlock()
	if len(p.Records) > 0 {
		v.publish(now)
	}
	if changed {
		s.entry.loader.NotifyWatchers()
	}
}

// put applies one entry and reports whether the upstream's state has changed. The
// caller holds s.topics.mu.
func (s *registerSink) put(now time.Time, rec feed.Record) bool {
	up, err := s.entry.platform.DecodeUpstream(rec.Key, rec.Value)
	if err != nil {
		event.RegisterEntryIgnored.Log("upstream", rec.Key, "offset", rec.Offset, "cause", err.Error())
		return false
	}
	up.Offset = rec.Offset
	c := s.topics.roster.Put(now, up)
	if c == roster.None {
		return false
	}
	event.UpstreamChanged.Log("upstream", up.ID, "change", c, "service", up.Service, "version", up.Version, "address", up.Address,
		"failure-domain", up.FailureDomain, "born", up.Born, "leaves-in", up.LeavesIn, "offset", rec.Offset)
	return true
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

// trackVersions tells the table of origins how old this daemon's view of the register
// is and, at intervals, which versions are registered.
func (s *registerSink) trackVersions(now time.Time) {
	v := s.topics
	v.mu.Lock()
	age := now.Sub(v.roster.ReadAt())
	var ups []fleet.Upstream
	if now.Sub(s.versionsAt) >= versionsInterval {
		s.versionsAt = now
		ups = v.roster.Append(nil)
	}
	v.mu.Unlock()
	s.entry.registerVersions(now, ups)
	s.entry.origins.RegisterCurrent(now, age)
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
		s.entry.setAgeGauges(now)
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
