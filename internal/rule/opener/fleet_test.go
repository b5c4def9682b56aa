package opener

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/origin"
)

type (
	// fleet simulates daemons that begin streams and resume those of others, while
	// versions join and daemons are out of step.
	fleet struct {
		rng     *rand.Rand
		now     time.Time
		daemons []*member
		// holder is the index of the holder, whose tenure ends at lapsesAt.
		holder   int
		opener   *Opener
		fence    int64
		lapsesAt time.Time
		// log is the state in the log, nil at first, and writes are those that the log
		// has yet to do.
		log    *origin.State
		writes []write
		// serves holds from when the first upstream of a version may run streams, and
		// which versions are announced as about to do so.
		serves  map[string]time.Time
		streams []stream
		// wrong counts the streams whose version was guessed, right those that were
		// named; unnamed are those at versions that weren't open yet when they broke.
		wrong, right, unnamed int
	}

	member struct {
		table *origin.Table
		// frozenUntil, cutUntil (from the holder) and deafUntil (from the log) are the
		// ends of the last times out of step.
		frozenUntil, cutUntil, deafUntil time.Time
		// answers are those of the holder on their way, rev is the last one known.
		answers []answer
		rev     uint64
		fence   int64
	}

	answer struct {
		asked, arrives time.Time
		revision       origin.Revision
		state          origin.State
	}

	write struct {
		at    time.Time
		fence int64
		state origin.State
	}

	stream struct {
		daemon  int
		version string
		begun   time.Time
	}
)

const (
	fleetStep  = 20 * time.Millisecond
	fleetDay   = 90 * time.Second
	fleetPause = wait
	// resumable is how long after its beginning a stream is resumed at most.
	resumable = 25 * time.Second
)

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: at(0), holder: -1, serves: map[string]time.Time{"v1": at(0)}}
	for range n {
		f.daemons = append(f.daemons, &member{table: origin.New(wait)})
	}
	return f
}

func (f *fleet) runs(m *member) bool { return !f.now.Before(m.frozenUntil) }

// contact reports whether two daemons reach each other.
func (f *fleet) contact(m, h *member) bool {
	return m == h || !f.now.Before(m.cutUntil) && !f.now.Before(h.cutUntil)
}

func (f *fleet) chance(perSecond float64) bool {
	return f.rng.Float64() < perSecond*fleetStep.Seconds()
}

func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

// hold renews the tenure, or begins one of another daemon a pause after the former ended.
func (f *fleet) hold() {
	if f.holder >= 0 {
		h := f.daemons[f.holder]
		if f.runs(h) && !f.now.Before(h.deafUntil) && f.now.Before(f.lapsesAt) && !f.chance(0.02) {
			f.lapsesAt = f.now.Add(time.Second)
		}
		if f.now.Before(f.lapsesAt) {
			return
		}
		f.holder = -1
	}
	if f.now.Sub(f.lapsesAt) < 500*time.Millisecond {
		return
	}
	i := f.rng.IntN(len(f.daemons))
	if m := f.daemons[i]; f.runs(m) && !f.now.Before(m.deafUntil) {
		f.holder, f.fence, f.lapsesAt = i, f.fence+1, f.now.Add(time.Second)
		f.opener = New(f.now, wait)
		f.read(m)
		f.opener.Resume(f.now, f.log, f.log == nil)
	}
}

// read lets a daemon read the log.
func (f *fleet) read(m *member) { m.table.Store(f.now, f.now, f.log, true) }

// decide lets the holder decide, and write what it has decided.
func (f *fleet) decide() {
	h := f.daemons[f.holder]
	if !f.runs(h) {
		return
	}
	for v, from := range f.serves {
		f.opener.Registered(f.now, "s", v)
		// It has ordered loads that may be done any moment.
		if f.now.Before(from.Add(time.Hour)) {
			f.opener.Serve(f.now, "s", v)
		}
	}
	f.opener.Update(f.now)
	s, _ := f.opener.State()
	if !f.now.Before(h.deafUntil) && (f.log == nil || !f.log.Equal(s)) && f.chance(20) {
		w := write{f.now.Add(f.upTo(50 * time.Millisecond)), f.fence, s}
		if f.chance(5) {
			w.at = f.now.Add(f.upTo(2 * time.Second)) // no response; done late
		}
		f.writes = append(f.writes, w)
	}
}

// writeLog does the writes that are due.
func (f *fleet) writeLog() {
	kept := f.writes[:0]
	for _, w := range f.writes {
		if f.now.Before(w.at) {
			kept = append(kept, w)
			continue
		}
		s := w.state
		if w.fence != f.fence && f.log != nil {
			s = f.log.Join(s) // a former holder's record beside that of this one
		}
		f.log = &s
		if w.fence == f.fence && f.holder >= 0 && f.runs(f.daemons[f.holder]) {
			f.opener.Written(f.now, w.state)
		}
	}
	f.writes = kept
}

// watch lets a daemon ask the holder, and take what it has answered, which may be late.
func (f *fleet) watch(m *member) {
	if f.holder >= 0 && f.chance(3) && f.runs(f.daemons[f.holder]) && f.contact(m, f.daemons[f.holder]) && f.now.Before(f.lapsesAt) {
		known := m.rev
		if m.fence != f.fence {
			known = 0
		}
		f.opener.Heard(f.now, fmt.Sprintf("%p", m), known)
		s, rev := f.opener.State()
		m.answers = append(m.answers, answer{f.now, f.now.Add(f.upTo(600 * time.Millisecond)), origin.Revision{Fence: f.fence, Rev: rev}, s})
	}
	kept := m.answers[:0]
	for _, a := range m.answers {
		if f.now.Before(a.arrives) {
			kept = append(kept, a)
			continue
		}
		m.table.Hold(f.now, a.asked, a.revision, &a.state)
		m.fence, m.rev = a.revision.Fence, a.revision.Rev
	}
	m.answers = kept
}

// resume lets a daemon that doesn't know a stream name its version, with what it has heard
// or after it has asked.
func (f *fleet) resume(m *member, s stream) {
	since := f.now
	if f.rng.IntN(2) == 0 {
		since = f.now.Add(-f.upTo(500 * time.Millisecond))
		if since.Before(s.begun) {
			return
		}
	}
	if f.holder >= 0 && f.now.Before(f.lapsesAt) && f.contact(m, f.daemons[f.holder]) && f.runs(f.daemons[f.holder]) && f.rng.IntN(2) == 0 {
		st, rev := f.opener.State()
		m.table.Hold(f.now, f.now, origin.Revision{Fence: f.fence, Rev: rev}, &st)
	} else if !f.now.Before(m.deafUntil) && f.rng.IntN(2) == 0 {
		f.read(m)
	}
	switch v, ok := m.table.Only(f.now, since, "s"); {
	case !ok:
		f.unnamed++
	case v == s.version:
		f.right++
	default:
		f.wrong++
	}
}

func (f *fleet) step() {
	f.hold()
	if f.holder >= 0 {
		f.decide()
	}
	f.writeLog()
	for i, m := range f.daemons {
		for _, until := range []*time.Time{&m.frozenUntil, &m.cutUntil, &m.deafUntil} {
			if f.chance(0.03) && f.now.After(*until) {
				*until = f.now.Add(f.upTo(8 * time.Second))
			}
		}
		if !f.runs(m) {
			continue
		}
		if f.chance(0.01) {
			*m = member{table: origin.New(wait)} // it restarts, and reads the log
		}
		if !f.now.Before(m.deafUntil) && (f.chance(0.2) || m.rev == 0) {
			f.read(m)
		}
		f.watch(m)
		for v, from := range f.serves {
			if !f.now.Before(from) && m.table.Admits("s", v) && f.chance(5) {
				f.streams = append(f.streams, stream{i, v, f.now})
			}
		}
	}
	for len(f.streams) > 0 && f.now.Sub(f.streams[0].begun) > resumable {
		f.streams = f.streams[1:]
	}
	if len(f.streams) > 0 {
		s := f.streams[f.rng.IntN(len(f.streams))]
		if i := f.rng.IntN(len(f.daemons)); i != s.daemon && f.runs(f.daemons[i]) {
			f.resume(f.daemons[i], s)
		}
	}
	f.now = f.now.Add(fleetStep)
}

// TestNoVersionIsGuessed guards against a stream that goes on at another version than began
// it, at a daemon that is out of step while a version joins, whichever way: standing still,
// cut off from the holder, from the log, or restarted; while upstreams serve from the moment
// at which they register, without loading anything; and over changes of holder with late
// writes (issue 40, rule ORDER).
func TestNoVersionIsGuessed(t *testing.T) {
	right := 0
	for seed := range uint64(200) {
		f := newFleet(seed, 4)
		joins := f.upTo(fleetDay/2) + 10*time.Second
		for f.now.Before(at(0).Add(fleetDay)) {
			if f.serves["v2"].IsZero() && f.now.After(at(0).Add(joins)) {
				f.serves["v2"] = f.now
			}
			f.step()
		}
		must.Eq(t, 0, f.wrong, must.Sprintf("seed %d, %d named", seed, f.right))
		right += f.right
	}
	// Most streams before v2 joins are named.
	must.Greater(t, 50000, right)
}
