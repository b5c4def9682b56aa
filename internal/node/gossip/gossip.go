package gossip

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/core/member"
)

type (
	// Caller is the part of the peer client that a Gossip needs.
	PeerClient interface {
		Call(ctx context.Context, address, method string, args, reply any) error
		Drop(address string)
	}

	// News is one half of an exchange.
	Message struct {
		// From is the sender's fact about itself. To a peer that has
		// acknowledged it, only the name, counter and status are sent.
		From member.Fact
		// Known is set in a reply if the peer knows the whole fact.
		Known bool
		// Facts are recent facts.
		Facts []member.Fact
		// Applied is the sender's offset in the control stream.
		Applied uint64
		// Digest is sent with some exchanges; the reply then has the facts
		// of the buckets that differ.
		Digest *[member.Buckets]uint64
	}

	// Settings of a Gossip. Zero fields stand for the defaults.
	Settings struct {
		// Interval between exchanges; default 1 s.
		Interval time.Duration
		// CrossInterval between exchanges with another failure domain;
		// default 4 s.
		CrossDomainInterval time.Duration
		// Timeout of one exchange; default 1 s.
		Timeout time.Duration
		// MaxBytes bounds the facts in one exchange; default 700.
		MaxBytes int
		// Seeds are peer addresses.
		Seeds []string
	}

	// Gossip owns the daemon's member.Set.
	Gossip struct {
		set    Settings
		caller PeerClient
		// onChange is called with the facts that changed, without the lock.
		onChange func(now time.Time, changed []member.Fact)
		applied  func() uint64

		mu    sync.Mutex
		facts *member.Set
		rng   *rand.Rand
		seeds map[string]struct{}
		// urgent holds own observations that all peers are told, see takeUrgent.
		urgent []member.Fact
		// ownTurn and contactTurn count the turns of the peers of the own and of
		// other failure domains.
		ownTurn, contactTurn int
		// introduced holds the addresses of peers that know this daemon's
		// address and failure domain.
		introduced map[string]bool
		// ahead is the peer address with the highest offset heard of.
		ahead   string
		aheadAt uint64
		kick    chan struct{}
	}
)

const (
	// digestEvery is the number of intervals between digests, which cost
	// 512 bytes each.
	digestEvery = 8
	// seedEvery is the number of intervals between attempts to reach seeds
	// and daemons believed dead.
	seedEvery = 5
	// contactsPerDomain bounds the daemons of each other failure domain that
	// this one exchanges news with. Without a bound it would keep a connection
	// to each daemon of the deployment.
	contactsPerDomain = 2
	// kickGap is the least time between exchanges caused by changes.
	kickGap = 100 * time.Millisecond
	// kicked is a round number at which neither a digest nor seeds are due.
	kicked = 1
)

// New returns a Gossip for the daemon described by self. applied returns its
// offset in the control stream.
func New(now time.Time, self member.Fact, ms member.Settings, s Settings, c PeerClient, rng *rand.Rand,
	applied func() uint64, onChange func(time.Time, []member.Fact),
) *Gossip {
	if s.Interval == 0 {
		s.Interval = time.Second
	}
	if s.CrossDomainInterval == 0 {
		s.CrossDomainInterval = 4 * time.Second
	}
	if s.Timeout == 0 {
		s.Timeout = time.Second
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = 700
	}
	g := &Gossip{
		set: s, caller: c, onChange: onChange, applied: applied,
		facts: member.New(now, self, ms), rng: rng,
		seeds: map[string]struct{}{}, introduced: map[string]bool{}, kick: make(chan struct{}, 1),
	}
	g.AddSeeds(s.Seeds)
	return g
}

// AddSeeds adds peer addresses to try.
func (g *Gossip) AddSeeds(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.facts.Self().Address
	for _, a := range addresses {
		if a != own && a != "" {
			g.seeds[a] = struct{}{}
		}
	}
}

// Do calls fn with the member set under the lock. fn must not call back.
func (g *Gossip) Do(fn func(m *member.Set)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(g.facts)
}

// Live returns the live daemons of a failure domain, "" for all.
func (g *Gossip) Live(domain string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.facts.Live(nil, domain)
}

// Address returns the peer address of a daemon that is not known to be dead.
func (g *Gossip) Address(daemon string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.facts.Get(member.Key{Kind: member.Daemon, Name: daemon})
	return f.Address, ok && f.Status != member.Dead
}

// Report records own observations and sends changed ones on at once, but for
// load, which waits for the next interval.
func (g *Gossip) Report(now time.Time, facts ...member.Fact) {
	g.mu.Lock()
	var changed []member.Fact
	kick := false
	for _, f := range facts {
		if g.facts.Observe(now, f) {
			f, _ = g.facts.Get(f.Key())
			changed = append(changed, f)
			kick = kick || f.Kind != member.UpstreamLoad
			if f.Kind == member.SuspectRequest || f.Kind == member.Upstream && f.Status >= member.Leaving {
				g.urgent = append(g.urgent, f)
			}
		}
	}
	g.mu.Unlock()
	g.changed(now, changed, kick)
}

// Leave tells the peers that this daemon takes no new duties.
func (g *Gossip) AnnounceLeaving(ctx context.Context, now time.Time) {
	g.mu.Lock()
	g.facts.MarkLeaving(now)
	g.mu.Unlock()
	for range 3 {
		g.round(ctx, now, 0)
	}
}

func (g *Gossip) changed(now time.Time, facts []member.Fact, urgent bool) {
	if len(facts) == 0 {
		return
	}
	for _, f := range facts {
		switch f.Kind {
		case member.Daemon:
			event.DaemonStatus.Log("daemon", f.Name, "status", f.Status.String(), "failure-domain", f.Domain)
		case member.Upstream:
			event.UpstreamStatus.Log("upstream", f.Name, "status", f.Status.String(), "replicas", len(f.Loaded), "incarnation", f.Incarnation)
		case member.UpstreamLoad, member.ModelLoads, member.SuspectRequest:
		}
	}
	g.onChange(now, facts)
	if urgent {
		select {
		case g.kick <- struct{}{}:
		default:
		}
	}
}

// Ahead returns the address of a peer that has applied offset from or later.
func (g *Gossip) PeerAhead(from uint64) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ahead, g.ahead != "" && g.aheadAt >= from
}

// ClearAhead forgets the peer that is furthest, because it did not answer.
func (g *Gossip) ClearPeerAhead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ahead, g.aheadAt = "", 0
}

// Run exchanges news until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	tick := time.NewTicker(g.set.Interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		g.round(ctx, time.Now(), n)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-g.kick:
			time.Sleep(kickGap)
			n--
			g.round(ctx, time.Now(), kicked*g.crossEvery())
		}
		g.tick(time.Now())
	}
}

func (g *Gossip) tick(now time.Time) {
	g.mu.Lock()
	changed := g.facts.Tick(now)
	g.mu.Unlock()
	g.changed(now, changed, true)
}

// round exchanges news with the peers of one interval, all at the same time.
func (g *Gossip) round(ctx context.Context, now time.Time, n int) {
	var wg sync.WaitGroup
	urgent := g.takeUrgent()
	for _, p := range g.targets(n, len(urgent) > 0) {
		wg.Go(func() { g.exchange(ctx, now, p, n%digestEvery == 0 && len(urgent) == 0, urgent) })
	}
	wg.Wait()
}

// arrange sorts peers in an order of this daemon's own, so that daemons do not
// all turn to the same peer at the same time.
func (g *Gossip) arrange(peers []target) {
	self := g.facts.Self().Name
	sort.Slice(peers, func(i, j int) bool { return hrw.Score(self, peers[i].name) < hrw.Score(self, peers[j].name) })
}

// crossEvery is the number of intervals between exchanges with another failure
// domain.
func (g *Gossip) crossEvery() int {
	return max(int(g.set.CrossDomainInterval/g.set.Interval), 1)
}

type target struct{ name, domain, address string }

// takeUrgent returns the facts that every peer of this daemon is told at once:
// requests that crash upstreams, and upstreams that leave or end. They are rare,
// and each second in which a daemon does not know them costs another crash or
// another refused request.
func (g *Gossip) takeUrgent() []member.Fact {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.urgent
	g.urgent = nil
	return a
}

// targets picks the peers for interval n, or all peers.
func (g *Gossip) targets(n int, all bool) []target {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.facts.Self()
	var own, dead []target
	other := map[string][]string{} // names by failure domain
	byName := map[string]target{}
	known := map[string]bool{}
	g.facts.Each(member.Daemon, func(f member.Fact) {
		t := target{f.Name, f.Domain, f.Address}
		switch {
		case f.Name == self.Name:
		case f.Status == member.Dead:
			dead = append(dead, t)
		case f.Domain == self.Domain:
			own = append(own, t)
			known[f.Address] = true
		default:
			other[f.Domain] = append(other[f.Domain], f.Name)
			byName[f.Name] = t
			known[f.Address] = true
		}
	})
	var contacts []target
	for _, names := range other {
		for _, n := range hrw.Top(nil, self.Name, names, contactsPerDomain) {
			contacts = append(contacts, byName[n])
		}
	}
	g.arrange(own)
	g.arrange(contacts)
	if all {
		return append(own, contacts...)
	}
	var out []target
	pick := func(list []target) {
		if len(list) > 0 {
			out = append(out, list[g.rng.IntN(len(list))])
		}
	}
	// Peers take turns, so that the time until a dead one is noticed is bounded
	// by their number; random choices can leave one out for long.
	if len(own) > 0 {
		out = append(out, own[g.ownTurn%len(own)])
		g.ownTurn++
	}
	// A daemon that is alone in its failure domain hears nothing there.
	if len(contacts) > 0 && (n%g.crossEvery() == 0 || len(own) == 0) {
		out = append(out, contacts[g.contactTurn%len(contacts)])
		g.contactTurn++
	}
	if n%seedEvery == 0 {
		pick(dead)
		var seeds []target
		for a := range g.seeds {
			if !known[a] {
				seeds = append(seeds, target{address: a})
			}
		}
		pick(seeds)
		if len(own)+len(contacts) == 0 {
			out = append(out, seeds...)
		}
	}
	return out
}
