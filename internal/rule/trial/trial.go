package trial

import (
	"slices"
	"time"
)

type (
	// Judge knows the evidence against the attributes of requests, by the keys of their
	// crash histories.
	Judge interface {
		// Uncleared returns the number of crashes that haven't been cleared, and the
		// time of the last one.
		Uncleared(now time.Time, key string) (crashes int, last time.Time)
		// CompletedAt returns when a request was last answered, zero if unknown.
		CompletedAt(key string) time.Time
	}

	// Table holds the suspects at one daemon.
	Table struct {
		judge Judge
		// copies are the suspects by key, in the order of their registration, and seq
		// numbers them.
		copies map[string][]*Copy
		seq    uint64
		// contested are the keys that the holder names, as of revision rev of the
		// holder's table, and listings counts their changes.
		contested map[string]*contest
		table     uint64
		rev       uint64
		listings  uint64
		// answered is when requests were answered although the crash histories don't
		// say so, by key.
		answered map[string]time.Time
		// runs are those that ended with their upstreams, the last of which has the
		// number lastRun; the holder knows those up to toldRun, and the present report
		// has those up to reportedRun.
		// runCounts are their numbers by key.
		runs                          []endedRun
		lastRun, toldRun, reportedRun uint64
		runCounts                     map[string]int
		// assigned are the keys for which one request may be sent.
		assigned map[string]bool
		// reportID is that of the last report, made at reportedAt, and heard that of
		// the last one that was answered, made at contactAt; zero if the holder
		// assigns no trials.
		reportID, heard       uint64
		reportedAt, contactAt time.Time
	}

	// contest is a key that the holder names.
	contest struct {
		// at is when it was first named here, and until when it is forgotten, zero
		// while the present holder names it.
		at, until time.Time
	}

	// endedRun is a run that ended with its upstream.
	endedRun struct {
		keys []string
		at   time.Time
	}
)

const (
	// recentAnswer is how long a request counts as answered recently, as in package
	// blame. Requests that many callers send are answered several times in it.
	recentAnswer = time.Minute
	// answerGrace is how long after a crash an answer from before it counts: a request
	// that many callers send is answered again by then, and the platform counts the
	// sends of others from 4 s on.
	answerGrace = 2 * time.Second
	// ReportTTL is the time without a report after which the holder takes the trials of
	// a daemon as ended. It is that after which a daemon counts as out of contact.
	ReportTTL = 2 * time.Second
	// assignTTL is how long after the report that it answers an assignment may be used.
	// It is shorter than ReportTTL by the time in which a request is sent.
	assignTTL = 1500 * time.Millisecond
	// contactTTL is the time since the last report that was answered after which a daemon
	// goes by itself. It is longer than the 3.6 s from a holder's last answer until its
	// successor answers, so that the daemons don't send a copy each at every change.
	contactTTL = 4 * time.Second
	// maxRuns is the number of ended runs that are kept for the holder: those of four
	// upstreams with 48 slots that crash at once.
	maxRuns = 192
	// runTTL is how long an ended run counts, as crash histories do.
	runTTL = 10 * time.Minute
	// maxAnswered bounds the keys whose answers are kept: four times those that a holder
	// names.
	maxAnswered = 1024
)

// New returns a Table without suspects.
func New(now time.Time, judge Judge) *Table {
	return &Table{
		judge: judge, copies: map[string][]*Copy{}, contested: map[string]*contest{}, answered: map[string]time.Time{}, assigned: map[string]bool{}, runCounts: map[string]int{},
		// The numbers of a restarted process are larger than those before.
		lastRun: uint64(now.UnixNano()), toldRun: uint64(now.UnixNano()),
	}
}

// Admit decides whether a request may be sent now. A request that is held back, or hasn't
// been sent yet, is to be asked for again when something has changed.
func (t *Table) Admit(now time.Time, c *Copy) Verdict {
	if c.state == running {
		return Run
	}
	suspect, repeated := t.suspects(now, c)
	t.register(c, suspect)
	c.repeated, c.wants = repeated, false
	if len(suspect) == 0 {
		c.state = idle
		return Free
	}
	if t.blocked(c) {
		t.set(now, c, waiting)
		return Held
	}
	c.assigned = t.hasAssignment(now, c)
	if !t.InContact(now) || c.assigned || !t.disputed(now, c) {
		t.set(now, c, admitted)
		return Run
	}
	c.wants = true
	t.set(now, c, waiting)
	return Held
}

func (t *Table) set(now time.Time, c *Copy, s state) {
	if c.state != s {
		c.state, c.since = s, now
	}
}

// suspects returns the keys of a request that are suspected, and whether more than one
// crash is known of any.
func (t *Table) suspects(now time.Time, c *Copy) (keys []string, repeated bool) {
	for _, k := range c.Keys {
		crashes, since := t.judge.Uncleared(now, k)
		named := t.contestedAt(now, k)
		if crashes == 0 && named == nil {
			continue
		}
		if named != nil && named.at.After(since) {
			since = named.at
		}
		if t.isAnswered(now, k, since) {
			continue
		}
		keys = append(keys, k)
		repeated = repeated || crashes > 1
	}
	return keys, repeated
}

// isAnswered reports whether requests with a key are answered, so that a crash or a
// suspicion at a time doesn't count.
func (t *Table) isAnswered(now time.Time, key string, since time.Time) bool {
	at := t.judge.CompletedAt(key)
	if other := t.answered[key]; other.After(at) {
		at = other
	}
	return !at.IsZero() && (!at.Before(since) || now.Sub(at) < recentAnswer && now.Sub(since) < answerGrace)
}

// contestedAt returns the entry of a key that the holder names, nil if it doesn't.
func (t *Table) contestedAt(now time.Time, key string) *contest {
	c := t.contested[key]
	if c == nil || !c.until.IsZero() && !now.Before(c.until) {
		return nil
	}
	return c
}

// hasAssignment reports whether the holder has assigned the trial of a suspect.
func (t *Table) hasAssignment(now time.Time, c *Copy) bool {
	if now.Sub(t.contactAt) >= assignTTL {
		return false
	}
	for _, k := range c.suspect {
		if !t.assigned[k] {
			return false
		}
	}
	return true
}

// InContact reports whether the holder assigns the trials of this daemon.
func (t *Table) InContact(now time.Time) bool {
	return !t.contactAt.IsZero() && now.Sub(t.contactAt) < contactTTL
}

// MayDouble reports whether a request may be sent to a second upstream while the first
// one is silent.
func (t *Table) MayDouble(now time.Time, c *Copy) bool {
	return !c.Suspected() || !t.disputed(now, c)
}

// Start records that a request is sent that Admit has let pass. It reports whether that
// is the trial of a disputed suspect, and whether the holder has assigned it.
func (t *Table) Start(now time.Time, c *Copy) (disputed, assigned bool) {
	if !c.Suspected() {
		return false, false
	}
	disputed, assigned = t.disputed(now, c), c.assigned
	for _, k := range c.suspect {
		delete(t.assigned, k)
	}
	t.set(now, c, running)
	return disputed, assigned
}

// End records that a request is no longer run and doesn't wait. It returns the time since
// it was sent, 0 if it wasn't.
func (t *Table) End(now time.Time, c *Copy) (took time.Duration) {
	if c.state == running {
		took = now.Sub(c.since)
	}
	t.unregister(c)
	*c = Copy{Keys: c.Keys}
	return took
}

// Crashed records that a run with keys ended with its upstream.
func (t *Table) Crashed(now time.Time, keys []string) {
	if len(keys) == 0 {
		return
	}
	t.lastRun++
	t.runs = append(t.runs, endedRun{keys, now})
	for _, k := range keys {
		t.runCounts[k]++
	}
	if len(t.runs) > maxRuns {
		t.dropRun()
	}
}

// dropRun forgets the oldest of the ended runs.
func (t *Table) dropRun() {
	for _, k := range t.runs[0].keys {
		if t.runCounts[k]--; t.runCounts[k] == 0 {
			delete(t.runCounts, k)
		}
	}
	t.runs = t.runs[1:]
}

// Answered records that a request with keys has been answered completely, so that its
// upstream has survived it.
func (t *Table) Answered(now time.Time, keys []string) {
	if len(t.runs)+len(t.contested)+len(t.copies) == 0 {
		return
	}
	for _, k := range keys {
		if t.contested[k] != nil || len(t.copies[k]) > 0 || t.runCounts[k] > 0 {
			t.setAnswered(now, k)
		}
	}
}

// setAnswered records the answer of a key. If too many are known, that of the longest time
// ago is forgotten.
func (t *Table) setAnswered(now time.Time, key string) {
	if t.runCounts[key] > 0 {
		isKey := func(k string) bool { return k == key }
		for i, r := range t.runs {
			if slices.Contains(r.keys, key) {
				t.runs[i].keys = slices.DeleteFunc(slices.Clone(r.keys), isKey)
			}
		}
		delete(t.runCounts, key)
	}
	t.answered[key] = now
	if len(t.answered) <= maxAnswered {
		return
	}
	oldest := key
	for k, at := range t.answered {
		if at.Before(t.answered[oldest]) {
			oldest = k
		}
	}
	delete(t.answered, oldest)
}

// Held returns the number of requests that are held back, and that of the keys that the
// holder names.
func (t *Table) Held() (requests, contested int) {
	for _, c := range t.registered() {
		if c.state == waiting {
			requests++
		}
	}
	return requests, len(t.contested)
}

// HasSuspects reports whether there are suspects.
func (t *Table) HasSuspects() bool { return len(t.copies) > 0 }

// Listings returns the number of changes of the keys that the holder names.
func (t *Table) Listings() uint64 { return t.listings }
