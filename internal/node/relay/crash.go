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
	crashes := 0
	for _, key := range x.identity.keys() {
		crashes = max(crashes, len(r.suspects.Entry(key).Crashes))
	}
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
	event.SuspectSent.Log("request", x.req.ID, "fingerprint", x.identity.request, "caller", x.caller, "path", x.req.Path, "upstream", up.ID, "crashes", crashes, "holder-age", holderAge,
		"parts", strings.Join(x.parts, ","))
}

// recordCrash adds the crash of an upstream, which had been answering the request for
// the given time, to the history of the request and, unless that was a while, to those
// of its parts. The caller holds relay.mu.
func (x *exchange) recordCrash(now time.Time, up fleet.Upstream, answeredFor time.Duration) {
	r := x.relay
	crash := poison.Crash{ID: incarnation(up), At: now, Progress: x.events.EventCount > 0}
	crashes := r.observeCrash(x.identity, crash)
	for _, end := range r.endings.crash(now, crash.ID) {
		ended := poison.Crash{ID: crash.ID, At: now, Progress: true}
		r.observeCrash(end.identity, ended)
		r.parts.Crashed(end.parts, ended)
	}
	if answeredFor < blame.AnsweredAfter {
		r.parts.Crashed(x.parts, crash)
	}
	verdict, _ := r.suspects.Judge(now, x.identity.request)
	variants, _ := r.suspects.Judge(now, x.identity.variants)
	part, _ := r.parts.Judge(now, x.parts)
	event.RequestCrashed.Log("request", x.req.ID, "fingerprint", x.identity.request, "caller", x.caller, "path", x.req.Path, "crash", crash.ID, "progress", crash.Progress, "crashes", crashes, "verdict", verdict, "variants-verdict", variants,
		"parts", strings.Join(x.parts, ","), "answered-for", answeredFor, "quarantined-part", part)
	r.refuseQuarantined(now)
	r.requestReport()
}

// logQuarantines logs the quarantines that have begun or ended since the last call.
// The caller holds relay.mu.
func (r *Relay) logQuarantines(now time.Time) {
	for _, c := range r.parts.TakeChanges(now) {
		until := time.Duration(0)
		if !c.Until.IsZero() {
			until = c.Until.Sub(now)
		}
		event.QuarantineChanged.Log("part", c.Part, "quarantined", !c.Until.IsZero(), "left", until, "crashes", c.Crashes,
			"unexplained", c.Unexplained, "answered", c.Answered, "dominant", c.Dominant)
	}
}

// observeCrash adds a crash to the history of a request and, if it is the request's only
// one, to that of its variants. It returns the number of crashes in the former. The
// caller holds relay.mu.
func (r *Relay) observeCrash(id identity, c poison.Crash) int {
	crashes := len(r.suspects.Observe(id.request, c).Crashes)
	if crashes == 1 {
		r.suspects.Observe(id.variants, c)
	}
	return crashes
}

// quarantined returns the key of the history for which a request with the given parts
// in its prompt must not be sent, empty if there is none, and how long that holds. The
// caller holds relay.mu.
func (r *Relay) quarantined(now time.Time, id identity, parts []string) (key string, left time.Duration) {
	for _, key := range id.keys() {
		if verdict, left := r.suspects.Judge(now, key); verdict == poison.Quarantined {
			return key, left
		}
	}
	if part, left := r.parts.Judge(now, parts); part != "" {
		return poison.PartKey(part), left
	}
	return "", 0
}

// recordUnframedEnd records a response that ended with its connection. If the
// upstream crashed at that time, the response may have ended with it. The caller
// holds relay.mu.
func (x *exchange) recordUnframedEnd(now time.Time, up fleet.Upstream) {
	end := unframedEnd{at: now, identity: x.identity}
	if !x.cleared {
		end.parts = x.parts
	}
	if x.relay.endings.end(incarnation(up), end) {
		x.recordCrash(now, up, x.answeredFor(now))
	}
}

// incarnation identifies an upstream's process in crash histories.
func incarnation(up fleet.Upstream) string { return fmt.Sprintf("%s@%d", up.ID, up.Born) }

// beginAnswer records that the present attempt's answer has begun.
func (x *exchange) beginAnswer() {
	if x.answeredAt.IsZero() {
		x.answeredAt, x.known = x.relay.now(), x.relay.parts.Known(x.parts)
	}
}

// continueAnswer clears the parts of the prompt once the upstream has been answering
// for long enough.
func (x *exchange) continueAnswer() {
	if x.cleared || len(x.parts) == 0 {
		return
	}
	if now := x.relay.now(); x.answeredFor(now) >= blame.AnsweredAfter {
		x.clearParts(now)
	}
}

// clearParts records that the upstream was not crashed by the parts of the prompt.
func (x *exchange) clearParts(now time.Time) {
	if x.cleared || len(x.parts) == 0 {
		return
	}
	x.cleared = true
	if x.relay.parts.Answered(now, x.parts, x.known) {
		event.CrashHistoryCleared.Log("request", x.req.ID, "parts", strings.Join(x.parts, ","), "answered-for", x.answeredFor(now))
		x.relay.requestReport()
	}
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
