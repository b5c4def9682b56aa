package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

// readAll returns the text of a stream; after is called with each token's index.
func readAll(t *testing.T, s calls.Stream, after func(i int64)) (string, error) {
	t.Helper()
	defer s.Close()
	text := ""
	for next := int64(0); ; next++ {
		tok, err := s.Next(t.Context())
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		must.Eq(t, next, tok.Index)
		text += tok.Text
		if after != nil {
			after(tok.Index)
		}
	}
}

// wantText returns the first n tokens of an engine's reply to prompt.
func wantText(prompt string, n int64) string {
	x := engsv.Completion{Model: "m", Version: "v1", Prompt: "user: " + prompt + "\n", Tokens: n}
	return x.Text(0, n)
}

// TestFaultyEngine guards against a completion with missing or duplicate tokens,
// or tokens of another request, whatever the engine sends.
func TestFaultyEngine(t *testing.T) {
	for _, mode := range []string{"", "garbage", "half", "cut", "foreign-id", "duplicate", "skip"} {
		t.Run(mode, func(t *testing.T) {
			s := newSite(t, 2)
			for _, e := range s.engines {
				e.SetFaults(engsv.Faults{Mode: mode, Times: 1})
			}
			a, err := s.router.Complete(t.Context(), chat("r1", "figs", 40))
			must.NoError(t, err)
			text, err := readAll(t, a, nil)
			must.NoError(t, err)
			must.Eq(t, wantText("figs", 40), text)
		})
	}
}

// TestEngineCrash guards against a completion that is truncated when its engine
// crashes although another replica can continue it.
func TestEngineCrash(t *testing.T) {
	s := newSite(t, 2)
	a, err := s.router.Complete(t.Context(), chat("r1", "figs", 200))
	must.NoError(t, err)
	first := a.Upstream()
	text, err := readAll(t, a, func(i int64) {
		if i == 20 {
			s.engines[first].Kill()
		}
	})
	must.NoError(t, err)
	must.Eq(t, wantText("figs", 200), text)
	must.NotEq(t, first, a.Upstream())
}

// TestResume guards against a resumed completion that does not start at the
// requested token, or that is found only on the engine of the last event.
func TestResume(t *testing.T) {
	s := newSite(t, 2)
	a, err := s.router.Complete(t.Context(), chat("r1", "figs", 50))
	must.NoError(t, err)
	_, err = readAll(t, a, nil)
	must.NoError(t, err)
	for name := range s.engines {
		b, err := s.router.Resume(t.Context(), "r1", name, 30)
		must.NoError(t, err)
		tok, err := b.Next(t.Context())
		must.NoError(t, err)
		must.Eq(t, int64(30), tok.Index)
		must.NoError(t, b.Close())
	}
	_, err = s.router.Resume(t.Context(), "unknown", "e0", 0)
	must.Eq(t, fault.UnknownStream, fault.Of(err).Kind)
}

// TestQuarantine guards against a request that keeps crashing engines, and against
// quarantining another request.
func TestQuarantine(t *testing.T) {
	s := newSite(t, 4)
	for _, e := range s.engines {
		e.SetFaults(engsv.Faults{Poison: "POISON"})
	}
	bad := chat("bad", "POISON", 10)
	a, err := s.router.Complete(t.Context(), bad)
	if err == nil {
		_, err = readAll(t, a, nil)
	}
	var f *fault.Fault
	must.True(t, errors.As(err, &f))
	must.Eq(t, fault.RequestQuarantined, f.Kind)
	must.Eq(t, fault.RunYes, f.Run)
	must.Positive(t, f.RetryAfter)
	crashes := 0
	for _, e := range s.engines {
		for _, r := range e.Records().Entries {
			if r.Kind == "crash" {
				crashes++
			}
		}
	}
	must.Eq(t, 2, crashes)
	bad.ID = "again"
	_, err = s.router.Complete(t.Context(), bad)
	must.Eq(t, fault.RequestQuarantined, fault.Of(err).Kind)
	a, err = s.router.Complete(t.Context(), chat("good", "figs", 10))
	must.NoError(t, err)
	text, err := readAll(t, a, nil)
	must.NoError(t, err)
	must.Eq(t, wantText("figs", 10), text)
}

// TestSuspectsRunSeparately guards against running requests that ran together with
// a crashing one together with it again: the engine would crash more often, and
// they would be quarantined.
func TestSuspectsRunSeparately(t *testing.T) {
	s := newSite(t, 1)
	e := s.engines["e0"]
	const n = 5
	type result struct {
		text string
		err  error
	}
	got := make(chan result, n)
	running := make(chan struct{}, n)
	for i := range n {
		go func() {
			a, err := s.router.Complete(t.Context(), chat(fmt.Sprint("good", i), "figs", 600))
			if err != nil {
				got <- result{"", err}
				return
			}
			text, err := readAll(t, a, func(i int64) {
				if i == 0 {
					running <- struct{}{}
				}
			})
			got <- result{text, err}
		}()
	}
	for range n {
		<-running
	}
	e.SetFaults(engsv.Faults{Poison: "POISON"})
	a, err := s.router.Complete(t.Context(), chat("bad", "POISON", 10))
	if err == nil {
		_, err = readAll(t, a, nil)
	}
	must.Eq(t, fault.RequestQuarantined, fault.Of(err).Kind)
	for range n {
		r := <-got
		must.NoError(t, r.err)
		must.Eq(t, wantText("figs", 600), r.text)
	}
	crashes := 0
	for _, r := range e.Records().Entries {
		if r.Kind == "crash" {
			crashes++
		}
	}
	must.Eq(t, 2, crashes)
}

// TestRefusals guards against a request that waits past its deadline, and against
// delaying a refusal although waiting can't help.
func TestRefusals(t *testing.T) {
	s := newSite(t, 1)
	r := chat("r1", "figs", 1)
	r.Model = "x"
	_, err := s.router.Complete(t.Context(), r)
	must.Eq(t, fault.UnknownModel, fault.Of(err).Kind)

	r = chat("r2", "figs", 1)
	r.Deadline = time.Now().Add(-time.Second)
	_, err = s.router.Complete(t.Context(), r)
	must.Eq(t, fault.DeadlinePassed, fault.Of(err).Kind)

	s.wakeErr = fault.New(fault.ReplicaElsewhere, "elsewhere")
	_, err = s.router.Complete(t.Context(), chat("r3", "figs", 1))
	must.Eq(t, fault.ReplicaElsewhere, fault.Of(err).Kind)
	must.Eq(t, fault.RunNo, fault.Of(err).Run)
	must.Positive(t, fault.Of(err).RetryAfter)

	s.wakeErr = fault.New(fault.NoCapacity, "full")
	r = chat("r4", "figs", 1)
	r.Deadline = time.Now().Add(300 * time.Millisecond)
	_, err = s.router.Complete(t.Context(), r)
	must.Eq(t, fault.DeadlinePassed, fault.Of(err).Kind)
	must.Eq(t, fault.RunNo, fault.Of(err).Run)
}

func booking(key string) calls.ServiceCall {
	return calls.ServiceCall{
		ID: ulid.Make().String(), Service: "desk", Method: "POST", Path: "/bookings", ContentType: "application/json",
		Body: []byte("{}"), Class: declare.Urgent, Deadline: time.Now().Add(10 * time.Second), Key: key,
	}
}

func countRuns(v *servsv.Server) (n int) {
	for _, e := range v.Entries() {
		if e.Kind == "run" {
			n++
		}
	}
	return n
}

// TestNonIdempotent guards against running a call twice, withdrawing the claim of
// a call that may have run, and calling without a claim.
func TestNonIdempotent(t *testing.T) {
	s := newSite(t, 1)
	v := s.services["desk-1"]
	ctx := t.Context()
	_, err := s.router.Invoke(ctx, booking(""))
	must.Eq(t, fault.KeyRequired, fault.Of(err).Kind)

	s.claims.refuse = fault.New(fault.LogUnavailable, "down")
	_, err = s.router.Invoke(ctx, booking("k"))
	must.Eq(t, fault.LogUnavailable, fault.Of(err).Kind)
	must.Eq(t, 0, countRuns(v))
	s.claims.refuse = nil

	a, err := s.router.Invoke(ctx, booking("k"))
	must.NoError(t, err)
	must.Eq(t, 201, a.Status)
	must.Eq(t, 1, s.claims.done)

	v.SetFaults(servsv.Faults{DropAfter: 1})
	_, err = s.router.Invoke(ctx, booking("k2"))
	must.Eq(t, fault.OutcomeUnknown, fault.Of(err).Kind)
	must.Eq(t, fault.RunUnknown, fault.Of(err).Run)
	must.Eq(t, 2, countRuns(v))
	must.Eq(t, 0, s.claims.withdrawn)
	must.Eq(t, 1, s.claims.forgotten)

	v.Kill()
	_, err = s.router.Invoke(ctx, booking("k3"))
	must.Eq(t, fault.UpstreamUnavailable, fault.Of(err).Kind)
	must.Eq(t, fault.RunNo, fault.Of(err).Run)
	must.Eq(t, 1, s.claims.withdrawn)

	c := booking("k4")
	c.Path = "/other"
	_, err = s.router.Invoke(ctx, c)
	must.Eq(t, fault.UnknownService, fault.Of(err).Kind)
}

// TestCallerDisconnects guards against a request that keeps waiting after its
// caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	s := newSite(t, 1)
	s.wakeErr = fault.New(fault.NoCapacity, "full")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.router.Complete(ctx, chat("r1", "figs", 1))
	must.Error(t, err)
}

// TestServiceLeaving guards against a lost booking because the refusal of a leaving
// service is stored as its response, against further calls of that service, and
// against never calling it again after its restart.
func TestServiceLeaving(t *testing.T) {
	s := newSite(t, 1)
	v := s.services["desk-1"]
	v.SetFaults(servsv.Faults{Leaving: true})
	_, err := s.router.Invoke(t.Context(), booking("k"))
	must.Eq(t, fault.RunNo, fault.Of(err).Run)
	must.Eq(t, 0, s.claims.done)
	must.Eq(t, 1, s.claims.withdrawn)
	before := len(v.Entries())
	_, err = s.router.Invoke(t.Context(), booking("k"))
	must.Error(t, err)
	must.Len(t, before, v.Entries())

	v.Kill()
	alive := func() (ok bool) {
		s.Do(func(m *member.Set) {
			f, _ := m.Get(member.Key{Kind: member.Upstream, Name: "desk-1"})
			ok = f.Status == member.Alive
		})
		return ok
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(alive), wait.Timeout(20*time.Second), wait.Gap(10*time.Millisecond)))
	v.SetFaults(servsv.Faults{})
	must.NoError(t, v.Restart())
	a, err := s.router.Invoke(t.Context(), booking("k"))
	must.NoError(t, err)
	must.Eq(t, 201, a.Status)
}

// TestStreamDeadline guards against a stream that waits for a stalled engine past
// its deadline.
func TestStreamDeadline(t *testing.T) {
	s := newSite(t, 1)
	r := chat("r1", "figs", 100)
	r.Deadline = time.Now().Add(500 * time.Millisecond)
	a, err := s.router.Complete(t.Context(), r)
	must.NoError(t, err)
	text, err := readAll(t, a, func(i int64) {
		if i == 3 {
			s.engines["e0"].SetFaults(engsv.Faults{Slowdown: 1e6})
		}
	})
	must.Eq(t, fault.DeadlinePassed, fault.Of(err).Kind)
	must.Eq(t, fault.RunYes, fault.Of(err).Run)
	must.StrHasPrefix(t, text, wantText("figs", 100))
}
