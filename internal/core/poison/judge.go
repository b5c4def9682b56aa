package poison

import "time"

// Suspects returns the number of requests with known crashes.
func (t *Table) Suspects(now time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, h := range t.entries {
		if isRequest(key) && len(h.Crashes) > 0 && t.left(now, h.Crashes[len(h.Crashes)-1]) > 0 {
			n++
		}
	}
	return n
}

// Judge returns the verdict on a fingerprint at now and, if it is quarantined,
// the time until the quarantine ends.
func (t *Table) Judge(now time.Time, fingerprint string) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.entries[fingerprint]; h != nil {
		t.bound.use(fingerprint)
		return t.judge(now, h)
	}
	return Clean, 0
}

// judge is Judge for a known history. t.mu must be held.
func (t *Table) judge(now time.Time, h *history) (Verdict, time.Duration) {
	if len(h.Crashes) == 0 {
		return Clean, 0
	}
	left := t.left(now, h.Crashes[len(h.Crashes)-1])
	if left <= 0 {
		return Clean, 0
	}
	for _, c := range h.Crashes[1:] {
		if t.soleSuspect(h, c) && (!c.Progress || len(h.Crashes) >= progressCrashLimit) {
			return Quarantined, left
		}
	}
	return Suspect, 0
}

// soleSuspect reports whether no other request that was already a suspect was running on
// the upstream at crash c. t.mu must be held.
func (t *Table) soleSuspect(h *history, c Crash) bool {
	for key, o := range t.entries {
		if !isRequest(key) || o == h || len(o.Crashes) == 0 {
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
