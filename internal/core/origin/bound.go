package origin

import (
	"maps"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// streams holds the entries of streams by ID. Those in progress aren't bounded, since
// each is a request of its own.
type streams struct {
	inProgress map[uint64]*entry
	// open are the streams that a caller may resume, and complete those that this
	// daemon has forwarded to their ends. Neither displaces the other.
	open, complete *simplelru.LRU[uint64, *entry]
}

const (
	// maxStreams bounds the streams that a caller may resume, and those that are
	// complete: the largest deployment begins 54,000 within Retention.
	maxStreams = 65536
	// maxRecorded bounds the streams that other daemons should know: each is recorded
	// once, and again if its caller resumes it.
	maxRecorded = 2 * maxStreams
)

func newStreams() streams {
	return streams{inProgress: map[uint64]*entry{}, open: newLRU(), complete: newLRU()}
}

func newLRU() *simplelru.LRU[uint64, *entry] {
	l, err := simplelru.NewLRU[uint64, *entry](maxStreams, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return l
}

// get returns the entry of a stream, nil if there is none.
func (s *streams) get(id uint64) *entry {
	if e := s.inProgress[id]; e != nil {
		return e
	}
	if e, ok := s.open.Peek(id); ok {
		return e
	}
	e, _ := s.complete.Peek(id)
	return e
}

// put adds an entry, or moves one that has changed. It may drop the entry of a stream
// that ended before all others of its kind.
func (s *streams) put(e *entry) {
	delete(s.inProgress, e.ID)
	switch {
	case e.inProgress:
		s.open.Remove(e.ID)
		s.complete.Remove(e.ID)
		s.inProgress[e.ID] = e
	case e.complete:
		s.open.Remove(e.ID)
		s.complete.Add(e.ID, e)
	default:
		s.complete.Remove(e.ID)
		s.open.Add(e.ID, e)
	}
}

// incomplete returns the streams that aren't complete.
func (s *streams) incomplete() []*entry {
	all := s.open.Values()
	for e := range maps.Values(s.inProgress) {
		all = append(all, e)
	}
	return all
}

// expire drops the streams that have expired.
func (s *streams) expire(now time.Time) {
	for _, l := range []*simplelru.LRU[uint64, *entry]{s.open, s.complete} {
		for _, e, ok := l.GetOldest(); ok && now.After(e.expires); _, e, ok = l.GetOldest() {
			l.RemoveOldest()
		}
	}
}

// size returns the number of streams that the table holds.
func (t *Table) size() int {
	return len(t.streams.inProgress) + t.streams.open.Len() + t.streams.complete.Len()
}
