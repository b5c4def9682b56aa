package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
)

// refuseUndecodable refuses a request that could not be decoded.
func (r *Relay) refuseUndecodable(w http.ResponseWriter, err error) {
	resp := refusal{code: http.StatusBadRequest, reason: "unreadable"}
	var coded interface{ HTTPStatus() int }
	if errors.As(err, &coded) {
		resp.code = coded.HTTPStatus()
	}
	var memory *memoryError
	if errors.As(err, &memory) {
		resp.reason, resp.retryAfter = memoryReason, memoryRetryAfter
		r.metrics.Refusals.WithLabelValues(memoryReason).Inc()
	}
	event.RequestUnreadable.Log("status", resp.code, "cause", err.Error())
	r.codec.Refuse(w, "", resp.code, resp.reason, resp.retryAfter)
}

// refuse refuses a request that matched no route or whose key doesn't hold. Further
// attributes are logged.
func (r *Relay) refuse(w http.ResponseWriter, id string, resp refusal, arrived time.Time, attributes ...any) {
	event.RelayRefused.Log(append([]any{"request", id, "status", resp.code, "reason", resp.reason, "retry-after", resp.retryAfter, "after", r.now().Sub(arrived)}, attributes...)...)
	r.metrics.Refusals.WithLabelValues(resp.reason).Inc()
	r.codec.Refuse(w, id, resp.code, resp.reason, resp.retryAfter)
}
