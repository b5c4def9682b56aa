package relay

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/guard"
)

const (
	// noRouteReason is the refusal reason of a request that matches no route.
	noRouteReason = "no-route"
	// unconfiguredReason is that of a request that comes before the first configuration.
	unconfiguredReason = "no-configuration"
	// smallBodyBytes is the length up to which a body is read before a refusal, so that
	// the connection can be used again.
	smallBodyBytes = 4 << 10
)

// refuseUndecodable refuses a request that could not be decoded.
func (r *Relay) refuseUndecodable(w http.ResponseWriter, err error) {
	resp := refusal{code: http.StatusBadRequest, reason: "unreadable"}
	var coded interface{ HTTPStatus() int }
	if errors.As(err, &coded) {
		resp.code = coded.HTTPStatus()
	}
	var own *memoryError
	var guarded *guard.MemoryError
	if errors.As(err, &own) || errors.As(err, &guarded) {
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		resp.reason, resp.retryAfter = memoryReason, memoryRetryAfter
		r.metrics.Refusals.WithLabelValues(memoryReason).Inc()
	}
	event.RequestUnreadable.Log("status", resp.code, "cause", err.Error())
	r.codec.Refuse(w, "", resp.code, resp.reason, resp.retryAfter)
}

// refuseUnread refuses a request whose body needn't be read for that, and reports whether
// it did. Its connection is closed, since the client may send on.
func (r *Relay) refuseUnread(w http.ResponseWriter, hr *http.Request, limit int) bool {
	if hr.ContentLength >= 0 && hr.ContentLength <= smallBodyBytes {
		return false
	}
	if hr.ContentLength > int64(limit) {
		w.Header().Set("Connection", "close")
		event.RequestUnreadable.Log("status", http.StatusRequestEntityTooLarge, "cause", "body too large", "bytes", hr.ContentLength)
		r.codec.Refuse(w, "", http.StatusRequestEntityTooLarge, "unreadable", 0)
		return true
	}
	cfg := r.Config()
	if cfg != nil && match(cfg, hr.Host, hr.URL.EscapedPath()) != nil {
		return false
	}
	resp := refusal{http.StatusServiceUnavailable, unconfiguredReason, unconfiguredRetryAfter}
	if cfg != nil {
		resp = refusal{code: http.StatusNotFound, reason: noRouteReason}
	}
	w.Header().Set("Connection", "close")
	r.refuse(w, "", resp, r.now())
	return true
}

// match returns the route of a request, nil if there is none.
func match(cfg *fleet.Config, host, path string) *fleet.Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	return cfg.Match(host, path)
}

// refuse refuses a request that matched no route or whose key doesn't hold. Further
// attributes are logged.
func (r *Relay) refuse(w http.ResponseWriter, id string, resp refusal, arrived time.Time, attributes ...any) {
	event.RelayRefused.Log(append([]any{"request", id, "status", resp.code, "reason", resp.reason, "retry-after", resp.retryAfter, "after", r.now().Sub(arrived)}, attributes...)...)
	r.metrics.Refusals.WithLabelValues(resp.reason).Inc()
	r.codec.Refuse(w, id, resp.code, resp.reason, resp.retryAfter)
}
