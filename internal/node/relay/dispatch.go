package relay

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/pick"
	"github.com/azurespan/azurespan/internal/rule/queue"
)

// dispatch assigns queued requests to the upstreams that can run them. r.mu must
// be held.
func (r *Relay) dispatch(now time.Time) {
	r.dispatchKeys(now, func(fleet.Key) bool { return true })
}

// dispatchFreed is dispatch after a request at one upstream has ended: no other one can run
// more than before. r.mu must be held.
func (r *Relay) dispatchFreed(now time.Time, up fleet.Upstream) {
	r.dispatchKeys(now, func(k fleet.Key) bool { return r.table.Runs(now, up.ID, k) })
}

// dispatchKey is dispatch for the requests with one key. r.mu must be held.
func (r *Relay) dispatchKey(now time.Time, key fleet.Key) {
	if r.queue.Waits(key) {
		r.dispatchKeys(now, func(k fleet.Key) bool { return k == key })
	}
}

// dispatchKeys assigns the queued requests whose keys may have an upstream now. r.mu must be
// held.
func (r *Relay) dispatchKeys(now time.Time, may func(k fleet.Key) bool) {
	if r.queue.Len() == 0 {
		return
	}
	r.queue.Dispatch(now, func(it *queue.Item) bool {
		if !may(it.Key) {
			return false
		}
		w := r.waiters[it.ID]
		c, reason := r.table.Choose(now, w.query)
		if reason != pick.Found {
			return false
		}
		r.table.Start(now, c.Upstream.ID, w.query.Key)
		delete(r.waiters, it.ID)
		w.ready <- c
		return true
	})
}
