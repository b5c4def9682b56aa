package entry

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/loader"
	"github.com/azurespan/azurespan/internal/node/syncer"
)

// beliefs are what this daemon knows of the log's topics. The holder reads them and
// tells the others what is new; these read them themselves when what they know
// is too old, so that the log's traffic doesn't grow with the daemons.
type topicView struct {
	// drain and deadline are the times within which what the register and the
	// configuration say must take effect.
	drain, deadline time.Duration
	// firstRead is when this daemon may read the whole register itself.
	firstRead time.Time
	// holds reports whether this daemon is the holder.
	holds func() bool
	// use hands the upstreams to those who use them.
	use func(now time.Time, ups []fleet.Upstream)

	mu sync.Mutex
	// roster holds the register.
	roster *roster.Roster
	// configAsOf is the offset up to which the configuration's topic has been
	// read here, configTold the one that the holder has told, and configAt
	// when the configuration in force was last known to be the newest.
	configAsOf, configTold int64
	configAt               time.Time
}

const (
	// holderEvery is the interval at which the holder reads the register.
	holderEvery = 400 * time.Millisecond
	// beliefShare is the age from which a topic is read, as a share of the
	// time within which what it says must take effect.
	beliefShare = 0.6
	// configWait is how long a read of the configuration waits for a new one;
	// a silent connection is noticed after it. The holder's reads are shorter,
	// since the others rely on them.
	configWait       = 2500 * time.Millisecond
	holderConfigWait = 500 * time.Millisecond
	// firstWait is how long a daemon waits for a holder's word at the first
	// start of a system, before it reads the whole register itself. Traffic
	// starts later than that.
	firstWait = 3 * time.Second
	// settle is the time after the log's return in which lapsed entries come
	// back, as the platform states it.
	settle = 2 * time.Second
)

var (
	_ syncer.TopicView = (*topicView)(nil)
	_ loader.Topics    = (*topicView)(nil)
)

func newBeliefs(drain, deadline time.Duration, firstRead time.Time, holds func() bool, use func(now time.Time, ups []fleet.Upstream)) *topicView {
	return &topicView{drain: drain, deadline: deadline, firstRead: firstRead, holds: holds, use: use, roster: roster.New(roster.Settings{Settle: settle})}
}

// Known returns the offsets up to which the topics are known.
func (b *topicView) KnownOffsets() (register, config int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster.AsOf(), b.configAsOf
}

// Take takes over what the holder says of the topics.
func (b *topicView) Apply(asked time.Time, r *hub.WatchReply) {
	b.mu.Lock()
	if k := r.Config; k != nil {
		b.configTold = max(b.configTold, k.AsOf)
		if at := asked.Add(-k.Age); k.AsOf >= b.configAsOf && b.configTold == b.configAsOf && at.After(b.configAt) {
			b.configAt = at
		}
	}
	n := r.Register
	if n == nil {
		b.mu.Unlock()
		return
	}
	changed := false
	b.roster.Apply(asked, n, func(up fleet.Upstream, c roster.Change) {
		changed = true
		event.UpstreamChanged.Log("upstream", up.ID, "change", c, "service", up.Service, "address", up.Address,
			"failure-domain", up.FailureDomain, "born", up.Born, "leaves-in", up.LeavesIn, "offset", up.Offset, "told-as-of", n.AsOf)
	})
	b.mu.Unlock()
	if changed || len(n.Put) > 0 {
		b.publish(asked)
	}
}

// Register returns what has changed in the register since an offset.
func (b *topicView) Register(now time.Time, since int64) *roster.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster.UpdateSince(now, since)
}

// Config returns how much of the configuration's topic is known.
func (b *topicView) Config(now time.Time) *hub.TopicState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configAt.IsZero() {
		return nil
	}
	return &hub.TopicState{AsOf: b.configAsOf, Age: now.Sub(b.configAt)}
}

// registerDue returns how long the next read of the register can wait.
func (b *topicView) registerDue(now time.Time) time.Duration {
	holds := b.holds()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case holds:
		return b.roster.ReadAt().Add(holderEvery).Sub(now)
	case !b.roster.Loaded():
		return b.firstRead.Sub(now)
	}
	return b.roster.ReadAt().Add(time.Duration(beliefShare * float64(b.drain))).Sub(now)
}

// configDue returns the same for the configuration. The holder always waits for
// the next one.
func (b *topicView) configDue(now time.Time) time.Duration {
	if b.holds() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configTold > b.configAsOf {
		return 0
	}
	return b.configAt.Add(time.Duration(beliefShare * float64(b.deadline))).Sub(now)
}

// configWait returns how long a read of the configuration waits for a new one.
func (b *topicView) configWait() time.Duration {
	if b.holds() {
		return holderConfigWait
	}
	return configWait
}

// readConfig records that the configuration's topic was read here.
func (b *topicView) readConfig(now time.Time, next, end int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configAsOf = max(b.configAsOf, next)
	if next >= end {
		b.configAt = now
	}
}

// ages returns when each topic was last known to be read up to its end.
func (b *topicView) ages() (register, config time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster.ReadAt(), b.configAt
}

// loaded reports whether the register has been known once.
func (b *topicView) loaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster.Loaded()
}

// publish hands the upstreams to those who use them.
func (b *topicView) publish(now time.Time) {
	b.mu.Lock()
	ups := b.roster.Append(make([]fleet.Upstream, 0, b.roster.Len()))
	b.mu.Unlock()
	b.use(now, ups)
}

// learned is the loader's, which is made after the right.
type learned struct{ entry *Entry }

// StoreAtOnce returns what the loader has learned.
func (m learned) StoreAtOnce() float64 { return m.entry.loader.StoreAtOnce() }

// Learn gives the loader what a former holder has learned.
func (m learned) SetStoreAtOnce(storeAtOnce float64) { m.entry.loader.SetStoreAtOnce(storeAtOnce) }
