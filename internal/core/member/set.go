package member

import (
	"hash/fnv"
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/poison"
)

// minSends is the minimum number of times that a fact is sent. In a small
// deployment the logarithm alone is too low, and a fact occasionally does not
// reach a daemon.
const minSends = 8

// Buckets is the number of buckets of facts in a digest.
const Buckets = 64

// Defaults for zero fields of Settings.
const (
	defaultSuspicionTimeout = 3 * time.Second
	defaultDeadRetention    = time.Hour
	defaultRetransmitFactor = 1
)

type (
	// Settings of a Set. A zero field stands for its default.
	Settings struct {
		// SuspicionTimeout is the time from the first failed exchange until
		// a suspected daemon is declared dead; default 3 s.
		SuspicionTimeout time.Duration
		// DeadRetention is how long dead subjects and suspect requests are
		// kept, so that a late fact does not revive a dead subject; default
		// 1 h.
		DeadRetention time.Duration
		// RetransmitFactor times log2 of the number of daemons is the number
		// of times that a fact is sent, but at least minSends; default 1,
		// because the exchange of digests repairs missed facts.
		RetransmitFactor int
	}

	// Set holds the facts that one daemon knows. It is not safe for concurrent
	// use.
	Set struct {
		settings Settings
		self     Key
		facts    map[Key]*entry
		// pending holds the facts that still have to be sent.
		pending map[Key]*entry
		// suspects bounds the facts about suspect requests.
		suspects *suspects
		// recipients counts the daemons that are not dead.
		recipients int
	}

	entry struct {
		fact      Fact
		sends     int // times that the fact was sent
		changedAt time.Time
	}
)

// New returns a Set that holds only the daemon's fact about itself.
func New(now time.Time, self Fact, s Settings) *Set {
	if s.SuspicionTimeout == 0 {
		s.SuspicionTimeout = defaultSuspicionTimeout
	}
	if s.DeadRetention == 0 {
		s.DeadRetention = defaultDeadRetention
	}
	if s.RetransmitFactor == 0 {
		s.RetransmitFactor = defaultRetransmitFactor
	}
	self.Kind, self.Status, self.Counter = Daemon, Alive, 1
	m := &Set{settings: s, self: self.Key(), facts: map[Key]*entry{}, pending: map[Key]*entry{}, suspects: newSuspects()}
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

// Each calls f for every fact of a kind, in unspecified order.
func (m *Set) Each(k Kind, f func(Fact)) {
	for key, e := range m.facts {
		if key.Kind == k {
			f(e.fact)
		}
	}
}

// Live appends the sorted names of the daemons that are alive, slow or suspected
// to dst and returns dst. An empty domain stands for all failure domains.
// Leaving daemons are omitted, because they accept no new work.
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

// put replaces the entry of f's subject and schedules the fact for sending. It returns
// false if f is about a suspect that is dropped at once.
func (m *Set) put(now time.Time, f Fact) bool {
	k := f.Key()
	if k.Kind == SuspectRequest {
		if dropped, drops := m.suspects.add(f); drops {
			m.drop(dropped)
			if dropped == k {
				return false
			}
		}
	}
	if old, ok := m.facts[k]; ok {
		m.recipients -= recipientCount(old.fact)
	}
	e := &entry{fact: f, changedAt: now}
	m.facts[k] = e
	m.pending[k] = e
	m.recipients += recipientCount(f)
	return true
}

// drop removes the facts about a subject that isn't a live daemon.
func (m *Set) drop(k Key) {
	m.suspects.remove(k)
	delete(m.facts, k)
	delete(m.pending, k)
}

// recipientCount returns 1 if f is about a daemon that receives facts, else 0.
func recipientCount(f Fact) int {
	if f.Kind == Daemon && f.Status < Dead {
		return 1
	}
	return 0
}

// Merge applies facts from a peer and returns the resulting facts that changed.
// A newer fact that gives the daemon itself another status, such as a suspicion,
// is refuted with a higher counter.
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
			if g, ok := mergeCrashes(old, f); ok && m.put(now, g) {
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

// mergeCrashes returns the fact with the crashes of both facts, except those that
// either has cleared. It reports whether the result should replace old.
func mergeCrashes(old, f Fact) (Fact, bool) {
	if old.Kind == 0 {
		return f, true
	}
	if f.Counter > old.Counter && len(f.Crashes)+len(f.Cleared) == 0 {
		// Earlier versions clear all crashes without naming them.
		f.Cleared = old.Crashes
	}
	joined := poison.Join(f.History(), old.History())
	g := old
	g.Counter = max(old.Counter, f.Counter)
	g.Crashes, g.Cleared = fromHistory(joined.Crashes), fromHistory(joined.Cleared)
	g.Status = Alive
	if len(g.Crashes) > 0 {
		g.Status = Suspect
	}
	return g, g.Counter != old.Counter || !joined.Equal(old.History())
}

// SuspectFact returns the fact about a suspect request with the given history.
func SuspectFact(e poison.Entry) Fact {
	f := Fact{Kind: SuspectRequest, Name: e.Fingerprint, Status: Alive, Crashes: fromHistory(e.Crashes), Cleared: fromHistory(e.Cleared)}
	if len(f.Crashes) > 0 {
		f.Status = Suspect
	}
	return f
}

// History returns the crash history of a suspect request.
func (f Fact) History() poison.Entry {
	return poison.Entry{Fingerprint: f.Name, Crashes: toHistory(f.Crashes), Cleared: toHistory(f.Cleared)}
}

func toHistory(crashes []Crash) (out []poison.Crash) {
	for _, c := range crashes {
		out = append(out, poison.Crash{ID: c.ID, At: time.UnixMilli(c.AtMS), Progress: c.Progress})
	}
	return out
}

func fromHistory(crashes []poison.Crash) (out []Crash) {
	for _, c := range crashes {
		out = append(out, Crash{ID: c.ID, AtMS: c.At.UnixMilli(), Progress: c.Progress})
	}
	return out
}

// Observe records a fact that this daemon has observed itself, with the next
// counter of the subject. It changes nothing and returns false if the content is
// the same as that of the known fact, or if it is about a suspect whose crashes are
// older than those of all others in a full set.
func (m *Set) Observe(now time.Time, f Fact) bool {
	old, ok := m.Get(f.Key())
	if ok && equalContent(old, f) {
		return false
	}
	if f.Kind == SuspectRequest && ok {
		f, _ = mergeCrashes(old, f)
	}
	f.Counter = old.Counter + 1
	return m.put(now, f)
}

// RecordFailure records a failed exchange with a daemon, which makes the daemon
// suspect. It reports whether the status changed.
func (m *Set) RecordFailure(now time.Time, name string) bool {
	f, ok := m.Get(Key{Daemon, name})
	if !ok || f.Status >= Suspect {
		return false
	}
	f.Status = Suspect
	m.put(now, f)
	return true
}

// MarkLeaving records that this daemon accepts no new work.
func (m *Set) MarkLeaving(now time.Time) {
	f := m.Self()
	f.Status = Leaving
	f.Counter++
	m.put(now, f)
}

// RecordContact records a successful exchange with a daemon, in which it sent
// its fact f about itself. A suspicion ends when the daemon refutes it, with a
// higher counter in f.
func (m *Set) RecordContact(now time.Time, f Fact) []Fact {
	return m.Merge(now, []Fact{f})
}

// Tick declares daemons dead that have been suspect for SuspicionTimeout, and
// removes dead subjects and suspect requests that have not changed for
// DeadRetention. It returns the facts about daemons declared dead.
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
			m.drop(k)
		}
	}
	return changed
}

// Outgoing appends the facts to send to a peer in the given failure domain to
// dst, least often sent first, up to maxBytes, and returns dst. UpstreamLoad
// facts are sent only within the daemon's own failure domain.
func (m *Set) Outgoing(dst []Fact, domain string, maxBytes int) []Fact {
	sameDomain := m.Self().Domain == domain
	entries := make([]*entry, 0, len(m.pending))
	for k, e := range m.pending {
		if k.Kind == UpstreamLoad && !sameDomain {
			continue
		}
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if a.sends != b.sends {
			return a.sends < b.sends
		}
		// Status changes precede load, which the next observation replaces.
		if (a.fact.Kind == UpstreamLoad) != (b.fact.Kind == UpstreamLoad) {
			return b.fact.Kind == UpstreamLoad
		}
		return a.fact.Name < b.fact.Name
	})
	limit := max(m.settings.RetransmitFactor*bits.Len(uint(max(m.recipients, 1))), minSends)
	for _, e := range entries {
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

// Digest returns a hash for each bucket of facts. UpstreamLoad facts, which
// change with each observation, are omitted.
func (m *Set) Digest() [Buckets]uint64 {
	var d [Buckets]uint64
	for k, e := range m.facts {
		if k.Kind != UpstreamLoad {
			d[bucketOf(k)] ^= e.fact.hash()
		}
	}
	return d
}

// DifferingFacts appends the facts of the buckets whose hash differs from that
// in d to dst and returns dst.
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
	return slices.Equal(a.Crashes, b.Crashes) && slices.Equal(a.Cleared, b.Cleared)
}
