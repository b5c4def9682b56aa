package assign

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Table holds the rights in a tenure.
	Table struct {
		id uint64
		// ttl is the time without a report after which the rights of a daemon end, and
		// assignAt when the first one may be assigned.
		ttl      time.Duration
		assignAt time.Time
		cleared  func(key string) bool

		keys  map[string]*keyState
		hosts map[string]*hostState
		// wishes are in the order in which daemons asked.
		wishes []*wish
		// contested are the contested keys in order, and rev counts their changes.
		contested []string
		rev       uint64
		// checkedAt and expiredAt are when contested keys, and all, were last looked at.
		checkedAt, expiredAt time.Time
		changes              []Change
	}

	// Change is the beginning or the end of the contest of a key.
	Change struct {
		Key       string
		Contested bool
		// Runs is the number of runs that ended with their upstreams, and Daemons that
		// of the daemons that had them or asked for the right.
		Runs, Daemons int
	}

	// keyState is what is known of a key.
	keyState struct {
		runs      int
		daemons   map[string]bool
		contested bool
		// owner is the daemon that has the right, empty if none has.
		owner string
		// usedAt is when a daemon last mentioned the key, and settledAt when a request
		// with it was last known to be answered.
		usedAt, settledAt time.Time
	}

	// hostState is what is known of a daemon: when it last reported, the last of its
	// runs, and the keys that it has the right for.
	hostState struct {
		at      time.Time
		lastRun uint64
		owned   map[string]bool
	}

	// wish is a request of a daemon for a right.
	wish struct {
		host string
		keys []string
		// granted is set once the daemon has the right, and toldIn is the report in
		// whose reply it was told, 0 before.
		granted bool
		toldIn  uint64
	}
)

const (
	// maxContested bounds the keys that daemons are told, 24 bytes each. They are told
	// when they change: 6 KB to each of 320 daemons take 2 s of a third of the slowest
	// link. A crashing request has three of them.
	maxContested = 256
	// maxKeys bounds the keys that are known, three for each request that ran on a
	// crashed upstream: those of 57 upstreams with 48 slots.
	maxKeys = 8192
	// keyTTL is how long a key is known after it was last mentioned, as crash histories
	// are.
	keyTTL = 10 * time.Minute
	// checkInterval is the time between two looks for contested keys that have been
	// answered: it delays the end of a contest by as much. expireInterval is that for
	// all keys (BenchmarkReport has the cost).
	checkInterval  = 50 * time.Millisecond
	expireInterval = time.Second
	// maxChanges bounds what TakeChanges returns.
	maxChanges = 64
)

// New returns a Table for a tenure that begins now, also if that is the one of a former
// process at this host. A daemon's rights end after a time
// without a report. cleared reports whether all crashes of a key are known to have been
// cleared by an answer.
func New(now time.Time, ttl time.Duration, cleared func(key string) bool) *Table {
	return &Table{id: uint64(now.UnixNano()), ttl: ttl, assignAt: now.Add(ttl), cleared: cleared, rev: 1, keys: map[string]*keyState{}, hosts: map[string]*hostState{}}
}

// Report records what a daemon reports, and returns the reply; nil for a daemon that
// reports nothing.
func (t *Table) Report(now time.Time, host string, r *fleet.TrialReport) *fleet.TrialReply {
	if r == nil {
		return nil
	}
	h := t.hosts[host]
	if h == nil {
		h = &hostState{owned: map[string]bool{}}
		t.hosts[host] = h
	}
	h.at = now
	t.addRuns(now, host, h, r)
	for _, k := range r.Answered {
		t.settle(now, k)
	}
	t.check(now)
	t.takeBack(host, h, r)
	for _, keys := range r.Running {
		for _, k := range keys {
			if s := t.use(now, k); s.owner == "" {
				s.owner, h.owned[k] = host, true
			}
		}
	}
	t.setWishes(now, host, r)
	t.grant(now)
	reply := &fleet.TrialReply{ID: r.ID, Table: t.id, Rev: t.rev}
	if r.Table != t.id || r.Known != t.rev {
		reply.Contested = t.contested
	}
	for _, w := range t.wishes {
		if w.host == host && w.granted {
			w.toldIn = r.ID
			reply.Assigned = append(reply.Assigned, w.keys...)
		}
	}
	return reply
}

// use returns the state of a key that a daemon mentions.
func (t *Table) use(now time.Time, key string) *keyState {
	s := t.keys[key]
	if s == nil {
		if len(t.keys) >= maxKeys {
			t.makeRoom()
		}
		s = &keyState{daemons: map[string]bool{}}
		t.keys[key] = s
	}
	s.usedAt = now
	return s
}

// makeRoom forgets an eighth of the keys, those that were mentioned longest ago of the ones
// that aren't contested and for which nobody has the right.
func (t *Table) makeRoom() {
	var unused []string
	for k, s := range t.keys {
		if s.owner == "" && !s.contested {
			unused = append(unused, k)
		}
	}
	slices.SortFunc(unused, func(a, b string) int {
		return cmp.Or(t.keys[a].usedAt.Compare(t.keys[b].usedAt), strings.Compare(a, b))
	})
	for _, k := range unused[:min(maxKeys/8, len(unused))] {
		delete(t.keys, k)
	}
}

// addRuns counts the runs of a report that aren't known yet.
func (t *Table) addRuns(now time.Time, host string, h *hostState, r *fleet.TrialReport) {
	for i, keys := range r.Crashed {
		if r.FirstRun+uint64(i) <= h.lastRun {
			continue
		}
		h.lastRun = r.FirstRun + uint64(i)
		for _, k := range keys {
			s := t.use(now, k)
			s.runs++
			s.daemons[host] = true
			if s.runs > 1 {
				t.contest(k, s)
			}
		}
	}
}

// contest names a key to the daemons. If there are too many, that which was mentioned
// longest ago makes room.
func (t *Table) contest(key string, s *keyState) {
	if s.contested {
		return
	}
	if len(t.contested) >= maxContested {
		oldest := slices.MinFunc(t.contested, func(a, b string) int { return t.keys[a].usedAt.Compare(t.keys[b].usedAt) })
		t.release(oldest, t.keys[oldest])
	}
	s.contested = true
	i, _ := slices.BinarySearch(t.contested, key)
	// Replies that are being sent keep the former list.
	t.contested = slices.Insert(slices.Clone(t.contested), i, key)
	t.changed(key, s)
}

// release ends the contest of a key.
func (t *Table) release(key string, s *keyState) {
	if !s.contested {
		return
	}
	s.contested = false
	t.contested = slices.DeleteFunc(slices.Clone(t.contested), func(k string) bool { return k == key })
	t.changed(key, s)
}

func (t *Table) changed(key string, s *keyState) {
	t.rev++
	t.changes = append(t.changes, Change{Key: key, Contested: s.contested, Runs: s.runs, Daemons: len(s.daemons)})
	t.changes = t.changes[max(len(t.changes)-maxChanges, 0):]
}

// TakeChanges returns the contests that have begun or ended since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// settle records that a request with a key has been answered.
func (t *Table) settle(now time.Time, key string) {
	s := t.keys[key]
	if s == nil {
		return
	}
	s.runs, s.settledAt = 0, now
	clear(s.daemons)
	t.release(key, s)
}

// check ends the rights of daemons that no longer report, and the contests of keys that
// have been answered or not mentioned for a long time.
func (t *Table) check(now time.Time) {
	for host, h := range t.hosts {
		if now.Sub(h.at) < t.ttl {
			continue
		}
		for k := range h.owned {
			t.free(k)
		}
		delete(t.hosts, host)
		t.wishes = slices.DeleteFunc(t.wishes, func(w *wish) bool { return w.host == host })
	}
	if now.Sub(t.checkedAt) >= checkInterval {
		t.checkedAt = now
		for _, k := range t.contested {
			if t.cleared(k) {
				t.settle(now, k)
			}
		}
	}
	if now.Sub(t.expiredAt) >= expireInterval {
		t.expiredAt = now
		for k, s := range t.keys {
			switch {
			case s.owner != "":
			case now.Sub(s.usedAt) >= keyTTL, !s.contested && t.cleared(k):
				t.release(k, s)
				delete(t.keys, k)
			}
		}
	}
}

// takeBack ends the rights that a daemon no longer uses: those that it doesn't mention, and
// those that it asks for although it knows that it had them.
func (t *Table) takeBack(host string, h *hostState, r *fleet.TrialReport) {
	used := map[string]bool{}
	for _, keys := range r.Running {
		for _, k := range keys {
			used[k] = true
		}
	}
	for _, w := range t.wishes {
		if w.host == host && w.granted && (w.toldIn == 0 || w.toldIn > r.Heard) && contains(r.Wanted, w.keys) {
			for _, k := range w.keys {
				used[k] = true
			}
		}
	}
	for k := range h.owned {
		if !used[k] {
			delete(h.owned, k)
			t.free(k)
		}
	}
	t.wishes = slices.DeleteFunc(t.wishes, func(w *wish) bool {
		return w.host == host && (!contains(r.Wanted, w.keys) || w.granted && !h.owned[w.keys[0]])
	})
}

// free ends the right for a key.
func (t *Table) free(key string) {
	if s := t.keys[key]; s != nil {
		s.owner = ""
	}
}

// contains reports whether a list of keys is among others.
func contains(lists [][]string, keys []string) bool {
	return slices.ContainsFunc(lists, func(l []string) bool { return slices.Equal(l, keys) })
}

// setWishes adds the wishes of a daemon that aren't known.
func (t *Table) setWishes(now time.Time, host string, r *fleet.TrialReport) {
	for _, keys := range r.Wanted {
		if len(keys) == 0 {
			continue
		}
		for _, k := range keys {
			s := t.use(now, k)
			s.daemons[host] = true
			// A daemon that hasn't heard yet that the key was settled still asks.
			if s.runs > 0 || now.Sub(s.settledAt) >= t.ttl && !t.cleared(k) {
				t.contest(k, s)
			}
		}
		if !slices.ContainsFunc(t.wishes, func(w *wish) bool { return w.host == host && slices.Equal(w.keys, keys) }) {
			t.wishes = append(t.wishes, &wish{host: host, keys: keys})
		}
	}
}

// grant assigns the rights that are free, the oldest wish first. A wish for several keys
// keeps later ones from them.
func (t *Table) grant(now time.Time) {
	if now.Before(t.assignAt) {
		return
	}
	awaited := map[string]bool{}
	for _, w := range t.wishes {
		if w.granted {
			continue
		}
		free := true
		for _, k := range w.keys {
			free = free && t.use(now, k).owner == "" && !awaited[k]
		}
		for _, k := range w.keys {
			if free {
				t.use(now, k).owner, t.hosts[w.host].owned[k] = w.host, true
			}
			awaited[k] = true
		}
		w.granted = free
	}
}

// Waiting returns the number of daemons' requests that wait for a right.
func (t *Table) Waiting() (n int) {
	for _, w := range t.wishes {
		if !w.granted {
			n++
		}
	}
	return n
}
