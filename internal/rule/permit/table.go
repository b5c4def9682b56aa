package permit

import (
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Table holds the grants of one daemon. It is not safe for concurrent use.
	Table struct {
		rng *rand.Rand
		// granted is the last grant that was received.
		granted fleet.GrantCursor
		// heard is set once a holder has replied, and grants if the last reply was of one
		// that grants slots. wordAt is the time of the last reply that named the
		// contended engines, and daemons the number of them then.
		heard, grants bool
		wordAt        time.Time
		daemons       int
		engines       map[string]*engine
		// rev counts the changes of which engines are contended.
		rev uint64
		// ended counts the requests that contended engines have run since the last report.
		ended map[string]int
		// waited is the time that those waited there.
		waited map[string]time.Duration
	}

	// Gate states whether a request may be sent to an engine.
	Gate uint8

	// engine is a contended one.
	engine struct {
		permits int
		// perSecond is the rate at which requests end there as last told.
		perSecond float64
		// part is this daemon's part of that rate while there is no word, as a
		// multiple of the mean, and tokens are the requests that it may send as of
		// filledAt, zero while there is word.
		part, tokens float64
		filledAt     time.Time
		// quick is the least time to the first byte of an answer that was seen.
		quick time.Duration
	}
)

// Values of Gate.
const (
	// Open means that the engine's load decides.
	Open Gate = iota
	// Permitted means that the daemon may send a request whatever the load is.
	Permitted
	// Closed means that the daemon may send none.
	Closed
)

const (
	// wordTTL and wordTTLPerDaemon are the time without word of the holder from which a
	// daemon goes by itself. Its replies come each 0.3 s and 2 ms for each daemon while
	// nothing changes.
	wordTTL          = 500 * time.Millisecond
	wordTTLPerDaemon = 2 * time.Millisecond
	// unheardPart is the part of an engine's slots that a daemon uses which has never
	// heard of a holder.
	unheardPart = 0.5
	// firstPart is the part of a daemon at first: less than the engine's rate, which was
	// measured earlier, so that no queue builds up there.
	firstPart = 0.8
	// minPart and maxPart bound the part of a daemon; at minPart it sends a request in 15 s
	// if 75 daemons share 20 a second, and at maxPart one daemon in 16 uses all.
	minPart = 0.25
	maxPart = 16.0
	// raise and lower are the factors of the part after a quick answer, and after a slow
	// one or a rejection.
	raise = 1.1
	lower = 0.7
	// slowMargin is the time beyond that of the quickest answer from which a request has
	// waited at the engine. Prompts differ by some 10 ms.
	slowMargin = 40 * time.Millisecond
	// assumedPerSecond is the rate of ends of an engine for which it isn't known: the least
	// of the hot copies that were measured (docs/design/hard-load.md, section 3.4).
	assumedPerSecond = 8.0
)

// New returns a Table of a daemon that has heard of no holder.
func New(rng *rand.Rand) *Table {
	return &Table{rng: rng, daemons: 1, engines: map[string]*engine{}, ended: map[string]int{}, waited: map[string]time.Duration{}}
}

// Word records what a reply of the holder says of the slots of engines, nil if nothing.
// daemons is the number in contact, 0 if the reply doesn't say.
func (t *Table) Word(now time.Time, w *fleet.SlotWord, daemons int) {
	t.heard = true
	if daemons > 0 {
		t.daemons = daemons
	}
	switch {
	case w == nil:
		return
	case !w.Grants:
		// A holder of an earlier build.
		t.grants = false
		t.rev++
		clear(t.engines)
		return
	case !w.Known:
		t.grants = true
		return
	}
	t.grants, t.wordAt = true, now
	if w.Same {
		for _, e := range t.engines {
			e.resume()
		}
		return
	}
	t.rev++
	former := t.engines
	t.engines = make(map[string]*engine, len(w.Contended))
	for _, c := range w.Contended {
		e := former[c.ID]
		if e == nil {
			e = &engine{}
		}
		e.perSecond = c.PerSecond
		e.resume()
		t.engines[c.ID] = e
	}
}

// resume ends the time without word of the holder.
func (e *engine) resume() { e.part, e.filledAt = firstPart, time.Time{} }

// Grant adds grants of the holder of a tenure.
func (t *Table) Grant(now time.Time, fence int64, grants []fleet.SlotGrant) {
	for _, g := range grants {
		if fence != t.granted.Fence || g.Number > t.granted.Number {
			t.granted = fleet.GrantCursor{Fence: fence, Number: g.Number}
		}
		e := t.engines[g.Engine]
		if e == nil {
			// The reply that names it as contended is under way.
			e = t.add(g.Engine)
		}
		e.permits++
	}
	if len(grants) > 0 {
		t.heard, t.grants, t.wordAt = true, true, now
	}
}

// add has an engine count as contended.
func (t *Table) add(id string) *engine {
	e := &engine{part: firstPart}
	t.engines[id] = e
	t.rev++
	return e
}

// Heard reports whether a holder has replied.
func (t *Table) Heard() bool { return t.heard }

// Rev returns the revision of which engines are contended.
func (t *Table) Rev() uint64 { return t.rev }

// Gate returns whether a request may be sent to an engine at which this daemon has a number
// of requests in progress.
func (t *Table) Gate(now time.Time, id string, running, slots int) Gate {
	if !t.heard && running >= max(int(unheardPart*float64(slots)), 1) {
		return Closed
	}
	e := t.engines[id]
	switch {
	case e == nil:
		return Open
	case t.hasWord(now):
		if e.permits > 0 {
			return Permitted
		}
		return Closed
	}
	t.fill(now, e)
	if e.tokens >= 1 {
		return Permitted
	}
	return Closed
}

// IsAlone reports whether engines are contended and the holder isn't in contact.
func (t *Table) IsAlone(now time.Time) bool { return len(t.engines) > 0 && !t.hasWord(now) }

// hasWord reports whether the holder is in contact.
func (t *Table) hasWord(now time.Time) bool {
	return t.grants && now.Sub(t.wordAt) <= wordTTL+time.Duration(t.daemons)*wordTTLPerDaemon
}

// fill adds the requests that the daemon may send by itself.
func (t *Table) fill(now time.Time, e *engine) {
	if e.filledAt.IsZero() {
		// Not all daemons send their first request at the same time.
		e.tokens, e.filledAt = t.rng.Float64(), now
		return
	}
	perSecond := e.perSecond
	if perSecond <= 0 {
		perSecond = assumedPerSecond
	}
	e.tokens = min(e.tokens+e.part*perSecond/float64(t.daemons)*now.Sub(e.filledAt).Seconds(), max(1, e.part/float64(t.daemons)))
	e.filledAt = now
}

// IsContended reports whether the engine's slots are granted.
func (t *Table) IsContended(id string) bool { return t.engines[id] != nil }

// Any reports whether a contended engine fulfils a condition.
func (t *Table) Any(is func(id string) bool) bool {
	for id := range t.engines {
		if is(id) {
			return true
		}
	}
	return false
}

// FirstByte returns the least time to the first byte of an engine's answers that was seen
// while it is contended, 0 if there was none.
func (t *Table) FirstByte(id string) time.Duration {
	if e := t.engines[id]; e != nil {
		return e.quick
	}
	return 0
}

// Count returns the number of contended engines.
func (t *Table) Count() int { return len(t.engines) }

// Sent records that a request was sent to an engine.
func (t *Table) Sent(id string) {
	if e := t.engines[id]; e != nil {
		e.permits = max(e.permits-1, 0)
		e.tokens = max(e.tokens-1, 0)
	}
}

// Ended records that an engine has run a request to its end, whose first byte took the given
// time; 0 if there was none. It counts at contended engines.
func (t *Table) Ended(id string, firstByte time.Duration) {
	e := t.engines[id]
	if e == nil {
		return
	}
	t.ended[id]++
	if firstByte <= 0 {
		return
	}
	if e.quick == 0 || firstByte < e.quick {
		e.quick = firstByte
	}
	if waited := firstByte - e.quick - slowMargin; waited > 0 {
		t.waited[id] += waited
		e.part = max(e.part*lower, minPart)
	} else {
		e.part = min(e.part*raise, maxPart)
	}
}

// Rejected records that an engine has turned a request away because it is full. Without word
// of the holder, the engine counts as contended from then on.
func (t *Table) Rejected(now time.Time, id string) {
	e := t.engines[id]
	if e == nil {
		if t.hasWord(now) || t.heard && !t.grants {
			return
		}
		e = t.add(id)
	}
	e.part = max(e.part*lower, minPart)
}

// TakeReport adds to d the last grant that was received and the requests that have ended
// since the last call, and voids the grants that are left: nothing that waits could use them.
func (t *Table) TakeReport(d *fleet.Demand) {
	for _, e := range t.engines {
		e.permits = 0
	}
	d.Granted, d.Ended, d.Waited = t.granted, t.ended, t.waited
	t.ended, t.waited = map[string]int{}, map[string]time.Duration{}
}
