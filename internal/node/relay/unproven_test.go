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

// pingForever sends comments in place of events until the caller leaves.
func pingForever(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, ": ping\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// TestUnprovenEndTwice guards against a complete stream that is broken off, and an upstream
// that counts as crashed, because the upstream that is asked whether anything follows says
// so in a response without a length or chunks, too.
func TestUnprovenEndTwice(t *testing.T) {
	sound, gone := streamEnd{response: unframed(unframedStream, 3)}, streamEnd{response: unframed(unframedStream, 3), gone: true}
	for _, c := range []struct {
		first, second streamEnd
		want          string
	}{
		{sound, sound, "whole, events [1 2 3], sends 1 1"},
		{gone, sound, "whole, events [1 2 3], sends 1 1"},
		{sound, gone, "whole, events [1 2 3], sends 1 1"},
		{gone, gone, "broken, events [1 2 3], sends 1 1"},
	} {
		f, us := newEndsFixture(t, route(fleet.Stream, 2, true), c.first, c.second)
		must.Eq(t, c.want, take(t, f, us, nil))
		must.Eq(t, 0, f.relay.suspects.Rev())
	}
}

// TestEndWithinEventWhileReplaced guards against a stream that looks complete although its
// response ended within an event, since another upstream was being asked meanwhile.
func TestEndWithinEventWhileReplaced(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{"reset": resetConnection, "silent": neverRespond} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan struct{})
			first := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				c, _, err := w.(http.Hijacker).Hijack()
				must.NoError(t, err)
				_, _ = io.WriteString(c, unframedStream+wantEvents(2)+"id: 3\nda")
				<-asked
				_ = c.Close()
			}
			second := func(w http.ResponseWriter, r *http.Request) {
				close(asked)
				time.Sleep(100 * time.Millisecond)
				h(w, r)
			}
			f := newFixture(t, route(fleet.Stream, 2, true), reported("1", new(atomic.Int32), first), second)
			code, _ := f.send(http.MethodPost, "1", "m")
			must.Eq(t, 0, code, must.Sprint("the answer looks complete"))
		})
	}
}

// TestSoundUnframedStreams guards against sound requests that are quarantined, and sound
// upstreams that are avoided, where the responses to streams have neither a length nor
// chunks.
func TestSoundUnframedStreams(t *testing.T) {
	ends := make([]streamEnd, 6)
	for i := range ends {
		ends[i] = streamEnd{response: unframed(unframedStream, 3)}
	}
	f, us := newEndsFixture(t, route(fleet.Stream, 2, true), ends...)
	const requests = 40
	for range requests {
		code, body := f.send(http.MethodPost, "1", "m")
		must.Eq(t, http.StatusOK, code)
		must.Eq(t, wantEvents(3), body)
	}
	must.Eq(t, 0, f.relay.suspects.Rev())
	sends := 0
	for _, u := range us {
		sends += int(u.requests.Load())
	}
	must.Between(t, requests+1, sends, 2*requests)
	// Half of the budget is left to retries of what has failed.
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	b := f.relay.budget(time.Now(), "s")
	must.GreaterEq(t, b.Limit()/2, b.Available(time.Now()))
}

// TestProofIsBounded guards against a complete stream that is held until its time limit, and
// broken off then, because the upstream that is asked whether anything follows is silent or
// sends no event.
func TestProofIsBounded(t *testing.T) {
	first := reported("1", new(atomic.Int32), closeAfter(eventStream, wantEvents(3)))
	for name, other := range map[string]http.HandlerFunc{
		"silent": neverRespond, "silent after its head": trickle(openHead, len(openHead), false),
		"within the head": trickle("HTTP/1.1 200 OK\r\nX: ", 10, false), "comments": pingForever,
	} {
		for attempts := 2; attempts <= 4; attempts++ {
			t.Run(fmt.Sprintf("%s, %d attempts", name, attempts), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, route(fleet.Stream, attempts, true), first, other, other, other)
				code, body := f.send(http.MethodPost, "1", "m")
				must.Eq(t, http.StatusOK, code)
				must.StrHasPrefix(t, wantEvents(3), body)
				must.Eq(t, 0, f.requestCount(2))
			})
		}
	}
}

// TestProofGoesOn guards against a stream that is cut off as a proof that takes too long,
// after the upstream that was asked has sent an event.
func TestProofGoesOn(t *testing.T) {
	second := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 3; i <= 6; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(400 * time.Millisecond)
		}
	}
	f := newFixture(t, route(fleet.Stream, 2, true), reported("1", new(atomic.Int32), closeAfter(eventStream, wantEvents(2))), second)
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(6), body)
}

// closeWhenAsked ends a response without a length or chunks after the given events once
// asked is closed.
func closeWhenAsked(asked <-chan struct{}, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, unframedStream+wantEvents(last))
		<-asked
		_ = c.Close()
	}
}

// TestUnframedEndWhileReplaced guards against taking the end of such a response for that of
// the stream, or for a break, while another upstream has been asked to go on, since the
// first one was silent.
func TestUnframedEndWhileReplaced(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		streamEvents(3, 0)(w, r)
	}
	for _, c := range []struct {
		name   string
		last   int
		second http.HandlerFunc
	}{
		{"another event", 2, streamEvents(3, 0)},
		{"nothing to add", 3, streamEvents(3, 0)},
		{"silent", 3, neverRespond},
		{"reset", 3, resetConnection},
		{"no event so far", 0, slow},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked := make(chan struct{})
			second := func(w http.ResponseWriter, r *http.Request) {
				close(asked)
				// The first upstream's end arrives before this one's head.
				time.Sleep(100 * time.Millisecond)
				c.second(w, r)
			}
			f := newFixture(t, route(fleet.Stream, 2, true), reported("1", new(atomic.Int32), closeWhenAsked(asked, c.last)), second)
			code, body := f.send(http.MethodPost, "1", "m")
			must.Eq(t, http.StatusOK, code)
			must.Eq(t, wantEvents(3), body)
		})
	}
}

// TestCommentsAreNoEvents guards against a response that looks complete since a comment came
// before its end.
func TestCommentsAreNoEvents(t *testing.T) {
	comment := streamEnd{response: always(unframedStream + ": keep-alive\n\n")}
	f, us := newEndsFixture(t, route(fleet.Stream, 2, true), brokenAfter(1), comment)
	must.StrNotContains(t, take(t, f, us, nil), "whole")
	f, us = newEndsFixture(t, route(fleet.Stream, 1, false), comment)
	must.StrNotContains(t, take(t, f, us, nil), "whole")
}

// TestUnframedBodyOfEndedProcess guards against a part of a body that reaches the caller as
// a whole response, because the upstream's process has ended in the middle of one without a
// length or chunks.
func TestUnframedBodyOfEndedProcess(t *testing.T) {
	half := streamEnd{response: always("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf of it"), gone: true}
	lives := half
	lives.gone = false
	sound := streamEnd{response: always("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nfine")}
	failure := streamEnd{response: always("HTTP/1.1 404 Not Found\r\nId: 1\r\n\r\nnone"), gone: true}
	for _, c := range []struct {
		kind  fleet.Kind
		first streamEnd
		want  string
	}{
		{fleet.Safe, half, `whole, "fine", sends 1 1`},
		{fleet.Unsafe, half, `502, events [], sends 1 0`},
		{fleet.Safe, lives, `whole, "half of it", sends 1 0`},
		{fleet.Unsafe, lives, `whole, "half of it", sends 1 0`},
		{fleet.Unsafe, failure, `404, events [], sends 1 0`},
	} {
		f, us := newEndsFixture(t, route(c.kind, 2, false), c.first, sound)
		must.Eq(t, c.want, take(t, f, us, map[string]string{"Model": ""}))
	}
}
