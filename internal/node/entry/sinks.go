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
	// configSink puts configurations in force.
	configSink struct {
		entry *Entry
		// version in force; a daemon never goes back.
		version int64
		loaded  bool
	}

	// rosterSink keeps the register of upstreams.
	rosterSink struct {
		entry   *Entry
		beliefs *topicView
	}
)

var (
	_ feed.Sink = (*configSink)(nil)
	_ feed.Sink = (*rosterSink)(nil)
)

// expireEvery is the interval at which missing entries are looked at.
const expireEvery = 100 * time.Millisecond

// Known returns 0: nobody else tells what the configuration is.
func (s *configSink) KnownOffset() int64 { return 0 }

// Replace takes the newest records over.
func (s *configSink) Replace(now time.Time, p *feed.Page) { s.Apply(now, p) }

// Apply puts the highest version among the records in force.
func (s *configSink) Apply(now time.Time, p *feed.Page) {
	defer s.entry.announce(now, p)
	var newest *fleet.Config
	offset := int64(0)
	for _, rec := range p.Records {
		if rec.Key != s.entry.plat.ConfigKey || len(rec.Value) == 0 {
			continue
		}
		cfg, err := s.entry.plat.DecodeConfig(rec.Value)
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
	s.entry.beliefs.publish(now)
	event.EntryConfig.Log("version", newest.Version, "offset", offset, "routes", len(newest.Routes), "services", len(newest.Services))
}

// Away does nothing: the last configuration stays in force.
func (s *configSink) Failed(time.Time, error) {}

// Back does nothing.
func (s *configSink) Recovered(time.Time, time.Duration) {}

// Known returns the offset up to which the holder has told what is registered.
func (s *rosterSink) KnownOffset() int64 {
	register, _ := s.beliefs.KnownOffsets()
	return register
}

// Replace takes the newest records over; what isn't among them is gone.
func (s *rosterSink) Replace(now time.Time, p *feed.Page) {
	b := s.beliefs
	b.mu.Lock()
	if p.Next >= b.roster.AsOf() {
		ids := make(map[string]bool, len(p.Records))
		for _, rec := range p.Records {
			if len(rec.Value) > 0 {
				ids[rec.Key] = true
				s.put(now, rec)
			}
		}
		for _, id := range b.roster.Retain(now, ids, p.Next) {
			event.UpstreamChanged.Log("upstream", id, "change", roster.Left, "reason", "no entry")
		}
		b.roster.Advance(now, p.Next, true)
	}
	b.mu.Unlock()
	b.publish(now)
	s.entry.loader.NotifyWatchers()
}

// Apply takes further records over, but for those whose effect the holder has
// told meanwhile.
func (s *rosterSink) Apply(now time.Time, p *feed.Page) {
	b := s.beliefs
	b.mu.Lock()
	changed := false
	for _, rec := range p.Records {
		if rec.Key == "" || rec.Offset < b.roster.AsOf() {
			continue
		}
		if len(rec.Value) > 0 {
			changed = s.put(now, rec) || changed
			continue
		}
		if c := b.roster.Drop(now, rec.Key, rec.Offset); c != roster.None {
			changed = true
			event.UpstreamChanged.Log("upstream", rec.Key, "change", c, "reason", "entry removed", "offset", rec.Offset)
		}
	}
	b.roster.Advance(now, p.Next, p.Next >= p.End)
	b.mu.Unlock()
	if len(p.Records) > 0 {
		b.publish(now)
	}
	if changed {
		s.entry.loader.NotifyWatchers()
	}
}

// put takes one entry over and reports whether the belief has changed; the
// beliefs' mu is held.
func (s *rosterSink) put(now time.Time, rec feed.Record) bool {
	up, err := s.entry.plat.DecodeUpstream(rec.Key, rec.Value)
	if err != nil {
		event.RegisterEntryIgnored.Log("upstream", rec.Key, "offset", rec.Offset, "cause", err.Error())
		return false
	}
	up.Offset = rec.Offset
	c := s.beliefs.roster.Put(now, up)
	if c == roster.None {
		return false
	}
	event.UpstreamChanged.Log("upstream", up.ID, "change", c, "service", up.Service, "address", up.Address,
		"failure-domain", up.FailureDomain, "born", up.Born, "leaves-in", up.LeavesIn, "offset", rec.Offset)
	return true
}

// Away records that the register can't be read.
func (s *rosterSink) Failed(time.Time, error) {
	s.beliefs.mu.Lock()
	defer s.beliefs.mu.Unlock()
	s.beliefs.roster.Disconnected()
}

// Back records its return.
func (s *rosterSink) Recovered(now time.Time, _ time.Duration) {
	s.beliefs.mu.Lock()
	defer s.beliefs.mu.Unlock()
	s.beliefs.roster.Reconnected(now)
}

// run drops the entries that are still missing after an outage.
func (s *rosterSink) run(ctx context.Context) error {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := s.entry.now()
		s.entry.observe(now)
		s.beliefs.mu.Lock()
		left := s.beliefs.roster.Expire(now)
		s.beliefs.mu.Unlock()
		for _, id := range left {
			event.UpstreamChanged.Log("upstream", id, "change", roster.Left, "reason", "missing after an outage")
		}
		if len(left) > 0 {
			s.beliefs.publish(now)
			s.entry.loader.NotifyWatchers()
		}
	}
}
