// Package syncer exchanges state with the holder: it reports the daemon's demand
// and applies the changes that the holder returns.
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
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/logjob"
	"github.com/azurespan/azurespan/internal/node/merger"
	"github.com/azurespan/azurespan/internal/node/shelf"
	"github.com/azurespan/azurespan/internal/rule/paths"
)

type (
	// Elector knows who the holder is.
	Elector interface {
		Holder() (address string, fence int64)
		Holds() (fence int64, ok bool)
		HolderSeen()
		ContactLost()
	}

	// Local is the part of the daemon that handles requests.
	Local interface {
		// TakeDemand returns the demand since the last call.
		TakeDemand(now time.Time) fleet.Demand
		// HasWaiting reports whether a request waits.
		HasWaiting() bool
		// ApplyTellReply applies the holder's reply to a report.
		ApplyTellReply(now time.Time, r *hub.TellReply)
		// ApplyWatchReply applies a reply of the holder.
		ApplyWatchReply(now time.Time, r *hub.WatchReply)
	}

	// TopicView is what the daemon knows of the log's topics.
	TopicView interface {
		// KnownPositions returns the positions up to which the register and the
		// configuration are known.
		KnownPositions() (register, config logpos.Position)
		// AskBegins is called before each question whose answer is applied.
		AskBegins()
		// Apply applies the holder's knowledge of the topics, which was
		// requested at asked.
		Apply(asked time.Time, r *hub.WatchReply)
	}

	// Syncer exchanges state with the holder for one daemon.
	Syncer struct {
		host    string
		elector Elector
		local   Local
		topics  TopicView
		crashes *poison.Table
		merger  *merger.Merger
		origins *origin.Table
		paths   *paths.Table
		// shelf keeps the complete state for other daemons.
		shelf       *shelf.Shelf
		localHolder hub.Holder
		// setStoreAtOnce takes over the holder's estimate of the number of
		// loads that the weight store serves at a time.
		setStoreAtOnce func(storeAtOnce float64)
		// topic is the lease topic as this daemon reaches it, for jobs of the
		// holder.
		topic logjob.Topic
		// dial connects to the holder at an address.
		dial func(ctx context.Context, address string) (Client, error)
		// urgent ends the wait before the next report.
		urgent <-chan struct{}
		// boot is a clock that counts suspensions of the machine.
		now, boot func() time.Time
		// fence and rev are those of the last reply, and crashesAt is the
		// position in the holder's crash histories.
		fence     int64
		rev       uint64
		limitsRev uint64
		stateRev  uint64
		slotsRev  uint64
		crashesAt poison.Cursor
		// needsRegister is set until this process has been told the whole register: what
		// it reads itself may lack that an upstream has left.
		needsRegister bool
		// replies counts the replies to Watch.
		replies uint64
		// daemons is the number in contact with the holder; atomic, since
		// tell and watch run concurrently.
		daemons atomic.Int64
		// client is the connection to the present holder, nil if there is none.
		client atomic.Pointer[Client]
		// holderTable is the ID of the holder's table of crash histories, 0 until the
		// first reply on the present connection.
		holderTable atomic.Uint64
	}

	// Client calls the holder, which may be this daemon.
	Client interface {
		Tell(ctx context.Context, a *hub.TellArgs) (*hub.TellReply, error)
		Watch(ctx context.Context, a *hub.WatchArgs) (*hub.WatchReply, error)
		Done(ctx context.Context, r logjob.Result) error
		Origin(ctx context.Context, a *hub.OriginArgs) (*hub.OriginReply, error)
		Bulk(ctx context.Context, a *hub.BulkArgs) (*hub.BulkReply, error)
		Close()
	}

	// localHolder calls the holder in this process.
	localHolder struct {
		holder hub.Holder
		now    func() time.Time
	}
)

const (
	// tellInterval is the interval of demand reports, and minTellGap the
	// minimum time between two.
	tellInterval = 200 * time.Millisecond
	minTellGap   = 4 * time.Millisecond
	// maxToldStreams bounds the streams of one report.
	maxToldStreams = 5000
	// minRetryDelay and maxRetryDelay bound the delay after failed contacts.
	// It is jittered so that the daemons don't call a busy holder all at once.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxRetryShift bounds the doublings of minRetryDelay.
	maxRetryShift = 3
	// holderCheckInterval is the interval at which a daemon in back-off checks
	// for another holder.
	holderCheckInterval = 50 * time.Millisecond
	// loadInterval is the interval at which the load of the other daemons is
	// requested.
	loadInterval = 150 * time.Millisecond
	// minWatchGap is the minimum time between two calls of Watch, and
	// idleWatchGap the one while no request waits on this daemon.
	minWatchGap  = 10 * time.Millisecond
	idleWatchGap = 60 * time.Millisecond
	// The gaps per daemon are multiplied by the number of daemons. They bound
	// the calls to the holder to 330, 500 and, while requests wait, 2,500 a
	// second.
	tellGapPerDaemon = 3 * time.Millisecond
	idleGapPerDaemon = 2 * time.Millisecond
	busyGapPerDaemon = 400 * time.Microsecond
)

// Dial connects to the holder at address over the network.
func Dial(ctx context.Context, address string) (Client, error) {
	c, err := hub.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// New returns a Syncer. A value from urgent triggers a report, and holder is
// the one in this process.
func New(host string, elector Elector, local Local, topics TopicView, crashes *poison.Table, origins *origin.Table, table *paths.Table, kept *shelf.Shelf, holder hub.Holder, setStoreAtOnce func(storeAtOnce float64), topic logjob.Topic, dial func(ctx context.Context, address string) (Client, error), urgent <-chan struct{}, now, boot func() time.Time) *Syncer {
	return &Syncer{needsRegister: true, host: host, elector: elector, local: local, topics: topics, crashes: crashes, merger: merger.New(crashes), origins: origins, paths: table, shelf: kept, localHolder: holder, setStoreAtOnce: setStoreAtOnce, topic: topic, dial: dial, urgent: urgent, now: now, boot: boot}
}

// Tell reports to the holder in this process.
func (h localHolder) Tell(_ context.Context, a *hub.TellArgs) (*hub.TellReply, error) {
	return h.holder.Tell(h.now(), a)
}

// Watch asks the holder in this process.
func (h localHolder) Watch(ctx context.Context, a *hub.WatchArgs) (*hub.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hub.WatchWait)
	defer cancel()
	return h.holder.Watch(ctx, a)
}

// Done passes a result to the holder in this process.
func (h localHolder) Done(_ context.Context, r logjob.Result) error {
	h.holder.Done(r)
	return nil
}

// Close implements Client; there is no connection to close.
func (localHolder) Close() {}

// Run exchanges state with the holder until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		replies := s.replies
		err := s.exchange(ctx)
		if err != nil && ctx.Err() == nil {
			s.elector.ContactLost()
			if s.replies == replies && failures == 0 {
				// The loss of an established contact is logged in watch.
				address, _ := s.elector.Holder()
				event.HolderContact.Log("address", address, "contact", false, "cause", err.Error())
			}
		}
		if err == nil || s.replies != replies {
			failures = 0
		}
		wait := min(minRetryDelay<<min(failures, maxRetryShift), maxRetryDelay)
		failures++
		s.backOff(ctx, wait/2+rand.N(wait/2))
	}
	return ctx.Err()
}

// backOff waits for d, or until there is another holder.
func (s *Syncer) backOff(ctx context.Context, d time.Duration) {
	before, _ := s.elector.Holder()
	for ; d > 0; d -= holderCheckInterval {
		if !pause.For(ctx, min(d, holderCheckInterval)) {
			return
		}
		if now, _ := s.elector.Holder(); now != before {
			return
		}
	}
}

// exchange runs tell and watch with the present holder until one fails.
func (s *Syncer) exchange(ctx context.Context) error {
	var c Client
	address, _ := s.elector.Holder()
	if _, mine := s.elector.Holds(); mine {
		c = localHolder{s.localHolder, s.now}
	} else {
		if address == "" {
			return nil
		}
		client, err := s.dial(ctx, address)
		if err != nil {
			return err
		}
		c = client
	}
	ctx, cancel := context.WithCancel(ctx)
	defer c.Close()
	defer cancel()
	s.holderTable.Store(0)
	s.client.Store(&c)
	defer s.client.Store(nil)
	var wg sync.WaitGroup
	var tellErr error
	wg.Go(func() {
		defer cancel()
		tellErr = s.tell(ctx, c)
	})
	err := s.watch(ctx, c, address)
	cancel()
	wg.Wait()
	if err == nil || ctx.Err() != nil && tellErr != nil {
		err = tellErr
	}
	return err
}

// tell reports demand, crash histories and the origins of streams at intervals, and
// at once when urgent says so. The holder may be another one than before, so the first
// report has all of the latter two. Histories that the holder has sent aren't returned to it.
func (s *Syncer) tell(ctx context.Context, c Client) error {
	var told poison.Cursor
	streams, readsGroups := 0, false
	for {
		a := &hub.TellArgs{Host: s.host, Demand: s.local.TakeDemand(s.now()), Path: s.paths.Report(s.now()), KeepsVersions: true, Table: s.crashes.ID()}
		table := s.holderTable.Load()
		var next poison.Cursor
		a.Crashes, next = s.crashes.SinceFor(told, true, table)
		var nextStream int
		a.Streams, nextStream = s.origins.Since(s.now(), streams, maxToldStreams)
		if readsGroups {
			a.Groups, a.Streams = origin.Groups(a.Streams), nil
		}
		for _, e := range a.Crashes {
			if len(e.Crashes) == 0 {
				a.Cleared = append(a.Cleared, e.Fingerprint)
			}
		}
		r, err := c.Tell(ctx, a)
		if err != nil {
			return err
		}
		s.local.ApplyTellReply(s.now(), r)
		if len(r.Forwarders) > 0 {
			s.paths.SetForwarders(r.Forwarders)
		}
		s.crashes.Told(table, next)
		told, streams, readsGroups = next, nextStream, r.ReadsGroups
		timer := time.NewTimer(s.gapForFleet(tellInterval, tellGapPerDaemon))
		select {
		case <-timer.C:
		case <-s.urgent:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
		pause.For(ctx, s.gapForFleet(minTellGap, busyGapPerDaemon))
	}
}

// watch requests changes and applies them.
func (s *Syncer) watch(ctx context.Context, c Client, address string) error {
	connected := false
	var loadAt time.Time
	for {
		asked, askedBoot := s.now(), s.boot()
		s.topics.AskBegins()
		a := &hub.WatchArgs{
			Host: s.host, Fence: s.fence, Rev: s.rev, LimitsRev: s.limitsRev, StateRev: s.stateRev, SlotsRev: s.slotsRev, Crashes: s.crashesAt, Table: s.crashes.ID(),
			Address: s.shelf.Address(), Keeps: s.shelf.Keeps(s.fence),
		}
		a.Register, a.Config = s.topics.KnownPositions()
		if s.needsRegister {
			a.Register = 0
		}
		if asked.Sub(loadAt) >= loadInterval {
			a.Load, loadAt = true, asked
		}
		r, err := c.Watch(ctx, a)
		if err != nil {
			if connected {
				event.HolderContact.Log("address", address, "contact", false, "cause", err.Error())
			}
			return err
		}
		if !connected {
			connected = true
			event.HolderContact.Log("address", address, "contact", true, "fence", r.Fence, "daemons", r.Daemons)
		}
		s.replies++
		s.elector.HolderSeen()
		s.fetch(ctx, r)
		whole := r.AllCopies != nil || r.WholeRegister != nil
		if whole {
			s.shelf.Keep(asked, askedBoot, r)
		}
		s.fence, s.rev, s.limitsRev, s.slotsRev = r.Fence, r.Rev, r.LimitsRev, r.SlotsRev
		s.setStoreAtOnce(r.StoreAtOnce)
		s.mergeCrashes(r)
		s.holdVersions(askedBoot, r)
		if r.Register != nil && !r.Register.LeavingOnly {
			s.needsRegister = false
		}
		// The register first: inventories of unknown upstreams are ignored.
		s.topics.Apply(asked, r)
		s.local.ApplyWatchReply(s.now(), r)
		if r.Job != nil {
			go s.runJob(ctx, c, r.Job)
		}
		if r.Daemons > 0 {
			s.daemons.Store(int64(r.Daemons))
		}
		gap := s.gapForFleet(idleWatchGap, idleGapPerDaemon)
		switch {
		case whole || len(r.Sources) > 0:
			// The changes since, or what is still missing.
			gap = idleWatchGap
		case s.local.HasWaiting():
			gap = s.gapForFleet(minWatchGap, busyGapPerDaemon)
		}
		if !pause.For(ctx, gap) {
			return ctx.Err()
		}
	}
}

// mergeCrashes merges the crash histories of the holder's reply.
func (s *Syncer) mergeCrashes(r *hub.WatchReply) {
	s.merger.Merge(s.now(), r.CrashesAt.Table, r.Crashes, event.CrashHistoryChanged, "source", "holder", "fence", r.Fence)
	s.crashesAt = r.CrashesAt
	s.holderTable.Store(r.CrashesAt.Table)
}

// runJob makes a call to the log for the holder and sends it the result.
func (s *Syncer) runJob(ctx context.Context, c Client, j *logjob.Job) {
	if err := c.Done(ctx, logjob.Do(ctx, s.topic, j)); err != nil {
		event.LogJobDone.Log("append", j.Append, "at", j.At, "by", s.host, "problem", err.Error())
	}
}
