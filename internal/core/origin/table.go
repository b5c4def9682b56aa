package origin

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Stream is a stream and the version at which it began.
	Stream struct {
		ID               uint64
		Service, Version string
	}

	// Table holds the origins of streams. It is safe for concurrent use.
	Table struct {
		// ttl is for how long a State may be relied on after it held.
		ttl time.Duration
		// admissions counts the changes of what Admits returns.
		admissions atomic.Uint64

		mu      sync.Mutex
		streams streams
		// versions holds when a version was last registered or announced, by
		// service and version. Streams of services with several are recorded.
		versions map[string]map[string]time.Time
		// recorded are the streams that other daemons should know, in the order
		// in which they became known; dropped is the number of former ones.
		recorded []recording
		dropped  int
		// holder and log are what these have said last.
		holder, log evidence
		prunedAt    time.Time
	}

	entry struct {
		Stream
		// inProgress is set while the stream is forwarded by this daemon.
		inProgress bool
		// complete is set once this daemon has forwarded the stream to its end.
		complete bool
		// recordedAt is when the stream was last added to Table.recorded or, if read
		// is set, read from the log, zero if neither. Its record there may be as old
		// as Retention.
		recordedAt time.Time
		read       bool
		expires    time.Time
	}

	recording struct {
		Stream
		at time.Time
	}
)

const (
	// Retention is how long streams that have ended, and versions that are no
	// longer registered, are kept: longer than the timeout of a route with
	// streams, within which a caller resumes a stream.
	Retention = 30 * time.Second
	// renewInterval is the time since a stream was recorded after which it is recorded
	// again if its caller resumes it: the log keeps it for Retention.
	renewInterval = Retention / 3
	// pruneInterval is the interval at which expired entries are dropped.
	pruneInterval = time.Second
)

// New returns an empty Table that relies on a State for ttl after it held, the least time
// from the announcement of a version to the first stream that begins there.
func New(ttl time.Duration) *Table {
	return &Table{ttl: ttl, streams: newStreams(), versions: map[string]map[string]time.Time{}}
}

// Registered records that an upstream with a version is registered for a service.
func (t *Table) Registered(now time.Time, service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addVersion(now, service, version)
	t.versions[service][version] = now
}

// addVersion adds a version unless it is known. If it is the second one of its
// service, the streams that aren't complete become recorded. t.mu must be held.
func (t *Table) addVersion(now time.Time, service, version string) {
	vs := t.versions[service]
	if vs == nil {
		vs = map[string]time.Time{}
		t.versions[service] = vs
	}
	if _, known := vs[version]; known {
		return
	}
	vs[version] = now
	if len(vs) < 2 {
		return
	}
	for _, e := range t.streams.incomplete() {
		if e.Service == service {
			t.record(now, e)
		}
	}
}

// Begin records that the daemon forwards the first event of a stream, or goes on with
// a stream that its caller resumes. A former stream with its ID is forgotten. It reports
// whether other daemons have to be told its version.
func (t *Table) Begin(now time.Time, s Stream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	e := t.entry(now, s)
	if e.Stream != s || e.read {
		e.Stream, e.read, e.recordedAt = s, false, time.Time{}
	}
	e.inProgress, e.complete = true, false
	t.streams.put(e)
	several := len(t.versions[s.Service]) > 1
	if several {
		t.record(now, e)
	}
	return several
}

// End records that the daemon no longer forwards a stream, which may be complete. It
// reports whether the caller may resume it at a daemon that has to be told its version.
func (t *Table) End(now time.Time, id uint64, complete bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.streams.get(id)
	if e == nil {
		return false
	}
	e.inProgress, e.complete, e.expires = false, complete, now.Add(Retention)
	t.streams.put(e)
	return !complete && len(t.versions[e.Service]) > 1
}

// Learn adds streams that another daemon has told. They are passed on.
func (t *Table) Learn(now time.Time, streams []Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for _, s := range streams {
		t.record(now, t.add(now, s))
	}
}

// Read adds what was read from the log at a time: streams and the versions of
// services. It isn't passed on. A version that is read again isn't renewed, so that
// one that is no longer registered expires.
func (t *Table) Read(now time.Time, streams []Stream, versions map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for _, s := range streams {
		t.heard(now, s)
	}
	for service, vs := range versions {
		for _, v := range vs {
			t.addVersion(now, service, v)
		}
	}
}

// Heard adds a stream that the holder knows. It isn't passed on.
func (t *Table) Heard(now time.Time, s Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard(now, s)
}

// heard adds a stream that other daemons can know as well. t.mu must be held.
func (t *Table) heard(now time.Time, s Stream) {
	if e := t.add(now, s); e.recordedAt.IsZero() {
		e.recordedAt, e.read = now, true
	}
}

// add returns the entry of a stream, which is kept for Retention from now on. t.mu must
// be held.
func (t *Table) add(now time.Time, s Stream) *entry {
	e := t.entry(now, s)
	t.streams.put(e)
	return e
}

// entry is add for a caller that keeps the entry itself.
func (t *Table) entry(now time.Time, s Stream) *entry {
	e := t.streams.get(s.ID)
	if e == nil {
		e = &entry{Stream: s}
	}
	e.expires = now.Add(Retention)
	return e
}

// record adds a stream to those that other daemons should know, unless that was done
// lately. t.mu must be held.
func (t *Table) record(now time.Time, e *entry) {
	if e.recordedAt.IsZero() || now.Sub(e.recordedAt) > renewInterval {
		e.recordedAt = now
		t.recorded = append(t.recorded, recording{e.Stream, now})
		t.dropRecorded(max(len(t.recorded)-maxRecorded, 0))
	}
}

// Origin returns the stream with an ID, false if it isn't known.
func (t *Table) Origin(id uint64) (Stream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.streams.get(id)
	if e == nil {
		return Stream{}, false
	}
	return e.Stream, true
}

// Versions returns the versions of the last Retention by service, sorted.
func (t *Table) Versions(now time.Time) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	all := make(map[string][]string, len(t.versions))
	for service, vs := range t.versions {
		for v := range vs {
			all[service] = append(all[service], v)
		}
		slices.Sort(all[service])
	}
	return all
}

// Since returns the streams that other daemons should know from a position on, at
// most limit, and the position after them. The first position is 0.
func (t *Table) Since(now time.Time, position, limit int) ([]Stream, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	position = max(position, t.dropped)
	rest := t.recorded[min(position-t.dropped, len(t.recorded)):]
	streams := make([]Stream, 0, min(len(rest), limit))
	for _, r := range rest[:min(len(rest), limit)] {
		streams = append(streams, r.Stream)
	}
	return streams, position + len(streams)
}

// prune drops what is older than Retention. t.mu must be held.
func (t *Table) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	t.streams.expire(now)
	for service, vs := range t.versions {
		for v, at := range vs {
			if now.Sub(at) > Retention {
				delete(vs, v)
			}
		}
		if len(vs) == 0 {
			delete(t.versions, service)
		}
	}
	n := 0
	for n < len(t.recorded) && now.Sub(t.recorded[n].at) > Retention {
		n++
	}
	t.dropRecorded(n)
}

// dropRecorded drops the first n streams that other daemons should know. t.mu must be
// held.
func (t *Table) dropRecorded(n int) {
	t.recorded = t.recorded[n:]
	t.dropped += n
}
