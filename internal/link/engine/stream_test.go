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

// TestAnswer guards against an answer that is incomplete or belongs to another
// request, and against a body that selects another model.
func TestAnswer(t *testing.T) {
	f := newFixture(t, engsv.Config{})
	must.NoError(t, f.order(Order{ID: "2", Fencing: 5, Kind: LoadAdapter, Model: "m", Version: "1", Adapter: "a", MemoryBytes: 5}))
	for _, adapter := range []string{"", "a"} {
		r := request("r" + adapter)
		r.Adapter = adapter
		x := expect(t, r)
		st := f.open(r)
		must.Eq(t, upstream, st.Upstream())
		text, n, err := f.readAll(st, 0)
		must.NoError(t, err)
		must.Eq(t, x.Text(0, x.Tokens), text)
		// A continuation on another engine starts after the delivered part.
		r.ID += "2"
		r.DeliveredText, r.DeliveredTokens = x.Text(0, n-3), n-3
		text, _, err = f.readAll(f.open(r), n-3)
		must.NoError(t, err)
		must.Eq(t, x.Text(n-3, n), text)
	}
	for _, e := range f.server.Records().Entries {
		must.NotEq(t, "prefix-mismatch", e.Kind)
	}
	for name, change := range map[string]func(*calls.Request){
		"model": func(r *calls.Request) { r.Model = "n" }, "version": func(r *calls.Request) { r.Version = "2" },
		"adapter": func(r *calls.Request) { r.Adapter = "b" },
	} {
		r := request("unknown")
		change(&r)
		_, err := f.client.Open(f.ctx, upstream, f.server.Address(), r)
		must.Eq(t, NotLoaded, kindOf(t, err), must.Sprint(name))
	}
	bad := request("bad")
	for _, body := range []string{``, `null`, `[]`, `{"messages":[]}`} {
		bad.Body = json.RawMessage(body)
		_, err := f.client.Open(f.ctx, upstream, f.server.Address(), bad)
		must.Eq(t, BadRequest, kindOf(t, err))
	}
}

// TestStreamFaults guards against an answer that is accepted although it is
// corrupted, truncated or another request's: each fault is either corrected or
// reported as a typed error, and the rest of the answer can be resumed.
func TestStreamFaults(t *testing.T) {
	f := newFixture(t, engsv.Config{})
	for mode, want := range map[string]Kind{
		"garbage": Malformed, "half": Truncated, "cut": Unreachable, "foreign-id": WrongRequest, "skip": Gap, "duplicate": "",
	} {
		r := request(mode)
		x := expect(t, r)
		f.server.SetFaults(engsv.Faults{Mode: mode, Times: 1})
		text, n, err := f.readAll(f.open(r), 0)
		if want != "" {
			must.Eq(t, want, kindOf(t, err), must.Sprint(mode))
			var e *Error
			must.True(t, errors.As(err, &e) && e.MayHaveRun())
			must.False(t, errors.Is(err, io.EOF), must.Sprint(mode))
			must.Eq(t, n, e.NextToken, must.Sprint(mode))
			must.Eq(t, x.Tokens/2, n, must.Sprint(mode))
			st, err := f.client.Resume(f.ctx, upstream, f.server.Address(), r.ID, n)
			must.NoError(t, err)
			rest, _, err := f.readAll(st, n)
			must.NoError(t, err, must.Sprint(mode))
			must.NoError(t, st.Close())
			text += rest
		}
		must.Eq(t, x.Text(0, x.Tokens), text, must.Sprint(mode))
	}
	runs := 0
	for _, e := range f.server.Records().Entries {
		if e.Kind == "run" {
			runs++
		}
	}
	must.Eq(t, 6, runs)
}

// TestCrash guards against an engine crash that is taken for the end of the
// answer, and against state that survives it, except for the fencing number.
func TestCrash(t *testing.T) {
	f := newFixture(t, engsv.Config{Poison: "arsenic"})
	before := f.report().Incarnation
	st := f.open(endless("victim", declare.Urgent))
	_, err := st.Next(f.ctx)
	must.NoError(t, err)
	poison := request("arsenic")
	pst, err := f.client.Open(f.ctx, upstream, f.server.Address(), poison)
	if err == nil {
		// The engine may crash after it has accepted the request.
		_, err = pst.Next(f.ctx)
		must.NoError(t, pst.Close())
	}
	must.Eq(t, Unreachable, kindOf(t, err))
	_, _, err = f.readAll(st, 1)
	must.Eq(t, Unreachable, kindOf(t, err))
	r := f.report()
	must.Greater(t, before, r.Incarnation)
	must.SliceEmpty(t, r.Replicas)
	must.Eq(t, Kind("stale-fencing"), kindOf(t, f.order(Order{ID: "3", Fencing: 4, Kind: Load, Model: "m", Version: "1"})))
	_, err = f.client.Resume(f.ctx, upstream, f.server.Address(), "victim", 1)
	must.Eq(t, UnknownStream, kindOf(t, err))
	f.server.Kill()
	_, err = f.client.Report(f.ctx, f.server.Address())
	must.Eq(t, Unreachable, kindOf(t, err))
	must.NoError(t, f.server.Restart())
	must.Greater(t, r.Incarnation, f.report().Incarnation)
}

// TestPriority guards against background requests that delay urgent ones.
func TestPriority(t *testing.T) {
	f := newFixture(t, engsv.Config{Sequences: 1})
	f.open(endless("first", declare.Background))
	f.waitFor(func(r Report) bool { return r.Running == 1 })
	bg, urgent := request("background"), request("urgent")
	bg.Class = declare.Background
	st := f.open(bg)
	f.open(urgent)
	f.waitFor(func(r Report) bool { return r.Queued == 2 })
	must.NoError(t, f.client.Cancel(f.ctx, f.server.Address(), "first"))
	_, _, err := f.readAll(st, 0)
	must.NoError(t, err)
	var order []string
	for _, e := range f.server.Records().Entries {
		if e.Kind == "run" {
			order = append(order, e.Request)
		}
	}
	must.Eq(t, []string{"first", "urgent", "background"}, order)
}

// TestKV guards against an answer that is lost when a stream moves to another
// engine.
func TestKV(t *testing.T) {
	f, other := newFixture(t, engsv.Config{}), newFixture(t, engsv.Config{})
	r := request("moving")
	st := f.open(r)
	tok, err := st.Next(f.ctx)
	must.NoError(t, err)
	kv, err := f.client.ExportKV(f.ctx, f.server.Address(), r.ID)
	must.NoError(t, err)
	must.NoError(t, f.client.Cancel(f.ctx, f.server.Address(), r.ID))
	must.NoError(t, f.client.ImportKV(f.ctx, other.server.Address(), r.ID, kv))
	rest, err := f.client.Resume(f.ctx, "u2", other.server.Address(), r.ID, 1)
	must.NoError(t, err)
	text, _, err := f.readAll(rest, 1)
	must.NoError(t, err)
	must.NoError(t, rest.Close())
	x := expect(t, r)
	must.Eq(t, x.Text(0, x.Tokens), tok.Text+text)
	must.Eq(t, InUse, kindOf(t, f.client.ImportKV(f.ctx, other.server.Address(), r.ID, kv)))
}

// TestNextCancelled guards against a call of Next that stays blocked after the
// end of its context.
func TestNextCancelled(t *testing.T) {
	f := newFixture(t, engsv.Config{Sequences: 1})
	f.open(endless("first", declare.Urgent))
	st := f.open(request("queued"))
	ctx, cancel := context.WithCancel(f.ctx)
	cancel()
	_, err := st.Next(ctx)
	must.Eq(t, Cancelled, kindOf(t, err))
	must.ErrorIs(t, err, context.Canceled)
	_, again := st.Next(f.ctx)
	must.Eq(t, err, again)
}
