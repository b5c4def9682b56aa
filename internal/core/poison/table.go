package poison

import "time"

type (
	// Verdict classifies a request by its crash history.
	Verdict uint8

	// Crash is one crash of an upstream while it ran a request.
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

	// Table holds the crash histories that a daemon knows of.
	Table struct {
		// retention is how long a history is kept after its last crash.
		retention time.Duration
		entries   map[string]*Entry
	}
)

// Values of Verdict.
const (
	// Clean means that no upstream has recently crashed while it ran the
	// request.
	Clean Verdict = iota
	// Suspect means that the request may have caused a crash.
	Suspect
	// Quarantined means that the request must not be run again for now.
	Quarantined
)

// progressCrashLimit is the number of crashes from which a request is
// quarantined although it had produced tokens each time. The limit is high
// because hosts are reclaimed and engines restarted during long responses as
// well.
const progressCrashLimit = 4

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Clean:
		return "clean"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	}
	return "unknown"
}

// DefaultQuarantine is how long a quarantine lasts by default.
const DefaultQuarantine = 10 * time.Minute

// New returns an empty Table that keeps histories for the given time after the
// last crash. Zero stands for DefaultQuarantine.
func New(retention time.Duration) *Table {
	if retention == 0 {
		retention = DefaultQuarantine
	}
	return &Table{retention: retention, entries: map[string]*Entry{}}
}

// Observe adds a crash to the history of a fingerprint unless it contains the
// crash already, and returns the history.
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

// Set replaces the history of a fingerprint by one received from another
// daemon. An empty history removes it.
func (t *Table) Set(e Entry) {
	if len(e.Crashes) == 0 {
		delete(t.entries, e.Fingerprint)
		return
	}
	t.entries[e.Fingerprint] = &e
}

// Clear removes the history of a fingerprint whose request has completed. It
// reports whether there was one.
func (t *Table) Clear(fingerprint string) bool {
	_, ok := t.entries[fingerprint]
	delete(t.entries, fingerprint)
	return ok
}

// Count returns the number of fingerprints with known crashes, and of those that
// are quarantined at now.
func (t *Table) Count(now time.Time) (suspects, quarantined int) {
	for fp := range t.entries {
		switch v, _ := t.Judge(now, fp); v {
		case Clean:
		case Suspect:
			suspects++
		case Quarantined:
			suspects++
			quarantined++
		}
	}
	return suspects, quarantined
}

// Judge returns the verdict on a fingerprint at now and, if it is quarantined,
// the time until the quarantine ends.
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

// soleSuspect reports whether no other request that was already a suspect was
// running on the upstream at crash c.
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
