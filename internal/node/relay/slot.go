package relay

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// countSlotTime counts a request that ended for the next report to the holder, if a model
// served it. It took a time, the last part of which its answer: the first event of a stream
// shows that its wait for a slot has ended. Other responses come as a whole. The relay's lock
// must be held.
func (x *exchange) countSlotTime(took, answer time.Duration) {
	if !x.relay.declared(x.query.Key) {
		return
	}
	if x.route.Kind != fleet.Stream {
		answer = took
	}
	k := fleet.Key{Service: x.query.Key.Service, Model: x.query.Key.Model}
	s := x.relay.slotTimes[k]
	s.Ended++
	s.First += max(took-answer, 0)
	s.Rest += answer
	x.relay.slotTimes[k] = s
}
