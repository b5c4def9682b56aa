package poison

import "time"

type (
	// Verdict is a judgement on a request.
	Verdict uint8

	// Crash is one crash of an upstream during a request.
	Crash struct {
		// ID names the upstream and its incarnation, so that reports of the
		// same crash by several daemons count once.
		ID string
		At time.Time
		// Progress is set if the request had produced tokens on the upstream
		// in this attempt.
		Progress bool
	}

	// Entry is the history of one fingerprint.
	Entry struct {
		Fingerprint string
		Crashes     []Crash
	}

	// Table holds the suspects that a daemon knows of.
	Table struct {
		// hold is how long a suspect is remembered after its last crash.
		retention time.Duration
		entries   map[string]*Entry
	}
)

// Verdicts.
const (
	Clean Verdict = iota
	Suspect
	Quarantined
)

// patience is the number of crashes after which a request is quarantined
// although it had made progress each time. Hosts are reclaimed and engines are
// restarted under long answers as well.
const progressCrashLimit = 4

// DefaultHold is the time that a quarantine lasts.
const DefaultQuarantine = 10 * time.Minute

// New returns an empty Table. A hold of zero stands for DefaultHold.
func New(hold time.Duration) *Table {
	if hold == 0 {
		hold = DefaultQuarantine
	}
	return &Table{retention: hold, entries: map[string]*Entry{}}
}

// Observe adds a crash to a fingerprint and returns its entry.
func (t *Table) Observe(fingerprint string, c Crash) Entry {
	e := t.entries[fingerprint]
	if e == nil {
		e = &Entry{Fingerprint: fingerprint}
		t.entries[fingerprint] = e
	}
	for _, d := range e.Crashes {
		if d.ID == c.ID {
			return *e
		}
	}
	i := len(e.Crashes)
	for i > 0 && e.Crashes[i-1].At.After(c.At) {
		i--
	}
	e.Crashes = append(e.Crashes, Crash{})
	copy(e.Crashes[i+1:], e.Crashes[i:])
	e.Crashes[i] = c
	return *e
}

// Entry returns the history of a fingerprint, empty if it is unknown.
func (t *Table) Entry(fingerprint string) Entry {
	if e := t.entries[fingerprint]; e != nil {
		return Entry{Fingerprint: fingerprint, Crashes: append([]Crash(nil), e.Crashes...)}
	}
	return Entry{Fingerprint: fingerprint}
}

// Set replaces the history of a fingerprint, as heard from a peer. An empty
// history clears it.
func (t *Table) Set(e Entry) {
	if len(e.Crashes) == 0 {
		delete(t.entries, e.Fingerprint)
		return
	}
	t.entries[e.Fingerprint] = &e
}

// Clear forgets a fingerprint, because its request has completed. It reports
// whether the fingerprint was known.
func (t *Table) Clear(fingerprint string) bool {
	_, ok := t.entries[fingerprint]
	delete(t.entries, fingerprint)
	return ok
}

// Judge returns the verdict on a fingerprint at now and, for a quarantined
// one, the time left.
func (t *Table) Judge(now time.Time, fingerprint string) (Verdict, time.Duration) {
	e := t.entries[fingerprint]
	if e == nil {
		return Clean, 0
	}
	left := e.Crashes[len(e.Crashes)-1].At.Add(t.retention).Sub(now)
	if left <= 0 {
		delete(t.entries, fingerprint)
		return Clean, 0
	}
	for _, c := range e.Crashes[1:] {
		if t.soleSuspect(e, c) && (!c.Progress || len(e.Crashes) >= progressCrashLimit) {
			return Quarantined, left
		}
	}
	return Suspect, 0
}

// soleSuspect reports whether no other request that was a suspect already ran
// on the upstream at crash c.
func (t *Table) soleSuspect(e *Entry, c Crash) bool {
	for _, o := range t.entries {
		if o == e {
			continue
		}
		for _, d := range o.Crashes[1:] {
			if d.ID == c.ID {
				return false
			}
		}
	}
	return true
}
