package relay

import (
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/link/guard"
)

// noLinger is the default of a connection: its end comes after the data.
const noLinger = -1

// markUnfinished has the caller's connection end with a reset until markFinished is called,
// also if the process is killed, unless the response has chunks. Without them, an end in
// order stands for the end of the response.
func (x *exchange) markUnfinished() {
	if !x.hr.ProtoAtLeast(1, 1) {
		x.resets = true
		x.setLinger(0)
	}
}

// markFinished has the caller's connection end in order if the response is whole.
func (x *exchange) markFinished() {
	if x.resets && x.whole {
		x.resets = false
		x.setLinger(noLinger)
	}
}

// setLinger sets what the end of the caller's connection does with data that hasn't been
// sent.
func (x *exchange) setLinger(sec int) {
	if err := guard.SetLinger(x.hr, sec); err != nil {
		event.CallerWriteFailed.Log("request", x.req.ID, "cause", err.Error())
	}
}
