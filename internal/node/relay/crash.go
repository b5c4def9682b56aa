package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
)

// logSuspect logs and counts the send of a request under which upstreams have
// crashed.
func (x *exchange) logSuspect(now time.Time, up fleet.Upstream) {
	r := x.relay
	r.mu.Lock()
	crashes := r.blame.Crashes(x.attributes)
	holderAge := now.Sub(r.lastReply)
	r.mu.Unlock()
	label := metric.CrashesMore
	switch crashes {
	case 0:
		return
	case 1:
		label = metric.CrashesOne
	case 2:
		label = metric.CrashesTwo
	}
	r.metrics.SuspectSends.WithLabelValues(label).Inc()
	event.SuspectSent.Log("request", x.req.ID, "fingerprint", x.fingerprint(), "caller", x.caller, "path", x.req.Path, "upstream", up.ID, "crashes", crashes, "holder-age", holderAge,
		"attributes", strings.Join(x.attributes[1:], ","))
}

// fingerprint returns the key of the history of all that the caller sent.
func (x *exchange) fingerprint() string { return x.attributes[0] }

// attributesAt returns the keys of the crash histories to which a run on an upstream is
// added: also those at its software version while the service has several. The caller
// holds relay.mu.
func (x *exchange) attributesAt(up fleet.Upstream) []string {
	if !x.relay.table.HasVersions(up.Service) {
		return x.attributes
	}
	return blame.AtVersion(x.attributes, up.Version)
}

// recordCrash adds the crash of an upstream, which had been answering the request for
// the given time, to the histories of the request's attributes. The caller holds
// relay.mu.
func (x *exchange) recordCrash(now time.Time, up fleet.Upstream, answeredFor time.Duration) {
	r := x.relay
	crash := poison.Crash{ID: incarnation(up), At: now, Progress: x.events.EventCount > 0}
	r.blame.Crashed(x.attributesAt(up), crash, answeredFor)
	r.trials.Crashed(now, x.copy.Keys)
	for _, end := range r.endings.crash(now, crash.ID) {
		r.blame.Crashed(end.attributes, poison.Crash{ID: crash.ID, At: now, Progress: true}, end.answeredFor)
		r.trials.Crashed(now, blame.Repeated(end.attributes))
	}
	quarantined, _ := r.blame.Judge(now, x.attributes)
	event.RequestCrashed.Log("request", x.req.ID, "fingerprint", x.fingerprint(), "caller", x.caller, "path", x.req.Path, "crash", crash.ID, "progress", crash.Progress,
		"crashes", r.blame.Crashes(x.attributes), "quarantined", quarantined, "attributes", strings.Join(x.attributes[1:], ","), "answered-for", answeredFor)
	r.refuseQuarantined(now)
	r.reviewTrials(now, false)
	r.requestReport()
}

// logQuarantines logs the quarantines that have begun or ended since the last call.
// The caller holds relay.mu.
func (r *Relay) logQuarantines(now time.Time) {
	for _, c := range r.blame.TakeChanges(now) {
		until := time.Duration(0)
		if !c.Until.IsZero() {
			until = c.Until.Sub(now)
		}
		event.QuarantineChanged.Log("attribute", c.Key, "quarantined", !c.Until.IsZero(), "left", until, "crashes", c.Crashes,
			"unexplained", c.Unexplained, "answered", c.Answered, "dominant", c.Dominant)
	}
}

// recordUnframedEnd records a response that ended with its connection. If the
// upstream crashed at that time, the response may have ended with it. The caller
// holds relay.mu.
func (x *exchange) recordUnframedEnd(now time.Time, up fleet.Upstream) {
	end := unframedEnd{at: now, attributes: x.attributesAt(up), answeredFor: x.answeredFor(now)}
	if x.relay.endings.end(incarnation(up), end) {
		x.recordCrash(now, up, end.answeredFor)
	}
}

// incarnation identifies an upstream's process in crash histories.
func incarnation(up fleet.Upstream) string { return fmt.Sprintf("%s@%d", up.ID, up.Born) }

// beginAnswer records that the present attempt's answer has begun.
func (x *exchange) beginAnswer() {
	if x.answeredAt.IsZero() {
		x.answeredAt, x.known = x.relay.now(), x.relay.blame.Known(x.attributes)
	}
}

// continueAnswer clears the shared attributes once the upstream has been answering for
// long enough.
func (x *exchange) continueAnswer() {
	if x.cleared {
		return
	}
	if now := x.relay.now(); x.answeredFor(now) >= blame.AnsweredAfter {
		x.clearShared(now)
	}
}

// clearShared records that the upstream was not crashed by what others have in common
// with the request.
func (x *exchange) clearShared(now time.Time) {
	if x.cleared {
		return
	}
	x.cleared = true
	if x.relay.blame.Answered(now, x.attributes, x.known) {
		event.CrashHistoryCleared.Log("request", x.req.ID, "histories", "shared", "attributes", strings.Join(x.attributes[1:], ","), "answered-for", x.answeredFor(now))
		x.relay.requestReport()
	}
}

// clearAll records that the upstream has run the request to its end. The caller holds
// relay.mu.
func (x *exchange) clearAll(now time.Time, up fleet.Upstream, status int) {
	if cleared := x.relay.blame.Completed(now, x.attributesAt(up)); len(cleared) > 0 {
		event.CrashHistoryCleared.Log("request", x.req.ID, "histories", strings.Join(cleared, ","), "status", status, "upstream", up.ID)
		x.relay.requestReport()
	}
	x.clearShared(now)
}

// answeredFor returns the time since the present attempt's answer has begun, 0 if it
// hasn't.
func (x *exchange) answeredFor(now time.Time) time.Duration {
	if x.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(x.answeredAt)
}

// connectionEnded reports whether err is the end of a connection, not a malformed
// response or a time limit of the relay.
func connectionEnded(err error) bool {
	var op *net.OpError
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// framed reports whether a response has a length or chunks, so that its end doesn't
// depend on that of its connection.
func framed(res *http.Response) bool { return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 }

// survived reports whether a complete response proves that its upstream has run
// the request to its end.
func survived(res *http.Response) bool {
	return framed(res) && res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusMultipleChoices
}
