package relay

import (
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
)

// observe records what a response says of its upstream. The request was sent at a time;
// source is its ID, or where the response came from.
func (r *Relay) observe(res *http.Response, up fleet.Upstream, sent time.Time, source string) {
	n := r.codec.Notice(res)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits.Answered(r.now(), sent, up, n.PerSecond, n.Limited) {
		event.UpstreamLimit.Log("upstream", up.ID, "born", up.Born, "limited", n.Limited, "per-second", n.PerSecond, "source", source)
	}
	if r.table.Notice(r.now(), sent, up, n) {
		event.UpstreamNotice.Log("upstream", up.ID, "born", up.Born, "leaving", n.Leaving, "pause", n.Pause, "brittle", n.Brittle, "may-reject", n.MaxRejections, "source", source)
	}
}
