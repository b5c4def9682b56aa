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
	// PeerClient calls methods of other daemons.
	PeerClient interface {
		Call(ctx context.Context, address, method string, args, reply any) error
		Drop(address string)
	}

	// Message is the request or the reply of an exchange.
	Message struct {
		// From is the sender's fact about itself. To a peer that has
		// acknowledged it, only the name, counter and status are sent.
		From member.Fact
		// Known is set in a reply if its sender knows the complete fact of the
		// request's sender.
		Known bool
		// Facts are recent facts.
		Facts []member.Fact
		// Applied is the offset that the sender has applied of the control
		// stream.
		Applied uint64
		// Digest is set in some requests; the reply then has the facts of the
		// buckets that differ.
		Digest *[member.Buckets]uint64
	}

	// Settings configures a Gossip. Zero fields take the defaults.
	Settings struct {
		// Interval is the time between exchanges; default 1 s.
		Interval time.Duration
		// CrossDomainInterval is the time between exchanges with another
		// failure domain; default 4 s.
		CrossDomainInterval time.Duration
		// Timeout bounds one exchange; default 1 s.
		Timeout time.Duration
		// MaxBytes bounds the size of the facts in one message; default 700.
		MaxBytes int
		// Seeds are peer addresses that are tried at the start and then
		// periodically.
		Seeds []string
	}

	// Gossip holds the daemon's member.Set and exchanges its facts with peers.
	// It is safe for concurrent use.
	Gossip struct {
		settings Settings
		client   PeerClient
		// onChange is called with the facts that changed. mu is not held.
		onChange func(now time.Time, changed []member.Fact)
		// applied returns the daemon's offset in the control stream.
		applied func() uint64

		mu    sync.Mutex
		facts *member.Set
		rng   *rand.Rand
		seeds map[string]struct{}
		// urgent holds facts of this daemon that are sent to all peers at once;
		// see takeUrgentFacts.
		urgent []member.Fact
		// nextOwnPeer and nextContact count the exchanges with peers of this
		// daemon's failure domain and with those of other failure domains, for
		// the choice of the next one in turn.
		nextOwnPeer, nextContact int
		// introducedTo holds the addresses of peers that know this daemon's
		// address and failure domain.
		introducedTo map[string]bool
		// mostAdvancedPeer is the address of the peer with the highest known
		// offset in the control stream, mostAdvancedOffset.
		mostAdvancedPeer   string
		mostAdvancedOffset uint64
		wake               chan struct{}
	}
)

const (
	// digestEvery is the number of rounds between digests, which take
	// 512 bytes each.
	digestEvery = 8
	// seedEvery is the number of rounds between attempts to reach seeds and
	// daemons that count as dead.
	seedEvery = 5
	// contactsPerDomain bounds the daemons of each other failure domain with
	// which this one exchanges facts. Without a bound it would keep a
	// connection to each daemon of the deployment.
	contactsPerDomain = 2
	// changeDelay is the minimum time between rounds caused by changes.
	changeDelay = 100 * time.Millisecond
	// changeRound is a round number at which neither a digest nor seeds are
	// due.
	changeRound = 1
	// leaveRounds is the number of rounds that announce that this daemon is
	// leaving.
	leaveRounds = 3
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
		settings: s, client: c, onChange: onChange, applied: applied,
		facts: member.New(now, self, ms), rng: rng,
		seeds: map[string]struct{}{}, introducedTo: map[string]bool{}, wake: make(chan struct{}, 1),
	}
	g.AddSeeds(s.Seeds)
	return g
}

// AddSeeds adds peer addresses to the seeds.
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

// Do calls fn with the member set under the lock. fn must not call methods of g.
func (g *Gossip) Do(fn func(m *member.Set)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(g.facts)
}

// Live returns the live daemons of a failure domain, or of all failure domains
// if domain is empty.
func (g *Gossip) Live(domain string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.facts.Live(nil, domain)
}

// Address returns the peer address of a daemon. It returns false if the daemon
// is unknown or counts as dead.
func (g *Gossip) Address(daemon string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.facts.Get(member.Key{Kind: member.Daemon, Name: daemon})
	return f.Address, ok && f.Status != member.Dead
}

// Report records facts that this daemon has observed. Changed ones are sent at
// once, except for the load of upstreams, which is sent in the next interval.
func (g *Gossip) Report(now time.Time, facts ...member.Fact) {
	g.mu.Lock()
	var changed []member.Fact
	exchangeNow := false
	for _, f := range facts {
		if g.facts.Observe(now, f) {
			f, _ = g.facts.Get(f.Key())
			changed = append(changed, f)
			exchangeNow = exchangeNow || f.Kind != member.UpstreamLoad
			if f.Kind == member.SuspectRequest || f.Kind == member.Upstream && f.Status >= member.Leaving {
				g.urgent = append(g.urgent, f)
			}
		}
	}
	g.mu.Unlock()
	g.notifyChanged(now, changed, exchangeNow)
}

// AnnounceLeaving tells the peers that this daemon is leaving and must be given
// no new work.
func (g *Gossip) AnnounceLeaving(ctx context.Context, now time.Time) {
	g.mu.Lock()
	g.facts.MarkLeaving(now)
	g.mu.Unlock()
	for range leaveRounds {
		g.round(ctx, now, 0)
	}
}

// notifyChanged logs changed facts and passes them to onChange. If exchangeNow
// is set, Run exchanges facts before the next interval.
func (g *Gossip) notifyChanged(now time.Time, facts []member.Fact, exchangeNow bool) {
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
	if exchangeNow {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

// PeerAhead returns the address of the most advanced peer in the control stream.
// It returns false if no peer is known to have applied offset from.
func (g *Gossip) PeerAhead(from uint64) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mostAdvancedPeer, g.mostAdvancedPeer != "" && g.mostAdvancedOffset >= from
}

// ClearPeerAhead discards the most advanced peer, because it did not answer.
func (g *Gossip) ClearPeerAhead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mostAdvancedPeer, g.mostAdvancedOffset = "", 0
}

// Run exchanges facts with peers until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	tick := time.NewTicker(g.settings.Interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		g.round(ctx, time.Now(), n)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-g.wake:
			time.Sleep(changeDelay)
			n--
			// A multiple of crossDomainEvery, so that the change is sent to
			// another failure domain as well.
			g.round(ctx, time.Now(), changeRound*g.crossDomainEvery())
		}
		g.tick(time.Now())
	}
}

func (g *Gossip) tick(now time.Time) {
	g.mu.Lock()
	changed := g.facts.Tick(now)
	g.mu.Unlock()
	g.notifyChanged(now, changed, true)
}

// round exchanges facts with the peers of round n concurrently.
func (g *Gossip) round(ctx context.Context, now time.Time, n int) {
	var wg sync.WaitGroup
	urgent := g.takeUrgentFacts()
	for _, p := range g.targets(n, len(urgent) > 0) {
		wg.Go(func() { g.exchange(ctx, now, p, n%digestEvery == 0 && len(urgent) == 0, urgent) })
	}
	wg.Wait()
}

// sortPeers sorts peers in an order specific to this daemon, so that the daemons
// do not all call the same peer at the same time.
func (g *Gossip) sortPeers(peers []target) {
	self := g.facts.Self().Name
	sort.Slice(peers, func(i, j int) bool { return hrw.Score(self, peers[i].name) < hrw.Score(self, peers[j].name) })
}

// crossDomainEvery returns the number of rounds between exchanges with another
// failure domain.
func (g *Gossip) crossDomainEvery() int {
	return max(int(g.settings.CrossDomainInterval/g.settings.Interval), 1)
}

// target is a peer to exchange facts with. A seed has only an address.
type target struct{ name, domain, address string }

// takeUrgentFacts removes and returns the facts that are sent to every peer of
// this daemon at once: requests that crash upstreams, and upstreams that are
// leaving or dead. They are rare, and each second in which a daemon does not
// know them costs another crash or another refused request.
func (g *Gossip) takeUrgentFacts() []member.Fact {
	g.mu.Lock()
	defer g.mu.Unlock()
	facts := g.urgent
	g.urgent = nil
	return facts
}

// targets returns the peers for round n. If all is set, it returns all daemons
// of this failure domain and all contacts instead.
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
	g.sortPeers(own)
	g.sortPeers(contacts)
	if all {
		return append(own, contacts...)
	}
	var out []target
	pick := func(list []target) {
		if len(list) > 0 {
			out = append(out, list[g.rng.IntN(len(list))])
		}
	}
	// Peers are chosen in turn, so that the time until a dead one is detected is
	// bounded by their number; a random choice can omit one for long.
	if len(own) > 0 {
		out = append(out, own[g.nextOwnPeer%len(own)])
		g.nextOwnPeer++
	}
	// A daemon that is alone in its failure domain has no other source of facts.
	if len(contacts) > 0 && (n%g.crossDomainEvery() == 0 || len(own) == 0) {
		out = append(out, contacts[g.nextContact%len(contacts)])
		g.nextContact++
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
