// Package syncer keeps a daemon in contact with the holder: it tells the holder
// the daemon's demand and takes over what the holder knows.
package syncer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/logjob"
)

type (
	// Right knows who the holder is.
	Elector interface {
		Holder() (address string, fence int64)
		Holds() (fence int64, ok bool)
		HolderSeen()
		ContactLost()
	}

	// Local is the daemon's own side.
	Local interface {
		// Demand returns what to tell, and starts counting anew.
		TakeDemand(now time.Time) (d fleet.Demand, crashes []poison.Entry, cleared []string)
		// Waits reports whether a request waits.
		HasWaiting() bool
		// Hear takes over what the holder says.
		ApplyWatchReply(now time.Time, r *hub.WatchReply)
	}

	// Beliefs are what the daemon knows of the log's topics.
	TopicView interface {
		// Known returns the offsets up to which the register and the
		// configuration are known.
		KnownOffsets() (register, config int64)
		// Take takes over what the holder says of them, which was asked at a
		// time.
		Apply(asked time.Time, r *hub.WatchReply)
	}

	// Tie is the contact of one daemon.
	Syncer struct {
		host    string
		right   Elector
		local   Local
		beliefs TopicView
		self    hub.Holder
		// learn takes over what the holder has learned of the weight store.
		learn func(storeAtOnce float64)
		// topic is the log as this daemon reaches it, for jobs of the holder.
		topic logjob.Topic
		kick  <-chan struct{}
		now   func() time.Time
		// fence and rev are what was heard last.
		fence int64
		rev   uint64
		// heard counts the answers.
		heard uint64
		// daemons is the number in contact with the holder; atomic, since
		// tell and watch run side by side.
		daemons atomic.Int64
	}

	// caller is the holder, here or elsewhere.
	caller interface {
		Tell(ctx context.Context, a *hub.TellArgs) (*hub.TellReply, error)
		Watch(ctx context.Context, a *hub.WatchArgs) (*hub.WatchReply, error)
		Done(ctx context.Context, r logjob.Result) error
		Close()
	}

	// here calls this daemon's own holder side.
	here struct {
		holder hub.Holder
		now    func() time.Time
	}
)

const (
	// tellEvery is the interval at which demand is told, and tellGap the
	// least time between two calls.
	tellEvery = 200 * time.Millisecond
	tellGap   = 4 * time.Millisecond
	// firstRetry and lastRetry bound the delay after failed contacts, which
	// is jittered: a holder that is busy must not be called by all at once.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// holderCheck is the interval at which a daemon that waits looks for
	// another holder.
	holderCheck = 50 * time.Millisecond
	// loadEvery is the interval at which the load of the other daemons is
	// asked for.
	loadEvery = 150 * time.Millisecond
	// watchGap is the least time between two calls for changes, and calmGap
	// while no request waits here.
	watchGap = 10 * time.Millisecond
	calmGap  = 60 * time.Millisecond
	// tellEach, calmEach and waitEach are the least times by daemon, which
	// bound the holder's calls to 330, 500 and, while requests wait, 2,500 a
	// second.
	tellEach = 3 * time.Millisecond
	calmEach = 2 * time.Millisecond
	waitEach = 400 * time.Microsecond
)

// New returns a Tie. kick wakes it when there is something urgent to tell, self
// is this daemon's own holder side.
func New(host string, right Elector, local Local, beliefs TopicView, self hub.Holder, learn func(storeAtOnce float64), topic logjob.Topic, kick <-chan struct{}, now func() time.Time) *Syncer {
	return &Syncer{host: host, right: right, local: local, beliefs: beliefs, self: self, learn: learn, topic: topic, kick: kick, now: now}
}

// Tell tells this daemon itself.
func (h here) Tell(_ context.Context, a *hub.TellArgs) (*hub.TellReply, error) {
	fence, err := h.holder.Tell(h.now(), a)
	return &hub.TellReply{Fence: fence}, err
}

// Watch asks this daemon itself.
func (h here) Watch(ctx context.Context, a *hub.WatchArgs) (*hub.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hub.WatchWait)
	defer cancel()
	return h.holder.Watch(ctx, a)
}

// Done brings a result to this daemon itself.
func (h here) Done(_ context.Context, r logjob.Result) error {
	h.holder.Done(r)
	return nil
}

// Close does nothing.
func (here) Close() {}

// Run keeps the contact until ctx ends.
func (t *Syncer) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		heard := t.heard
		err := t.contact(ctx)
		if err != nil && ctx.Err() == nil {
			t.right.ContactLost()
			if t.heard == heard && failures == 0 {
				// A contact that is lost later is logged where that is seen.
				address, _ := t.right.Holder()
				event.HolderContact.Log("address", address, "contact", false, "cause", err.Error())
			}
		}
		if err == nil || t.heard != heard {
			failures = 0
		}
		wait := min(firstRetry<<min(failures, 3), lastRetry)
		failures++
		t.rest(ctx, wait/2+rand.N(wait/2))
	}
	return ctx.Err()
}

// rest waits, but no longer than until there is another holder.
func (t *Syncer) rest(ctx context.Context, d time.Duration) {
	before, _ := t.right.Holder()
	for ; d > 0; d -= holderCheck {
		if !pause.For(ctx, min(d, holderCheck)) {
			return
		}
		if now, _ := t.right.Holder(); now != before {
			return
		}
	}
}

// contact talks to the present holder until that fails.
func (t *Syncer) contact(ctx context.Context) error {
	var c caller
	address, _ := t.right.Holder()
	if _, mine := t.right.Holds(); mine {
		c = here{t.self, t.now}
	} else {
		if address == "" {
			return nil
		}
		client, err := hub.Dial(ctx, address)
		if err != nil {
			return err
		}
		c = client
	}
	ctx, cancel := context.WithCancel(ctx)
	defer c.Close()
	defer cancel()
	var wg sync.WaitGroup
	var told error
	wg.Go(func() {
		defer cancel()
		told = t.tell(ctx, c)
	})
	err := t.watch(ctx, c, address)
	cancel()
	wg.Wait()
	if err == nil || ctx.Err() != nil && told != nil {
		err = told
	}
	return err
}

// tell tells demand at intervals, and at once when something waits.
func (t *Syncer) tell(ctx context.Context, c caller) error {
	for {
		a := &hub.TellArgs{Host: t.host}
		a.Demand, a.Crashes, a.Cleared = t.local.TakeDemand(t.now())
		if _, err := c.Tell(ctx, a); err != nil {
			return err
		}
		timer := time.NewTimer(t.stretch(tellEvery, tellEach))
		select {
		case <-timer.C:
		case <-t.kick:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
		pause.For(ctx, t.stretch(tellGap, waitEach))
	}
}

// watch takes changes over.
func (t *Syncer) watch(ctx context.Context, c caller, address string) error {
	began := false
	var loadAt time.Time
	for {
		asked := t.now()
		a := &hub.WatchArgs{Host: t.host, Fence: t.fence, Rev: t.rev}
		a.Register, a.Config = t.beliefs.KnownOffsets()
		if asked.Sub(loadAt) >= loadEvery {
			a.Load, loadAt = true, asked
		}
		r, err := c.Watch(ctx, a)
		if err != nil {
			if began {
				event.HolderContact.Log("address", address, "contact", false, "cause", err.Error())
			}
			return err
		}
		if !began {
			began = true
			event.HolderContact.Log("address", address, "contact", true, "fence", r.Fence, "daemons", r.Daemons)
		}
		t.heard++
		t.right.HolderSeen()
		t.fence, t.rev = r.Fence, r.Rev
		t.learn(r.StoreAtOnce)
		// Copies count only for upstreams that are known.
		t.beliefs.Apply(asked, r)
		t.local.ApplyWatchReply(t.now(), r)
		if r.Job != nil {
			go t.errand(ctx, c, r.Job)
		}
		if r.Daemons > 0 {
			t.daemons.Store(int64(r.Daemons))
		}
		gap := t.stretch(calmGap, calmEach)
		if t.local.HasWaiting() {
			gap = t.stretch(watchGap, waitEach)
		}
		if !pause.For(ctx, gap) {
			return ctx.Err()
		}
	}
}

// stretch returns the larger of a time and what each daemon adds, so that the
// calls to one holder don't grow with the number of daemons.
func (t *Syncer) stretch(least, each time.Duration) time.Duration {
	return max(least, time.Duration(t.daemons.Load())*each)
}

// errand makes a call to the log for the holder.
func (t *Syncer) errand(ctx context.Context, c caller, j *logjob.Job) {
	if err := c.Done(ctx, logjob.Do(ctx, t.topic, j)); err != nil {
		event.LogJobDone.Log("append", j.Append, "at", j.At, "by", t.host, "problem", err.Error())
	}
}
