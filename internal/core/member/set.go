package member

import (
	"hash/fnv"
	"math/bits"
	"slices"
	"sort"
	"time"
)

// minSends is the least number of times that a fact is passed on. In a small
// deployment the logarithm alone leaves a daemon out now and then.
const minSends = 8

// Buckets is the number of groups of facts that digests compare.
const Buckets = 64

type (
	// Settings of a Set. Zero fields stand for the defaults.
	Settings struct {
		// SuspectAfter is the time from a first failed exchange until a
		// suspected daemon counts as dead; default 3 s.
		SuspicionTimeout time.Duration
		// ForgetAfter is the time that dead subjects are kept, so that a
		// late fact does not revive them; default 1 h.
		DeadRetention time.Duration
		// RetransmitFactor times log2 of the number of daemons is how often
		// a fact is passed on; default 1, because digests repair what is
		// missed.
		RetransmitFactor int
	}

	// Set is the knowledge of one daemon.
	Set struct {
		settings Settings
		self     Key
		facts    map[Key]*entry
		// recent lists facts that still have to be passed on.
		pending    map[Key]*entry
		recipients int
	}

	entry struct {
		fact      Fact
		sends     int
		changedAt time.Time
	}
)

// New returns a Set that knows only the daemon itself.
func New(now time.Time, self Fact, s Settings) *Set {
	if s.SuspicionTimeout == 0 {
		s.SuspicionTimeout = 3 * time.Second
	}
	if s.DeadRetention == 0 {
		s.DeadRetention = time.Hour
	}
	if s.RetransmitFactor == 0 {
		s.RetransmitFactor = 1
	}
	self.Kind, self.Status, self.Counter = Daemon, Alive, 1
	m := &Set{settings: s, self: self.Key(), facts: map[Key]*entry{}, pending: map[Key]*entry{}}
	m.put(now, self)
	return m
}

// Self returns the daemon's fact about itself.
func (m *Set) Self() Fact { return m.facts[m.self].fact }

// Get returns the fact about k.
func (m *Set) Get(k Key) (Fact, bool) {
	e, ok := m.facts[k]
	if !ok {
		return Fact{}, false
	}
	return e.fact, true
}

// Each calls f for every fact of a kind, in no particular order.
func (m *Set) Each(k Kind, f func(Fact)) {
	for key, e := range m.facts {
		if key.Kind == k {
			f(e.fact)
		}
	}
}

// Live appends the names of daemons that are alive or suspected, sorted, and
// returns the slice. An empty domain stands for all failure domains. Leaving
// daemons are left out, because they take no new duties.
func (m *Set) Live(dst []string, domain string) []string {
	n := len(dst)
	for k, e := range m.facts {
		if k.Kind == Daemon && e.fact.Status < Leaving && (domain == "" || e.fact.Domain == domain) {
			dst = append(dst, k.Name)
		}
	}
	sort.Strings(dst[n:])
	return dst
}

// store replaces the entry of f's subject and schedules it for passing on.
func (m *Set) put(now time.Time, f Fact) {
	k := f.Key()
	if old, ok := m.facts[k]; ok {
		m.recipients -= recipientCount(old.fact)
	}
	e := &entry{fact: f, changedAt: now}
	m.facts[k] = e
	m.pending[k] = e
	m.recipients += recipientCount(f)
}

// counted returns 1 for a daemon that facts are passed on to, else 0.
func recipientCount(f Fact) int {
	if f.Kind == Daemon && f.Status < Dead {
		return 1
	}
	return 0
}

// Merge takes facts from a peer and returns those that changed something. A
// suspicion or death notice about the daemon itself is refuted.
func (m *Set) Merge(now time.Time, facts []Fact) []Fact {
	var changed []Fact
	for _, f := range facts {
		old, ok := m.Get(f.Key())
		if f.Key() == m.self {
			if f.Supersedes(old) && f.Status != old.Status {
				old.Counter = f.Counter + 1
				m.put(now, old)
				changed = append(changed, old)
			}
			continue
		}
		if f.Kind == SuspectRequest {
			if g, ok := mergeCrashes(old, f); ok {
				m.put(now, g)
				changed = append(changed, g)
			}
			continue
		}
		if ok && !f.Supersedes(old) {
			continue
		}
		m.put(now, f)
		changed = append(changed, f)
	}
	return changed
}

// mergeCrashes returns the union of the crashes at equal counters and
// otherwise the fact with the higher counter, and whether it differs from old.
func mergeCrashes(old, f Fact) (Fact, bool) {
	if f.Counter != old.Counter || old.Kind == 0 {
		return f, f.Counter > old.Counter || old.Kind == 0
	}
	g, differs := old, false
	g.Crashes = append([]Crash(nil), old.Crashes...)
next:
	for _, c := range f.Crashes {
		for _, d := range g.Crashes {
			if c.ID == d.ID {
				continue next
			}
		}
		g.Crashes = append(g.Crashes, c)
		differs = true
	}
	sort.Slice(g.Crashes, func(i, j int) bool {
		a, b := g.Crashes[i], g.Crashes[j]
		return a.AtMS < b.AtMS || a.AtMS == b.AtMS && a.ID < b.ID
	})
	return g, differs
}

// Report records what this daemon has observed itself. The counter of f is
// set; a fact equal to the known one but for the counter changes nothing.
// It reports whether f was new.
func (m *Set) Observe(now time.Time, f Fact) bool {
	old, ok := m.Get(f.Key())
	if ok && equalContent(old, f) {
		return false
	}
	f.Counter = old.Counter + 1
	m.put(now, f)
	return true
}

// Failed records a failed exchange with a daemon, which makes it suspect.
func (m *Set) RecordFailure(now time.Time, name string) bool {
	f, ok := m.Get(Key{Daemon, name})
	if !ok || f.Status >= Suspect {
		return false
	}
	f.Status = Suspect
	m.put(now, f)
	return true
}

// Leave records that this daemon takes no new duties.
func (m *Set) MarkLeaving(now time.Time) {
	f := m.Self()
	f.Status = Leaving
	f.Counter++
	m.put(now, f)
}

// Heard records a successful exchange with a daemon. It takes back a
// suspicion of its own; the daemon refutes those of others.
func (m *Set) RecordContact(now time.Time, f Fact) []Fact {
	return m.Merge(now, []Fact{f})
}

// Tick declares daemons dead that were suspected for SuspectAfter, and
// forgets subjects that were dead for ForgetAfter. It returns what changed.
func (m *Set) Tick(now time.Time) []Fact {
	var changed []Fact
	for k, e := range m.facts {
		age := now.Sub(e.changedAt)
		switch {
		case k.Kind == Daemon && k != m.self && e.fact.Status == Suspect && age >= m.settings.SuspicionTimeout:
			f := e.fact
			f.Status = Dead
			m.put(now, f)
			changed = append(changed, f)
		case e.fact.Status == Dead && age >= m.settings.DeadRetention,
			k.Kind == SuspectRequest && age >= m.settings.DeadRetention:
			delete(m.facts, k)
			delete(m.pending, k)
		}
	}
	return changed
}

// Outgoing appends the facts to send to a peer in the given failure domain,
// those sent least often first, up to maxBytes, and returns the slice. Load
// facts go only to peers of the own failure domain.
func (m *Set) Outgoing(dst []Fact, domain string, maxBytes int) []Fact {
	own := m.Self().Domain == domain
	list := make([]*entry, 0, len(m.pending))
	for k, e := range m.pending {
		if k.Kind == UpstreamLoad && !own {
			continue
		}
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.sends != b.sends {
			return a.sends < b.sends
		}
		// Status changes go before load, which the next report replaces.
		if (a.fact.Kind == UpstreamLoad) != (b.fact.Kind == UpstreamLoad) {
			return b.fact.Kind == UpstreamLoad
		}
		return a.fact.Name < b.fact.Name
	})
	limit := max(m.settings.RetransmitFactor*bits.Len(uint(max(m.recipients, 1))), minSends)
	for _, e := range list {
		if n := e.fact.Size(); n <= maxBytes {
			maxBytes -= n
			dst = append(dst, e.fact)
			if e.sends++; e.sends >= limit {
				delete(m.pending, e.fact.Key())
			}
		}
	}
	return dst
}

// Digest returns a hash for each bucket of facts. Load facts, which change
// with each report, are left out.
func (m *Set) Digest() [Buckets]uint64 {
	var d [Buckets]uint64
	for k, e := range m.facts {
		if k.Kind != UpstreamLoad {
			d[bucketOf(k)] ^= e.fact.hash()
		}
	}
	return d
}

// Bucket appends the facts of the buckets whose digest differs from d.
func (m *Set) DifferingFacts(dst []Fact, d [Buckets]uint64) []Fact {
	own := m.Digest()
	for k, e := range m.facts {
		if b := bucketOf(k); k.Kind != UpstreamLoad && own[b] != d[b] {
			dst = append(dst, e.fact)
		}
	}
	return dst
}

func bucketOf(k Key) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte{byte(k.Kind)})
	_, _ = h.Write([]byte(k.Name))
	return int(h.Sum32() % Buckets)
}

func equalContent(a, b Fact) bool {
	if a.Status != b.Status || a.Domain != b.Domain || a.Address != b.Address ||
		a.Incarnation != b.Incarnation || a.Running != b.Running || a.Queued != b.Queued ||
		a.Background != b.Background || a.AdapterLoads != b.AdapterLoads ||
		len(a.Loaded) != len(b.Loaded) || len(a.Crashes) != len(b.Crashes) ||
		!slices.Equal(a.InMemory, b.InMemory) || !slices.Equal(a.OnDisk, b.OnDisk) {
		return false
	}
	for i := range a.Loaded {
		x, y := a.Loaded[i], b.Loaded[i]
		if x.Model != y.Model || x.Version != y.Version || !slices.Equal(x.Adapters, y.Adapters) {
			return false
		}
	}
	return slices.Equal(a.Crashes, b.Crashes)
}
