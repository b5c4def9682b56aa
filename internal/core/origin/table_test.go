package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func at(s float64) time.Time { return time.Unix(1000, int64(s*float64(time.Second))) }

// TestStreamsAreRecorded guards against streams whose version no other daemon can know:
// those that begin while a service has two versions, and those that are in progress as
// the second one comes. Complete ones aren't resumed.
func TestStreamsAreRecorded(t *testing.T) {
	tab := New(3 * time.Second)
	tab.Registered(at(0), "s", "v1")
	tab.Begin(at(0), Stream{1, "s", "v1"})
	tab.Begin(at(0), Stream{2, "s", "v1"})
	tab.End(at(1), 2, true)
	streams, pos := tab.Since(at(1), 0, 100)
	must.SliceEmpty(t, streams)
	tab.Registered(at(2), "s", "v2")
	tab.Begin(at(2), Stream{3, "s", "v2"})
	streams, pos = tab.Since(at(2), pos, 100)
	must.Eq(t, []Stream{{1, "s", "v1"}, {3, "s", "v2"}}, streams)
	// What is read from the log isn't sent again, what is told is.
	tab.Read(at(3), []Stream{{4, "s", "v2"}}, nil)
	tab.Learn(at(3), []Stream{{3, "s", "v2"}, {4, "s", "v2"}, {5, "s", "v1"}})
	streams, _ = tab.Since(at(3), pos, 100)
	must.Eq(t, []Stream{{5, "s", "v1"}}, streams)
	for id, version := range map[uint64]string{1: "v1", 3: "v2", 4: "v2", 5: "v1"} {
		s, ok := tab.Origin(id)
		must.True(t, ok)
		must.Eq(t, version, s.Version)
	}
	_, ok := tab.Origin(9)
	must.False(t, ok)
}

// TestTableIsBounded guards against a table that grows with the number of streams ever
// begun, and against forgetting one that is still in progress.
func TestTableIsBounded(t *testing.T) {
	const perSecond = 100
	tab := New(3 * time.Second)
	tab.Registered(at(0), "s", "v2")
	tab.Begin(at(0), Stream{0, "s", "v1"})
	for i := range 200 * perSecond {
		now := at(float64(i) / perSecond)
		tab.Registered(now, "s", "v1")
		tab.Registered(now, "s", "v2")
		id := uint64(i + 1)
		tab.Begin(now, Stream{id, "s", "v1"})
		tab.End(now, id, true)
	}
	limit := perSecond * int((Retention+2*pruneInterval)/time.Second)
	must.LessEq(t, limit, tab.size())
	must.LessEq(t, limit, len(tab.recorded))
	_, ok := tab.Origin(0)
	must.True(t, ok)
	// A reader that is far behind goes on with what is left.
	streams, pos := tab.Since(at(200), 5, 10)
	must.Len(t, 10, streams)
	must.Greater(t, 100, pos)
}

// BenchmarkBegin measures the cost of a stream.
func BenchmarkBegin(b *testing.B) {
	for _, versions := range []int{1, 2} {
		b.Run(fmt.Sprint(versions, "-versions"), func(b *testing.B) {
			tab := New(3 * time.Second)
			for v := range versions {
				tab.Registered(at(0), "s", fmt.Sprint("v", v))
			}
			for i := range b.N {
				tab.Begin(at(0), Stream{uint64(i), "s", "v0"})
				tab.End(at(0), uint64(i), true)
			}
		})
	}
}

// TestStreamBeginsAgain guards against a stream that is resumed at the version of a
// former one, whose request had the same ID.
func TestStreamBeginsAgain(t *testing.T) {
	tab := New(3 * time.Second)
	tab.Registered(at(0), "s", "v1")
	tab.Registered(at(0), "s", "v2")
	tab.Begin(at(0), Stream{1, "s", "v1"})
	_, pos := tab.Since(at(0), 0, 100)
	tab.End(at(1), 1, true)
	tab.Begin(at(2), Stream{1, "s", "v2"})
	s, ok := tab.Origin(1)
	must.True(t, ok)
	must.Eq(t, "v2", s.Version)
	streams, _ := tab.Since(at(2), pos, 100)
	must.Eq(t, []Stream{{1, "s", "v2"}}, streams)
}

// TestBrokenStreamIsRecorded guards against a stream that broke off shortly before its
// service got a second version, and that no other daemon can resume.
func TestBrokenStreamIsRecorded(t *testing.T) {
	tab := New(3 * time.Second)
	tab.Registered(at(0), "s", "v1")
	tab.Begin(at(0), Stream{1, "s", "v1"})
	tab.End(at(1), 1, false)
	tab.Registered(at(1.5), "s", "v2")
	streams, _ := tab.Since(at(2), 0, 100)
	must.Eq(t, []Stream{{1, "s", "v1"}}, streams)
}

// TestLongStreamIsRecordedAgain guards against a stream whose record has been overwritten
// in the log, although it was resumed since it was written.
func TestLongStreamIsRecordedAgain(t *testing.T) {
	tab := New(3 * time.Second)
	tab.Registered(at(0), "s", "v1")
	tab.Registered(at(0), "s", "v2")
	tab.Read(at(19.9), []Stream{{1, "s", "v1"}}, nil)
	tab.Begin(at(20), Stream{1, "s", "v1"})
	streams, _ := tab.Since(at(20), 0, 100)
	must.Eq(t, []Stream{{1, "s", "v1"}}, streams)
}
