package trial

import (
	"maps"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// maxReported bounds the requests of each kind in a report, 3 keys of 24 bytes each: 5 KB,
// which is sent each 0.2 s at most. The oldest ones go first.
const maxReported = 64

// Report returns what to tell the holder.
func (t *Table) Report(now time.Time) *fleet.TrialReport {
	t.expire(now)
	t.reportID++
	t.reportedAt = now
	r := &fleet.TrialReport{ID: t.reportID, Heard: t.heard, Table: t.table, Known: t.rev}
	used := map[string]bool{}
	for _, c := range t.registered() {
		switch {
		case c.wants && len(r.Wanted) < maxReported:
			r.Wanted = append(r.Wanted, c.suspect)
		case c.state > waiting && t.disputed(now, c) && len(r.Running) < maxReported:
			r.Running = append(r.Running, c.suspect)
			if c.state == admitted {
				for _, k := range c.suspect {
					used[k] = true
				}
			}
		}
	}
	// The holder takes what isn't in use as given back.
	maps.DeleteFunc(t.assigned, func(k string, _ bool) bool { return !used[k] })
	t.addRuns(r)
	for k, c := range t.contested {
		if at, ok := t.answered[k]; ok && c.until.IsZero() && at.After(c.at) {
			r.Answered = append(r.Answered, k)
		}
	}
	slices.Sort(r.Answered)
	return r
}

// addRuns adds the runs that the holder may not know to a report.
func (t *Table) addRuns(r *fleet.TrialReport) {
	first := t.lastRun - uint64(len(t.runs)) + 1
	skip := 0
	if t.toldRun >= first {
		skip = int(t.toldRun - first + 1)
	}
	r.FirstRun = first + uint64(skip)
	for _, run := range t.runs[skip:min(skip+maxReported, len(t.runs))] {
		r.Crashed = append(r.Crashed, run.keys)
	}
	t.reportedRun = r.FirstRun + uint64(len(r.Crashed)) - 1
}

// Apply applies the reply to the last report; nil from a holder that assigns no trials.
func (t *Table) Apply(now time.Time, r *fleet.TrialReply) {
	if r == nil {
		t.contactAt = time.Time{}
		clear(t.assigned)
		return
	}
	if r.ID != t.reportID {
		return
	}
	if now.Sub(t.contactAt) >= assignTTL {
		clear(t.assigned)
	}
	if r.Rev != t.rev || r.Table != t.table {
		t.setContested(now, r.Table, r.Contested)
	}
	t.toldRun = t.reportedRun
	if r.Table != t.table {
		t.toldRun = 0
	}
	t.table, t.rev = r.Table, r.Rev
	t.heard, t.contactAt = r.ID, t.reportedAt
	for _, k := range r.Assigned {
		t.assigned[k] = true
	}
}

// setContested replaces the keys that the holder names. What it no longer names has been
// answered somewhere. A new holder may not know yet what its predecessor named.
func (t *Table) setContested(now time.Time, table uint64, keys []string) {
	t.listings++
	listed := map[string]bool{}
	for _, k := range keys {
		listed[k] = true
		if c := t.contested[k]; c != nil {
			c.until = time.Time{}
		} else {
			t.contested[k] = &contest{at: now}
		}
	}
	for k, c := range t.contested {
		switch {
		case listed[k]:
		case table != t.table:
			if c.until.IsZero() {
				c.until = now.Add(ReportTTL)
			}
		case c.until.IsZero():
			delete(t.contested, k)
			t.setAnswered(now, k)
		}
	}
}

// expire forgets what no longer counts.
func (t *Table) expire(now time.Time) {
	before := len(t.contested)
	maps.DeleteFunc(t.contested, func(_ string, c *contest) bool { return !c.until.IsZero() && !now.Before(c.until) })
	if len(t.contested) != before {
		t.listings++
	}
	maps.DeleteFunc(t.answered, func(_ string, at time.Time) bool { return now.Sub(at) >= recentAnswer })
	for len(t.runs) > 0 && now.Sub(t.runs[0].at) >= runTTL {
		t.dropRun()
	}
}
