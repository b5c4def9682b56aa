package loader

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/logjob"
)

// Tell takes over what a daemon tells.
func (l *Loader) Tell(now time.Time, a *hub.TellArgs) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active {
		return 0, &hub.NotHolderError{Host: l.host}
	}
	l.planner.RecordDemand(now, a.Host, a.Demand)
	p := &peer{at: now, running: make(map[string]int, len(a.Demand.Running))}
	for id, by := range a.Demand.Running {
		for _, n := range by {
			p.running[id] += n
		}
	}
	l.daemons[a.Host] = p
	for _, c := range a.Crashes {
		for _, crash := range c.Crashes {
			l.crashes.Observe(c.Fingerprint, crash)
		}
		l.suspect[c.Fingerprint] = true
		event.CrashReported.Log("host", a.Host, "fingerprint", c.Fingerprint, "crashes", len(c.Crashes))
		l.rev++
	}
	for _, fp := range a.Cleared {
		l.crashes.Clear(fp)
		l.suspect[fp] = true
	}
	l.wake()
	return l.fence, nil
}

// Watch returns what has changed since a revision, or the state of the daemons
// after a while.
func (l *Loader) Watch(ctx context.Context, a *hub.WatchArgs) (*hub.WatchReply, error) {
	for {
		// What is announced from here on ends the wait below.
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		r, err := l.look(a, ctx.Err() != nil)
		if r != nil || err != nil {
			return r, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// look returns what there is to tell a daemon, nil if there is nothing and it
// needn't be told so.
func (l *Loader) look(a *hub.WatchArgs, anyway bool) (*hub.WatchReply, error) {
	now := l.now()
	register, config := l.news(now, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active {
		return nil, &hub.NotHolderError{Host: l.host}
	}
	since := a.Rev
	if a.Fence != l.fence {
		since = 0
	}
	r := l.told(now, a, since)
	var job *logjob.Job
	if a.Host != l.host {
		job = l.desk.Take(a.Host)
	}
	if r == nil && (anyway || job != nil || fresh(a, register, config)) {
		r = l.reply(now, a, nil, since)
	}
	if r == nil {
		return nil, nil
	}
	r.Job, r.Register, r.Config = job, register, config
	if register != nil && register.Full {
		l.packRegister(now, r)
	}
	return r, nil
}

// fresh reports whether a daemon must be told of the log's topics at once.
func fresh(a *hub.WatchArgs, register *roster.Update, config *hub.TopicState) bool {
	return register != nil && (register.Full || len(register.Put)+len(register.Gone) > 0) || config != nil && config.AsOf > a.Config
}

// told returns the reply with the copies that have changed since a revision, nil
// if there are none; l.mu is held.
func (l *Loader) told(now time.Time, a *hub.WatchArgs, since uint64) *hub.WatchReply {
	all := since == 0 && a.Host != l.host
	if p := &l.copies; all && p.bulk != nil && p.fence == l.fence && now.Sub(p.at) <= packedLife {
		return l.bulk(now, a)
	}
	copies, rev := l.planner.CopiesSince(now, since)
	if len(copies) == 0 {
		return nil
	}
	if all {
		b, err := hub.Pack(copies)
		if err == nil {
			l.copies = packed[[]fleet.Inventory]{b, now, l.fence, rev}
			return l.bulk(now, a)
		}
		event.BulkEncodeFailed.Log("of", "copies", "cause", err.Error())
	}
	return l.reply(now, a, copies, rev)
}

// bulk returns the reply with all copies; l.mu is held.
func (l *Loader) bulk(now time.Time, a *hub.WatchArgs) *hub.WatchReply {
	r := l.reply(now, a, nil, l.copies.rev)
	r.AllCopies = l.copies.bulk
	return r
}

// packRegister replaces the whole register in r by what is packed for all; l.mu
// is held.
func (l *Loader) packRegister(now time.Time, r *hub.WatchReply) {
	if l.whole.bulk == nil || l.whole.fence != l.fence || now.Sub(l.whole.at) > packedLife {
		bulk, err := hub.Pack(r.Register)
		if err != nil {
			event.BulkEncodeFailed.Log("of", "register", "cause", err.Error())
			return
		}
		l.whole = packed[*roster.Update]{bulk: bulk, at: now, fence: l.fence}
	}
	r.Register, r.WholeRegister, r.WholeAge = nil, l.whole.bulk, now.Sub(l.whole.at)
}

// news returns what this daemon knows of the log's topics that another one
// doesn't.
func (l *Loader) news(now time.Time, a *hub.WatchArgs) (*roster.Update, *hub.TopicState) {
	if a.Host == l.host {
		return nil, nil
	}
	return l.topics.Register(now, a.Register), l.topics.Config(now)
}

// Done takes the result of a call to the log over.
func (l *Loader) Done(r logjob.Result) { l.desk.Done(r) }

// StoreAtOnce returns the number of loads from the weight store at once that has
// been learned, 0 for none.
func (l *Loader) StoreAtOnce() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active {
		return l.planner.StoreConcurrency()
	}
	return l.set.StoreConcurrency
}

// Learn takes over what another holder has learned of the weight store.
func (l *Loader) SetStoreAtOnce(storeAtOnce float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if storeAtOnce >= 1 {
		l.set.StoreConcurrency = storeAtOnce
	}
}

// Announce wakes the calls of Watch.
func (l *Loader) NotifyWatchers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announce()
}

// reply collects what a daemon is told; l.mu is held.
func (l *Loader) reply(now time.Time, a *hub.WatchArgs, copies []fleet.Inventory, rev uint64) *hub.WatchReply {
	r := &hub.WatchReply{
		Fence: l.fence, Rev: rev, Copies: copies, Coming: l.planner.LoadsInProgress(now), StoreAtOnce: l.planner.StoreConcurrency(),
	}
	if a.Load {
		r.Running, r.Daemons = l.running(now, a.Host)
	}
	for fp := range l.suspect {
		e := l.crashes.Entry(fp)
		if len(e.Crashes) == 0 {
			delete(l.suspect, fp)
		}
		r.Crashes = append(r.Crashes, e)
	}
	return r
}

// running sums the requests in progress of all daemons but host, and counts
// the daemons; l.mu is held.
func (l *Loader) running(now time.Time, host string) (by map[string]int, daemons int) {
	by = map[string]int{}
	for name, p := range l.daemons {
		if now.Sub(p.at) > peerMemory {
			delete(l.daemons, name)
			continue
		}
		daemons++
		if name == host {
			continue
		}
		for id, n := range p.running {
			by[id] += n
		}
	}
	return by, daemons
}

// announce wakes the calls of Watch; l.mu is held.
func (l *Loader) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}
