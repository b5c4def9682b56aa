package relay

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// trickleStep is the pause between the bytes of an upstream that sends one now and then.
const trickleStep = 20 * time.Millisecond

// trickle writes a response byte by byte from an offset on, until the caller leaves or, if
// ends is set, to its end.
func trickle(response string, from int, ends bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, response[:from])
		for i := from; err == nil; {
			time.Sleep(trickleStep)
			b := ":"
			if i < len(response) {
				b, i = response[i:i+1], i+1
			} else if ends {
				return
			}
			_, err = io.WriteString(c, b)
		}
	}
}

// Heads of trickled responses, with and without chunks, and the first event.
const (
	streamHead  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n"
	chunkedHead = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	openHead    = streamHead + "Connection: close\r\n\r\n"
	firstEvent  = "id: 1\ndata: e1\n\n"
)

// TestTrickledStream guards against a stream that doesn't end before the time limit of its
// route, because its upstream is stuck but sends a byte now and then, which counted as a
// sign that it goes on.
func TestTrickledStream(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(firstEvent), firstEvent)
	for name, first := range map[string]http.HandlerFunc{
		"within an event":  trickle(openHead+firstEvent, len(openHead+firstEvent), false),
		"within a chunk":   trickle(chunkedHead+chunk+"fff\r\n", len(chunkedHead+chunk+"fff\r\n"), false),
		"between chunks":   trickle(chunkedHead+chunk+"0000000000000", len(chunkedHead+chunk), false),
		"within the head":  trickle("HTTP/1.1 200 OK\r\nX: ", 10, false),
		"before the event": trickle(openHead, len(openHead), false),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(fleet.Stream, 2, true), first, streamEvents(3, 0))
			code, body := f.send(http.MethodPost, "1", "m")
			must.Eq(t, http.StatusOK, code)
			must.Eq(t, wantEvents(3), body)
			must.Eq(t, 1, f.requestCount(0))
			must.Eq(t, 1, f.requestCount(1))
		})
	}
}

// TestReplacementBreaksOff guards against an event that the caller never gets: a read that
// waited within the next event brings it when another upstream has taken the stream over
// before it, and that one breaks off (issue 65).
func TestReplacementBreaksOff(t *testing.T) {
	within := chunkedHead + chunk(firstEvent) + "fff\r\n"
	f := newFixture(t, route(fleet.Stream, 3, true), trickle(within, len(within), false), closeWithin(chunkedHead, len(chunkedHead), false), streamEvents(3, 0))
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	must.Eq(t, 1, f.requestCount(2))
}

// TestSlowSoundStream guards against cutting a stream whose events arrive slowly and in
// pieces while no other upstream takes it over.
func TestSlowSoundStream(t *testing.T) {
	events := wantEvents(3)
	chunked := ""
	for i := range len(events) {
		chunked += fmt.Sprintf("1\r\n%s\r\n", events[i:i+1])
	}
	for _, c := range []struct {
		name         string
		route        fleet.Route
		first, other http.HandlerFunc
		spent        bool
	}{
		{"can't be resumed", route(fleet.Stream, 2, false), trickle(openHead+events, len(openHead), true), streamEvents(3, 0), false},
		{"no retry token", route(fleet.Stream, 2, true), trickle(openHead+events, 0, true), streamEvents(3, 0), true},
		{"the other upstream refuses", route(fleet.Stream, 2, true), trickle(openHead+events, len(openHead), true), respondNotRun, false},
		{"the other upstream is silent", route(fleet.Stream, 2, true), trickle(openHead+events, len(openHead), true), neverRespond, false},
		{"in chunks of a byte", route(fleet.Stream, 2, true), trickle(chunkedHead+chunked+"0\r\n\r\n", len(chunkedHead), true), resetConnection, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.route.Timeout = time.Minute
			var reports atomic.Int32
			f := newFixture(t, c.route, reported("1", &reports, c.first), c.other)
			if c.spent {
				f.spendBudget()
			}
			code, body := f.send(http.MethodPost, "1", "m")
			must.Eq(t, http.StatusOK, code)
			must.Eq(t, events, body)
			must.Eq(t, 1, f.requestCount(0)-int(reports.Load()))
		})
	}
}
