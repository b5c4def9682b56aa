package share

import (
	"cmp"
	"slices"
	"time"
)

// begin has an engine's slots granted if all are in use. A single daemon knows all that an
// engine runs.
func (t *Table) begin(now time.Time, e *engine) {
	if !e.isContended && len(t.daemons) > 1 && e.total+e.granted >= t.slots[e.id] && len(t.contended) < MaxContended {
		e.isContended, e.calmSince, e.ends, e.classes = true, time.Time{}, ends{}, nil
		e.lateGranted, e.lateSeconds, e.foreign, e.observedAt = flow{}, flow{}, 0, now
		i, _ := slices.BinarySearchFunc(t.contended, e.id, func(o *engine, id string) int { return cmp.Compare(o.id, id) })
		t.contended = slices.Insert(t.contended, i, e)
		t.isChanged = true
	}
}

// endCalm has the slots of engines no longer granted that were calm for calmTime.
func (t *Table) endCalm(now time.Time) {
	ended := false
	for _, e := range t.contended {
		switch {
		case len(t.daemons) > 1 && (float64(e.total+e.granted) >= calmPart*float64(t.slots[e.id]) || t.isWanted(e)):
			e.calmSince = time.Time{}
		case e.calmSince.IsZero():
			e.calmSince = now
		case now.Sub(e.calmSince) > calmTime:
			e.isContended, ended = false, true
		}
	}
	if ended {
		t.dropCalm()
	}
}

// isWanted reports whether a request without a grant waits for an engine.
func (t *Table) isWanted(e *engine) bool {
	for _, d := range t.daemons {
		for _, r := range d.requests {
			if slices.Contains(r.engines, e) {
				return true
			}
		}
	}
	return false
}

// dropCalm drops the engines that are no longer contended.
func (t *Table) dropCalm() {
	t.contended = slices.DeleteFunc(t.contended, func(e *engine) bool { return !e.isContended })
	t.isChanged = true
}

// announce has daemons told of the contended engines if these have changed, or the rates of
// their ends are old.
func (t *Table) announce(now time.Time) {
	gap := time.Duration(float64(len(t.daemons)*len(t.contended)*entryBytes) / bytesPerSecond * float64(time.Second))
	if age := now.Sub(t.announcedAt); age >= gap && (t.isChanged || len(t.contended) > 0 && age >= maxWordAge) {
		t.rev++
		t.announcedAt, t.isChanged = now, false
	}
}

// observe adjusts the estimate of the requests at an engine that no report has, by the time
// that requests waited there which have ended since the last report of a daemon: those of
// daemons that don't reach the holder or are of an earlier build, as many as wait at the
// engine all the time (Little's law) and some that have slots.
func (e *engine) observe(now time.Time, slots, ended int, waited time.Duration) {
	passed := min(now.Sub(e.observedAt), foreignMemory).Seconds()
	e.observedAt = now
	if ended <= 0 || passed <= 0 {
		return
	}
	queued := max(waited.Seconds(), 0) / float64(ended) * e.ends.perSecond(now)
	e.foreign += passed * (max(queued-tolerated, 0)/foreignRise.Seconds() - e.foreign/foreignMemory.Seconds())
	e.foreign = min(max(e.foreign, 0), maxForeignPart*float64(slots))
}
