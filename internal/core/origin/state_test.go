package origin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ttl = 3 * time.Second

// complete returns a complete state of service "s".
func complete(announced, open []string) *State {
	return &State{Announced: Versions{"s": announced}, Open: Versions{"s": open}, Admitted: Versions{"s": open}, Complete: true}
}

var (
	one    = complete([]string{"v1"}, []string{"v1"})
	joins  = complete([]string{"v1", "v2"}, []string{"v1"})
	joined = complete([]string{"v1", "v2"}, []string{"v1", "v2"})
)

// TestUnknownVersions guards against taking the only version that a daemon knows for
// that of a stream that began elsewhere, on a daemon that has just started, whose view of
// the register or the holder is old, that was suspended, or that knows them from one who
// doesn't know all: whatever the register says, the state must have held lately.
func TestUnknownVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// now and since are the times of the request and of its arrival.
		now, since float64
		log        *State
		logAt      float64
		holder     *State
		holderAt   float64
		want       string
	}{
		{name: "just started"},
		{name: "log without a state", now: 1, logAt: 1},
		{name: "log", now: 3, since: 3, log: one, logAt: 1, want: "v1"},
		{name: "old log", now: 5, since: 5, log: one, logAt: 1.9},
		{name: "holder", now: 3, since: 3, holder: one, holderAt: 0.5, want: "v1"},
		{name: "holder's last reply, log away", now: 3.5, since: 3.5, log: one, holder: one, holderAt: 0.5, want: "v1"},
		{name: "old holder", now: 3.6, since: 3.6, holder: one, holderAt: 0.5},
		{name: "incomplete", now: 1, since: 1, holder: &State{Announced: one.Announced, Open: one.Open}, holderAt: 1},
		{name: "announced", now: 2, since: 2, holder: joins, holderAt: 1.9},
		{name: "announced, held since the arrival", now: 2, since: 1.9, holder: joins, holderAt: 1.9, want: "v1"},
		{name: "open, held since the arrival", now: 2, since: 1.9, holder: joined, holderAt: 1.9},
		{name: "log newer than the arrival, holder old", now: 9, since: 8, log: one, logAt: 8.1, holder: joined, holderAt: 1, want: "v1"},
		{name: "another service", now: 1, since: 1, holder: complete(nil, nil), holderAt: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tab := New(ttl)
			// A view of the register that is as current as can be.
			tab.Registered(at(c.now), "s", "v1")
			if c.log != nil || c.logAt > 0 {
				tab.Store(at(c.now), at(c.logAt), c.log, false)
			}
			if c.holder != nil {
				tab.Hold(at(c.now), at(c.holderAt), Revision{1, 1}, c.holder)
			}
			v, ok := tab.Only(at(c.now), at(c.since), "s")
			must.Eq(t, c.want, v)
			must.Eq(t, c.want != "", ok)
		})
	}
}

// TestLateAnswers guards against an answer of the holder that overtakes a newer one: its
// state would be taken for the one that the holder confirms afterwards.
func TestLateAnswers(t *testing.T) {
	tab := New(ttl)
	tab.Hold(at(1), at(1), Revision{1, 2}, joined)
	tab.Hold(at(2), at(2), Revision{1, 1}, one) // asked later, answered from before
	tab.Hold(at(3), at(3), Revision{1, 1}, nil)
	tab.Hold(at(3), at(3), Revision{1, 2}, nil)
	_, ok := tab.Only(at(3), at(3), "s")
	must.False(t, ok)
	must.True(t, tab.Admits("s", "v2"))
	// Another holder decides anew.
	tab.Hold(at(4), at(4), Revision{2, 1}, nil)
	must.True(t, tab.Admits("s", "v2"))
	tab.Hold(at(5), at(5), Revision{2, 1}, one)
	must.False(t, tab.Admits("s", "v2"))
	_, ok = tab.Only(at(5), at(5), "s")
	must.True(t, ok)
}

// TestAdmits guards against streams that begin at a version before the others can know
// that it may have any, and against refusing streams where nobody announces versions.
func TestAdmits(t *testing.T) {
	tab := New(ttl)
	must.False(t, tab.Admits("s", "v1"), must.Sprint("nothing has been read"))
	n := tab.Admissions()
	tab.Store(at(0), at(0), nil, true)
	must.False(t, tab.Admits("s", "v1"), must.Sprint("nobody has decided"))
	must.True(t, tab.Undecided())
	tab.Store(at(0), at(0), nil, false)
	must.True(t, tab.Admits("s", "v1"), must.Sprint("the log of earlier builds"))
	must.Less(t, tab.Admissions(), n)
	tab.Store(at(1), at(1), joins, false)
	must.True(t, tab.Admits("s", "v1"))
	must.False(t, tab.Admits("s", "v2"))
	tab.Hold(at(2), at(2), Revision{1, 1}, joined)
	must.True(t, tab.Admits("s", "v2"))
	must.True(t, tab.Admits("s", "v2"), must.Sprint("also long after the last contact"))
	opening := *joined
	opening.Admitted = joins.Admitted
	tab.Hold(at(2), at(2), Revision{1, 2}, &opening)
	must.False(t, tab.Admits("s", "v2"), must.Sprint("the next holder may not know"))
	tab.Hold(at(3), at(3), Revision{2, 0}, &State{})
	must.True(t, tab.Admits("s", "v3"), must.Sprint("holder of an earlier build"))
	tab.Hold(at(4), at(4), Revision{3, 1}, joins)
	copied := State{Announced: one.Announced, Open: one.Open}
	tab.Store(at(5), at(5), &copied, false)
	must.True(t, tab.Admits("s", "v1"))
	must.False(t, tab.Admits("s", "v2"), must.Sprint("a log that was returned from a copy"))
	n = tab.Admissions()
	tab.Hold(at(5), at(5), Revision{3, 1}, nil)
	must.Eq(t, n, tab.Admissions()-1, must.Sprint("the holder's state counts again"))
	tab.Hold(at(6), at(6), Revision{3, 1}, nil)
	must.Eq(t, n, tab.Admissions()-1)
}

// TestAnnouncedVersionIsRecorded guards against streams in progress that nobody can resume
// once a second version has opened.
func TestAnnouncedVersionIsRecorded(t *testing.T) {
	tab := New(ttl)
	tab.Hold(at(0), at(0), Revision{1, 1}, one)
	tab.Begin(at(0), Stream{1, "s", "v1"})
	tab.Hold(at(1), at(1), Revision{1, 2}, joins)
	streams, _ := tab.Since(at(1), 0, 100)
	must.Eq(t, []Stream{{1, "s", "v1"}}, streams)
}

// TestJoin guards against a version that is lost when the states of two holders are joined.
func TestJoin(t *testing.T) {
	s := complete([]string{"v2"}, nil).Join(State{Announced: Versions{"s": {"v1", "v2"}, "t": {"v1"}}, Open: Versions{"s": {"v1"}}})
	must.True(t, s.Equal(State{Announced: Versions{"s": {"v1", "v2"}, "t": {"v1"}}, Open: Versions{"s": {"v1"}}, Complete: true}))
	must.False(t, s.Equal(*joins))
}
