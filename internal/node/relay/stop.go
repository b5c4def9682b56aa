package relay

import "time"

// Stop refuses queued requests, now and later, and new ones that may still be in progress
// at endsAt, when the caller ends them: the daemon exits before they could be served.
func (r *Relay) Stop(endsAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endsAt = endsAt
	close(r.stopped)
}

// EndRequests ends the requests in progress: the callers of those whose response hasn't
// begun receive 502, since they may have run.
func (r *Relay) EndRequests() { r.endServing(errStopping) }
