package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/node/calls"
	"github.com/azurespan/azurespan/standin/engine/engsv"
)

// TestAnswer guards against an answer that is not whole or not the one to the
// caller's own request, and against a body that selects another model.
func TestAnswer(t *testing.T) {
	b := newBench(t, engsv.Config{})
	must.NoError(t, b.order(Order{ID: "2", Fencing: 5, Kind: LoadAdapter, Model: "m", Version: "1", Adapter: "a", MemoryBytes: 5}))
	for _, adapter := range []string{"", "a"} {
		r := request("r" + adapter)
		r.Adapter = adapter
		x := expect(t, r)
		st := b.open(r)
		must.Eq(t, upstream, st.Upstream())
		text, n, err := b.drain(st, 0)
		must.NoError(t, err)
		must.Eq(t, x.Join(0, x.Tokens), text)
		// A continuation elsewhere starts after the prefix.
		r.ID += "2"
		r.DeliveredText, r.DeliveredTokens = x.Join(0, n-3), n-3
		text, _, err = b.drain(b.open(r), n-3)
		must.NoError(t, err)
		must.Eq(t, x.Join(n-3, n), text)
	}
	for _, e := range b.s.Records().Entries {
		must.NotEq(t, "prefix-mismatch", e.Kind)
	}
	for name, change := range map[string]func(*calls.Request){
		"model": func(r *calls.Request) { r.Model = "n" }, "version": func(r *calls.Request) { r.Version = "2" },
		"adapter": func(r *calls.Request) { r.Adapter = "b" },
	} {
		r := request("unknown")
		change(&r)
		_, err := b.c.Open(b.ctx, upstream, b.s.Address(), r)
		must.Eq(t, NotLoaded, kindOf(t, err), must.Sprint(name))
	}
	bad := request("bad")
	for _, body := range []string{``, `null`, `[]`, `{"messages":[]}`} {
		bad.Body = json.RawMessage(body)
		_, err := b.c.Open(b.ctx, upstream, b.s.Address(), bad)
		must.Eq(t, BadRequest, kindOf(t, err))
	}
}

// TestStreamFaults guards against passing on an answer that is garbled, cut
// or another request's: each fault is either repaired or a typed error, and
// the rest of the answer can be resumed.
func TestStreamFaults(t *testing.T) {
	b := newBench(t, engsv.Config{})
	for mode, want := range map[string]Kind{
		"garbage": Malformed, "half": Truncated, "cut": Unreachable, "foreign-id": WrongRequest, "skip": Gap, "duplicate": "",
	} {
		r := request(mode)
		x := expect(t, r)
		b.s.SetFaults(engsv.Faults{Mode: mode, Times: 1})
		text, n, err := b.drain(b.open(r), 0)
		if want != "" {
			must.Eq(t, want, kindOf(t, err), must.Sprint(mode))
			var e *Error
			must.True(t, errors.As(err, &e) && e.MayHaveRun())
			must.False(t, errors.Is(err, io.EOF), must.Sprint(mode))
			must.Eq(t, n, e.NextToken, must.Sprint(mode))
			must.Eq(t, x.Tokens/2, n, must.Sprint(mode))
			st, err := b.c.Resume(b.ctx, upstream, b.s.Address(), r.ID, n)
			must.NoError(t, err)
			rest, _, err := b.drain(st, n)
			must.NoError(t, err, must.Sprint(mode))
			must.NoError(t, st.Close())
			text += rest
		}
		must.Eq(t, x.Join(0, x.Tokens), text, must.Sprint(mode))
	}
	runs := 0
	for _, e := range b.s.Records().Entries {
		if e.Kind == "run" {
			runs++
		}
	}
	must.Eq(t, 6, runs)
}

// TestCrash guards against an engine's death that looks like an end of the
// answer, and against state that survives it, except for the fencing number.
func TestCrash(t *testing.T) {
	b := newBench(t, engsv.Config{Poison: "arsenic"})
	before := b.report().Incarnation
	st := b.open(endless("victim", declare.Urgent))
	_, err := st.Next(b.ctx)
	must.NoError(t, err)
	poison := request("arsenic")
	pst, err := b.c.Open(b.ctx, upstream, b.s.Address(), poison)
	if err == nil {
		// The engine may die after it has accepted the request.
		_, err = pst.Next(b.ctx)
		must.NoError(t, pst.Close())
	}
	must.Eq(t, Unreachable, kindOf(t, err))
	_, _, err = b.drain(st, 1)
	must.Eq(t, Unreachable, kindOf(t, err))
	r := b.report()
	must.Greater(t, before, r.Incarnation)
	must.SliceEmpty(t, r.Replicas)
	must.Eq(t, Kind("stale-fencing"), kindOf(t, b.order(Order{ID: "3", Fencing: 4, Kind: Load, Model: "m", Version: "1"})))
	_, err = b.c.Resume(b.ctx, upstream, b.s.Address(), "victim", 1)
	must.Eq(t, UnknownStream, kindOf(t, err))
	b.s.Kill()
	_, err = b.c.Report(b.ctx, b.s.Address())
	must.Eq(t, Unreachable, kindOf(t, err))
	must.NoError(t, b.s.Restart())
	must.Greater(t, r.Incarnation, b.report().Incarnation)
}

// TestPriority guards against background requests that delay urgent ones.
func TestPriority(t *testing.T) {
	b := newBench(t, engsv.Config{Sequences: 1})
	b.open(endless("first", declare.Background))
	b.until(func(r Report) bool { return r.Running == 1 })
	bg, urgent := request("background"), request("urgent")
	bg.Class = declare.Background
	st := b.open(bg)
	b.open(urgent)
	b.until(func(r Report) bool { return r.Queued == 2 })
	must.NoError(t, b.c.Cancel(b.ctx, b.s.Address(), "first"))
	_, _, err := b.drain(st, 0)
	must.NoError(t, err)
	var order []string
	for _, e := range b.s.Records().Entries {
		if e.Kind == "run" {
			order = append(order, e.Request)
		}
	}
	must.Eq(t, []string{"first", "urgent", "background"}, order)
}

// TestKV guards against losing the answer when a stream moves to another
// engine.
func TestKV(t *testing.T) {
	b, other := newBench(t, engsv.Config{}), newBench(t, engsv.Config{})
	r := request("moving")
	st := b.open(r)
	tok, err := st.Next(b.ctx)
	must.NoError(t, err)
	kv, err := b.c.ExportKV(b.ctx, b.s.Address(), r.ID)
	must.NoError(t, err)
	must.NoError(t, b.c.Cancel(b.ctx, b.s.Address(), r.ID))
	must.NoError(t, b.c.ImportKV(b.ctx, other.s.Address(), r.ID, kv))
	rest, err := b.c.Resume(b.ctx, "u2", other.s.Address(), r.ID, 1)
	must.NoError(t, err)
	text, _, err := b.drain(rest, 1)
	must.NoError(t, err)
	must.NoError(t, rest.Close())
	x := expect(t, r)
	must.Eq(t, x.Join(0, x.Tokens), tok.Text+text)
	must.Eq(t, InUse, kindOf(t, b.c.ImportKV(b.ctx, other.s.Address(), r.ID, kv)))
}

// TestNextCancelled guards against a reader that stays blocked after its
// caller has gone.
func TestNextCancelled(t *testing.T) {
	b := newBench(t, engsv.Config{Sequences: 1})
	b.open(endless("first", declare.Urgent))
	st := b.open(request("queued"))
	ctx, cancel := context.WithCancel(b.ctx)
	cancel()
	_, err := st.Next(ctx)
	must.Eq(t, Cancelled, kindOf(t, err))
	must.ErrorIs(t, err, context.Canceled)
	_, again := st.Next(b.ctx)
	must.Eq(t, err, again)
}
