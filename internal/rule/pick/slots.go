package pick

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/permit"
)

// SetPermits sets the permits for the slots of contended engines. Without them, the load of
// an engine alone decides whether it is full.
func (t *Table) SetPermits(p *permit.Table) { t.permits, t.permitsRev = p, ^uint64(0) }

// gate returns whether a request may be sent to an upstream, as far as its slots are granted.
func (t *Table) gate(now time.Time, u *upstream) permit.Gate {
	if t.permits == nil || t.slots[u.info.Service] == 0 {
		return permit.Open
	}
	if rev := t.permits.Rev(); rev != t.permitsRev {
		t.permitsRev = rev
		for id, o := range t.upstreams {
			o.contended = t.permits.IsContended(id)
		}
	}
	if !u.contended && t.permits.Heard() {
		return permit.Open
	}
	return t.permits.Gate(now, u.info.ID, u.localRunning, t.slots[u.info.Service])
}

// sent records that a request is sent to an upstream.
func (t *Table) sent(u *upstream) {
	if t.permits != nil {
		t.permits.Sent(u.info.ID)
	}
}

// ended records how a request to an upstream has ended.
func (t *Table) ended(now time.Time, u *upstream, o Outcome, firstByte time.Duration) {
	switch {
	case t.permits == nil || t.slots[u.info.Service] == 0:
	case o == Rejected:
		t.permits.Rejected(now, u.info.ID)
	case o == Succeeded || o == Failed:
		t.permits.Ended(u.info.ID, firstByte)
	}
}

// Contended returns the contended engines that could run a request, at most limit.
func (t *Table) Contended(now time.Time, q *Query, limit int) (ids []string) {
	if t.permits == nil || t.permits.Count() == 0 {
		return nil
	}
	for _, u := range t.byService[q.Key.Service] {
		if len(ids) == limit {
			break
		}
		if t.permits.IsContended(u.info.ID) && t.mayRun(now, u, q) {
			ids = append(ids, u.info.ID)
		}
	}
	return ids
}

// IsShared reports whether a contended engine has loaded the model of a key.
func (t *Table) IsShared(k fleet.Key) bool {
	if t.permits == nil {
		return false
	}
	return t.permits.Any(func(id string) bool {
		u := t.upstreams[id]
		return u != nil && u.info.Service == k.Service && u.models[k.Model] != nil
	})
}

// mayRun reports whether an upstream could run a request now but for its load.
func (t *Table) mayRun(now time.Time, u *upstream, q *Query) bool {
	switch {
	case u.leaving() || tried(q.Tried, u.info.ID) || u.paused(now) || u.ejected(now):
		return false
	case q.Version != nil && u.info.Version != *q.Version || (q.Begins || q.Version != nil) && u.restarted(now):
		return false
	case !u.canRun(now, q.Key) || q.Begins && q.Version == nil && u.closed:
		return false
	}
	return !t.limits.Limited(u.info) || t.limits.Allows(now, u.info)
}
