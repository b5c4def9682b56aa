package entry

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/eras"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/loader"
	"github.com/azurespan/azurespan/internal/node/qlog"
	"github.com/azurespan/azurespan/internal/node/syncer"
)

// topicView is what this daemon knows of the log's topics. The holder reads them
// and sends the other daemons updates. Those read the topics themselves only when
// their view is too old, so that the log's traffic doesn't grow with the number
// of daemons.
type topicView struct {
	// drainLimit and configDeadline are the times within which changes of the
	// register and of the configuration must take effect.
	drainLimit, configDeadline time.Duration
	// revokeTime is the time after which a removed key must not be served, 0 if
	// there is no such bound.
	revokeTime time.Duration
	// earliestRead is when this daemon may first read the whole register
	// itself.
	earliestRead time.Time
	// boot is a clock that counts suspensions of the machine.
	boot func() time.Time
	// holds reports whether this daemon is the holder.
	holds func() bool
	// daemons returns the number of daemons that the holder tells; nil stands for
	// few.
	daemons func() int
	// keys reports whether the configuration has keys of callers, whose validity is
	// proven only from the beginning of a read on; nil stands for none.
	keys func() bool
	// onUpstreams is called with all upstreams when they may have changed.
	onUpstreams func(now time.Time, ups []fleet.Upstream)
	// onDrain is called after onUpstreams if it was passed n upstreams that have
	// started to drain. They wrote that after knownAt.
	onDrain func(knownAt time.Time, n int)
	// eras is told of the eras that the holder knows; nil for none.
	eras *eras.Tracker

	mu     sync.Mutex
	roster *roster.Roster
	// registerReadAt is when the register was last known up to its end, and
	// registerReadBoot the same on the clock that counts suspensions.
	registerReadAt, registerReadBoot time.Time
	// configAsOf is the position up to which this daemon has read the
	// configuration's topic, configAnnounced the one that the holder has
	// announced, and configAt the last time at which the configuration in
	// force was known to be the newest.
	configAsOf, configAnnounced logpos.Position
	configAt                    time.Time
	// configVersion is the version in force, and configTold the highest that the
	// holder has told. After a return of the log from an older copy the topic may lack
	// it. toldAt is when that was first so, zero if it isn't.
	configVersion, configTold int64
	toldAt                    time.Time
	// configProven is a time of boot at which the configuration in force was the
	// newest: the beginning of the read or question whose answer said so, since
	// an answer may have waited while this machine or process was suspended.
	// readBegan and askBegan are when the present ones have begun.
	configProven, readBegan, askBegan time.Time
	// configSeen is a time of boot before the log found the end of the topic at the
	// latest, and readBeganAt is readBegan on the other clock.
	configSeen, readBeganAt time.Time
}

const (
	// holderReadInterval is the longest interval at which the holder reads the
	// register.
	holderReadInterval = 400 * time.Millisecond
	// maxAgeShare is the age at which a topic is read, as a share of the time
	// within which its changes must take effect.
	maxAgeShare = 0.6
	// revokeAgeShare is the age of the configuration at which a daemon without a
	// holder reads it again, and revokeWaitShare how long that read waits, as
	// shares of the time within which a removed key must not be served. Two waits
	// and the pause between them are well within maxAgeShare.
	revokeAgeShare, revokeWaitShare = 0.2, 0.1
	// holderConfigWait is how long a read of the configuration by the holder, on
	// whose reads the other daemons rely, waits for a new one at the longest.
	holderConfigWait = 500 * time.Millisecond
	// minHolderInterval bounds the calls to the log by the holder of a fleet in which
	// the others can't be told soon enough, and tellMargin is the part of the time
	// until the others read that calls and messages take.
	minHolderInterval = 100 * time.Millisecond
	tellMargin        = 60 * time.Millisecond
	// firstHolderWait is how long a daemon waits for the register from a holder
	// at the first start of a system, before it reads the whole register itself.
	// Traffic starts later than that.
	firstHolderWait = 3 * time.Second
	// behindLimit bounds the time for which a daemon that starts waits for a
	// configuration of which the holder has told. The operator writes what the log has
	// lost again within seconds.
	behindLimit = 10 * time.Second
	// settleTime is the time after the log's return within which entries that
	// expired during the outage are written again, as stated by the platform.
	settleTime = 2 * time.Second
)

var (
	_ syncer.TopicView = (*topicView)(nil)
	_ loader.Topics    = (*topicView)(nil)
	_ qlog.Holder      = holderView{}
)

func newTopicView(drainLimit, configDeadline, revokeTime time.Duration, earliestRead time.Time, boot func() time.Time, holds func() bool, onUpstreams func(now time.Time, ups []fleet.Upstream), onDrain func(knownAt time.Time, n int)) *topicView {
	return &topicView{drainLimit: drainLimit, configDeadline: configDeadline, revokeTime: revokeTime, earliestRead: earliestRead, boot: boot, holds: holds, onUpstreams: onUpstreams, onDrain: onDrain, roster: roster.New(roster.Settings{Settle: settleTime})}
}

// KnownPositions returns the positions up to which the topics are known.
func (v *topicView) KnownPositions() (register, config logpos.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.AsOf(), v.configAsOf
}

// AskBegins records that a question to the holder begins, whose answer is passed to
// Apply.
func (v *topicView) AskBegins() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.askBegan = v.boot()
}

// freshness returns how certain it is that the configuration in force is the newest.
func (v *topicView) freshness() fleet.Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fleet.Freshness{Age: v.boot().Sub(v.configProven), Outdated: v.configAnnounced > v.configAsOf || v.configTold > v.configVersion}
}

// Apply applies what the holder knows of the topics, which was requested at
// asked.
func (v *topicView) Apply(asked time.Time, r *hub.WatchReply) {
	if r.Config != nil {
		v.eras.Told(r.Config.AsOf)
	}
	if r.Register != nil {
		v.eras.Told(r.Register.AsOf)
	}
	// The ages in the reply were taken at least that much later.
	asked = asked.Add(r.Held)
	v.mu.Lock()
	if k := r.Config; k != nil {
		v.configAnnounced = max(v.configAnnounced, k.AsOf)
		v.configTold = max(v.configTold, k.Version)
		if v.configTold <= v.configVersion {
			v.toldAt = time.Time{}
		} else if v.toldAt.IsZero() {
			v.toldAt = asked
		}
		if k.AsOf >= v.configAsOf && v.configAnnounced == v.configAsOf {
			endAge := k.EndAge
			if endAge == 0 || v.hasKeys() {
				endAge = k.Age
			}
			v.configAt = later(v.configAt, asked.Add(-endAge))
			v.configSeen = later(v.configSeen, v.askBegan.Add(r.Held-endAge))
			v.configProven = later(v.configProven, v.askBegan.Add(r.Held-k.Age))
		}
	}
	n := r.Register
	if n == nil {
		v.mu.Unlock()
		return
	}
	changed := false
	asOf, knownAt, drains := v.roster.AsOf(), v.roster.ReadAt(), 0
	v.roster.Apply(asked, n, func(up fleet.Upstream, c roster.Change) {
		changed = true
		if startsDrain(up, c, asOf) {
			drains++
		}
		event.UpstreamChanged.Log("upstream", up.ID, "change", c, "service", up.Service, "version", up.Version, "address", up.Address,
			"failure-domain", up.FailureDomain, "born", up.Born, "leaves-in", up.LeavesIn, "offset", up.Offset, "told-as-of", n.AsOf)
	})
	v.recordRegisterRead(v.askBegan.Add(r.Held - n.Age))
	v.mu.Unlock()
	if changed || len(n.Put) > 0 {
		v.publish(asked)
		v.drained(knownAt, drains)
	}
}

// startsDrain reports whether an upstream has started to drain with an entry from the
// position asOf on. A removal isn't one: it may have no entry, or a late one.
func startsDrain(up fleet.Upstream, c roster.Change, asOf logpos.Position) bool {
	return c == roster.Left && up.Leaving && up.Offset >= asOf
}

// drained calls onDrain if there is anything to report.
func (v *topicView) drained(knownAt time.Time, n int) {
	if n > 0 && !knownAt.IsZero() {
		v.onDrain(knownAt, n)
	}
}

// Register returns the changes of the register since a position of another daemon,
// nil if this daemon's view is uncertain.
func (v *topicView) Register(now time.Time, since logpos.Position) *roster.Update {
	v.eras.Told(since)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.UpdateSince(now, since)
}

// Config returns how much of the configuration's topic is known, nil if its end
// has never been.
func (v *topicView) Config(now time.Time) *hub.TopicState {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.configAt.IsZero() {
		return nil
	}
	steadyAge, boot := now.Sub(v.configAt), v.boot()
	return &hub.TopicState{
		AsOf: v.configAsOf, Version: v.configVersion, Age: max(steadyAge, boot.Sub(v.configProven)), EndAge: max(steadyAge, boot.Sub(v.configSeen)),
	}
}

// registerDelay returns the time until the next read of the register is due.
func (v *topicView) registerDelay(now time.Time) time.Duration {
	holds := v.holds()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case holds:
		return v.roster.ReadAt().Add(v.holderInterval(holderReadInterval, v.drainLimit)).Sub(now)
	case !v.roster.Loaded():
		return v.earliestRead.Sub(now)
	}
	return v.roster.ReadAt().Add(time.Duration(maxAgeShare * float64(v.drainLimit))).Sub(now)
}

// configDelay returns the time until the next read of the configuration is due.
// The holder reads all the time, because its reads wait for the next
// configuration. A read begins at once when this returns no delay.
func (v *topicView) configDelay(now time.Time) time.Duration {
	holds := v.holds()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readBegan, v.readBeganAt = v.boot(), now
	if holds {
		return 0
	}
	if v.configAnnounced > v.configAsOf {
		return 0
	}
	return v.configAt.Add(v.configShare(maxAgeShare, revokeAgeShare)).Sub(now)
}

// configWait returns how long a read of the configuration waits for a new one. A
// read that begins as a record is written may not be answered before the end of its
// wait, and an unresponsive connection is noticed only then, so the wait is within
// the time in which the record must take effect.
func (v *topicView) configWait() time.Duration {
	if v.holds() {
		if v.hasKeys() {
			// Until the end of a read, the age counts from the beginning of the last.
			return max(v.holderInterval(2*holderConfigWait, v.configDeadline)/2, minHolderInterval)
		}
		return v.holderInterval(holderConfigWait, v.configDeadline)
	}
	return v.configShare(maxAgeShare, revokeWaitShare)
}

// holderInterval returns the interval at which the holder reads a topic whose changes must
// take effect within a time limit, at most longest. The others' views are as old as the
// holder's and its replies' interval together, and they read the topic themselves at
// maxAgeShare of the limit.
func (v *topicView) holderInterval(longest, limit time.Duration) time.Duration {
	if v.daemons == nil {
		return longest
	}
	left := time.Duration(maxAgeShare*float64(limit)) - syncer.WatchPeriod(v.daemons()) - tellMargin
	return min(longest, max(left, minHolderInterval))
}

// hasKeys reports whether the configuration has keys.
func (v *topicView) hasKeys() bool { return v.keys != nil && v.keys() }

// configShare returns a share of the time within which a new configuration must take
// effect, or another one of that within which a removed key must not be served,
// whichever is shorter.
func (v *topicView) configShare(ofDeadline, ofRevoke float64) time.Duration {
	d := time.Duration(ofDeadline * float64(v.configDeadline))
	if v.revokeTime > 0 {
		d = min(d, time.Duration(ofRevoke*float64(v.revokeTime)))
	}
	return d
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// configRead records a read of the configuration's topic by this daemon. at is the
// earliest time at which the log can have found the topic's end.
func (v *topicView) configRead(at time.Time, next, end logpos.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configAsOf = max(v.configAsOf, next)
	if next >= end {
		v.configAt = later(v.configAt, at)
		v.configProven = later(v.configProven, v.readBegan)
		seen := v.readBegan
		if waited := at.Sub(v.readBeganAt); !v.readBeganAt.IsZero() && waited > 0 {
			seen = seen.Add(waited)
		}
		v.configSeen = later(v.configSeen, seen)
	}
}

// configInForce records the version of the configuration in force.
func (v *topicView) configInForce(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configVersion = version
	if v.configTold <= version {
		v.toldAt = time.Time{}
	}
}

// isBehind reports whether the holder has a higher version of the configuration in
// force. After behindLimit that no longer counts: the operator may not write it again.
func (v *topicView) isBehind(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.toldAt.IsZero() && now.Sub(v.toldAt) < behindLimit
}

// currentAt returns when each topic was last known up to its end.
func (v *topicView) currentAt() (register, config time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.ReadAt(), v.configAt
}

// registerAge returns the time since the register was last known up to its end.
// Suspensions of the machine count.
func (v *topicView) registerAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(now.Sub(v.roster.ReadAt()), v.boot().Sub(v.registerReadBoot))
}

// recordRegisterRead keeps when the register was last known up to its end, if that has
// changed, on the clock that counts suspensions. v.mu must be held.
func (v *topicView) recordRegisterRead(boot time.Time) {
	if at := v.roster.ReadAt(); at != v.registerReadAt {
		v.registerReadAt, v.registerReadBoot = at, later(v.registerReadBoot, boot)
	}
}

// positionsInForce returns the number of known positions, which a new era makes void.
func (v *topicView) positionsInForce() (l eras.Loss) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range []logpos.Position{v.roster.AsOf(), v.configAsOf} {
		if at > 0 {
			l.Positions++
		}
	}
	return l
}

// loaded reports whether the whole register has been known.
func (v *topicView) loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster.Loaded()
}

// publish passes all upstreams to onUpstreams.
func (v *topicView) publish(now time.Time) {
	v.mu.Lock()
	ups := v.roster.Append(make([]fleet.Upstream, 0, v.roster.Len()))
	v.mu.Unlock()
	v.onUpstreams(now, ups)
}
