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
	"github.com/azurespan/azurespan/internal/rule/retry"
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
		ends    []streamEnd
		daemons int
		want    string
	}{
		{[]streamEnd{sound, sound}, 1, "whole, events [1 2 3], sends 1 1"},
		{[]streamEnd{gone, sound}, 1, "whole, events [1 2 3], sends 1 1"},
		{[]streamEnd{sound, gone}, 1, "whole, events [1 2 3], sends 1 1"},
		{[]streamEnd{gone, gone}, 1, "broken, events [1 2 3], sends 1 1"},
		{[]streamEnd{gone, gone, sound}, 1, "whole, events [1 2 3], sends 1 1 1"},
		// A budget of one token is left to retries of what has failed.
		{[]streamEnd{sound, sound}, 60, "whole, events [1 2 3], sends 1 0"},
		{[]streamEnd{gone, sound}, 60, "whole, events [1 2 3], sends 1 1"},
	} {
		f, us := newEndsFixture(t, route(fleet.Stream, len(c.ends), true), c.ends...)
		fillBudget(f, c.daemons)
		must.Eq(t, c.want, take(t, f, us, nil), must.Sprintf("%+v", c))
		must.Eq(t, 0, f.relay.suspects.Rev())
	}
}

// fillBudget gives the service all tokens of the retry budget that a daemon of a fleet has.
func fillBudget(f *fixture, daemons int) {
	r := f.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	const slack = 52
	r.settings.RetrySlack = slack
	r.setDaemons(time.Now(), daemons)
	perSecond, limit := r.retryAllowance()
	r.budgets["s"] = retry.NewBudget(budgetShare*r.settings.RetryRatio, perSecond, limit)
}

// TestEndOfRestartedProcess guards against a stream that looks complete although its
// upstream's process has ended in the middle of it, because another one runs in its place: of
// an engine the same one has to answer, and elsewhere it is asked before another can start.
func TestEndOfRestartedProcess(t *testing.T) {
	f, us := newEndsFixture(t, route(fleet.Stream, 1, false), streamEnd{response: unframed(unframedStream, 2), restarted: true})
	must.Eq(t, "broken, events [1 2], sends 1", take(t, f, us, nil))

	r := route(fleet.Stream, 2, true)
	f = newFixture(t, r, nil, neverRespond)
	cfg := &fleet.Config{Version: 2, Routes: []fleet.Route{r}, Services: map[string]fleet.Service{"s": {Name: "s"}}}
	f.relay.Configure(cfg.Index())
	u := f.end(t, streamEnd{response: unframed(unframedStream, 2), gone: true})
	go func() {
		u.leave(300 * time.Millisecond)
		l, err := listenHeld(u.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = l.Close() })
	}()
	code, _ := f.send(http.MethodPost, "1", "")
	must.Eq(t, 0, code, must.Sprint("the answer looks complete"))
}

// leave closes the listener some time after the first request, as a process that ends soon after
// it has closed its connections.
func (u *endingUpstream) leave(after time.Duration) {
	for u.requests.Load() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(after)
	_ = u.Close()
}

// streamAfterProof sends a stream of three events later than the proof of an end may take.
func streamAfterProof(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(1200 * time.Millisecond)
	streamEvents(3, 0)(w, r)
}

// end has the first upstream of a fixture end its responses so.
func (f *fixture) end(t *testing.T, e streamEnd) *endingUpstream {
	u := newEndingUpstream(t, e)
	f.ups[0].Address = u.Addr().String()
	for i := range f.ups {
		f.ups[i].Version = "v1"
	}
	f.origins.table.Registered(time.Now(), "s", "v1")
	f.relay.SetUpstreams(time.Now(), f.ups)
	return u
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

// TestSlowSecondOfEndedProcess guards against a stream whose upstream's process has ended and
// that is broken off, since the upstream that resumes it needs longer than the proof of an end may
// take.
func TestSlowSecondOfEndedProcess(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), nil, streamAfterProof)
	f.end(t, streamEnd{response: unframed(unframedStream, 2), gone: true})
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}

// TestProofNearDeadline guards against a complete stream that is held until its time limit, and
// broken off then, because no time is left for the upstream that is asked whether anything
// follows.
func TestProofNearDeadline(t *testing.T) {
	r := route(fleet.Stream, 2, true)
	r.Timeout = 600 * time.Millisecond
	f := newFixture(t, r, reported("1", new(atomic.Int32), closeAfter(eventStream, wantEvents(3))), neverRespond)
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}

// TestStopDuringProof guards against a stream that looks complete because the daemon stopped
// before the upstream that was asked whether anything follows had answered.
func TestStopDuringProof(t *testing.T) {
	asked := make(chan struct{}, 1)
	f := newFixture(t, route(fleet.Stream, 2, true), reported("1", new(atomic.Int32), closeAfter(eventStream, wantEvents(2))), func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		neverRespond(w, r)
	})
	go func() {
		<-asked
		f.relay.EndRequests()
	}()
	code, _ := f.send(http.MethodPost, "1", "m")
	must.Eq(t, 0, code, must.Sprint("the answer looks complete"))
}

// TestTokenOfUnsentProof guards against a retry budget that is used up by proofs that no
// upstream was asked for.
func TestTokenOfUnsentProof(t *testing.T) {
	sound := streamEnd{response: unframed(unframedStream, 3)}
	f, us := newEndsFixture(t, route(fleet.Stream, 2, true), sound, sound)
	must.NoError(t, us[1].Close())
	tokens := func() float64 {
		f.relay.mu.Lock()
		defer f.relay.mu.Unlock()
		return f.relay.budget(time.Now(), "s").Available(time.Now())
	}
	before := tokens()
	must.Eq(t, "whole, events [1 2 3], sends 1 0", take(t, f, us, nil))
	must.GreaterEq(t, before-0.5, tokens())
}

// TestUnprovenEndsKeepMaxAttempts guards against more runs of a request than its route allows,
// where each response ends one event further.
func TestUnprovenEndsKeepMaxAttempts(t *testing.T) {
	for _, gone := range []bool{false, true} {
		for attempts := 2; attempts <= 4; attempts++ {
			ends := make([]streamEnd, 6)
			for i := range ends {
				ends[i] = streamEnd{gone: gone, response: func(after int) string { return unframedStream + eventsBetween(after, after+1) }}
			}
			f, us := newEndsFixture(t, route(fleet.Stream, attempts, true), ends...)
			_ = take(t, f, us, nil)
			sends := 0
			for _, u := range us {
				sends += int(u.requests.Load())
			}
			must.Eq(t, attempts, sends)
		}
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

// TestProcessEndsDuringProof guards against a stream that looks complete although its upstream
// closed it early as its process was about to end, and the upstream that was asked whether
// anything follows said nothing.
func TestProcessEndsDuringProof(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 2, true), nil, neverRespond)
	u := f.end(t, streamEnd{response: unframed(unframedStream, 2)})
	go u.leave(100 * time.Millisecond)
	code, _ := f.send(http.MethodPost, "1", "m")
	must.Eq(t, 0, code, must.Sprint("the answer looks complete"))
}

// TestResumptionAfterProof guards against a sound resumption that is cut off as a proof, after one
// that showed nothing and during which the process has ended.
func TestResumptionAfterProof(t *testing.T) {
	var requests atomic.Int32
	h := func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			neverRespond(w, r)
			return
		}
		streamAfterProof(w, r)
	}
	f := newFixture(t, route(fleet.Stream, 3, true), nil, h, h)
	u := f.end(t, streamEnd{response: unframed(unframedStream, 2)})
	go u.leave(100 * time.Millisecond)
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}

// TestProofBringsMore guards against a stream that counts as complete although the upstream that
// was asked whether anything follows has sent more, and then breaks off.
func TestProofBringsMore(t *testing.T) {
	first := streamEnd{response: unframed(unframedStream, 2)}
	f, us := newEndsFixture(t, route(fleet.Stream, 2, true), first, brokenAfter(3))
	must.Eq(t, "broken, events [1 2 3], sends 1 1", take(t, f, us, nil))
	part := streamEnd{response: always(unframedStream + "id: 3\nda")}
	f, us = newEndsFixture(t, route(fleet.Stream, 2, true), first, part)
	must.Eq(t, "broken, events [1 2], sends 1 1", take(t, f, us, nil))
	f, us = newEndsFixture(t, route(fleet.Stream, 3, true), first, part, wholeEnd)
	must.Eq(t, "whole, events [1 2 3], sends 1 1 1", take(t, f, us, nil))
}

// TestSilentResumptionOfWholeStream guards against an upstream that counts as crashed because it
// had nothing to add to a stream whose first upstream has ended, and was silent until a further
// one was asked.
func TestSilentResumptionOfWholeStream(t *testing.T) {
	asked := make(chan struct{})
	var requests atomic.Int32
	h := reported("1", new(atomic.Int32), func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			close(asked)
			time.Sleep(100 * time.Millisecond)
			streamEvents(3, 0)(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		must.NoError(t, err)
		_, _ = io.WriteString(c, unframedStream)
		<-asked
		_ = c.Close()
	})
	f := newFixture(t, route(fleet.Stream, 3, true), nil, h, h)
	f.end(t, streamEnd{response: unframed(unframedStream, 3), gone: true})
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	must.Eq(t, 0, f.relay.suspects.Rev())
}

// TestTokenOfRefusedProof guards against a retry budget that gets back the token of a proof that
// an upstream was asked for and refused.
func TestTokenOfRefusedProof(t *testing.T) {
	for name, length := range map[string]int{"at once": 1, "slowly": 9} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(fleet.Stream, 2, true), reported("1", new(atomic.Int32), closeAfter(eventStream, wantEvents(3))), func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Not-Run", "1")
				w.Header().Set("Content-Length", fmt.Sprint(length))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				if length > 1 {
					<-r.Context().Done()
				}
			})
			const tokens = 20
			f.relay.mu.Lock()
			f.relay.budgets["s"] = retry.NewBudget(0, 0, tokens)
			before := f.relay.budgets["s"].Available(time.Now())
			f.relay.mu.Unlock()
			code, _ := f.send(http.MethodPost, "1", "m")
			must.Eq(t, http.StatusOK, code)
			f.relay.mu.Lock()
			defer f.relay.mu.Unlock()
			must.Eq(t, before-float64(f.requestCount(1)), f.relay.budgets["s"].Available(time.Now()))
		})
	}
}
