package load

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/standin/engine/engsv"
)

// TestRun guards against wrong answers that are counted as answered, refusals that
// are counted as answers, and more requests than the plan allows.
func TestRun(t *testing.T) {
	s, err := engsv.Start("", engsv.Config{MemoryBytes: 100, TokensPerSecond: 100_000, Sequences: 32})
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	must.NoError(t, engine.New(nil).Order(context.Background(), s.Address(),
		engine.Order{ID: "1", Fencing: 1, Kind: engine.Load, Model: "m", Version: "1", MemoryBytes: 60}))
	plan := Plan{
		Targets: []string{s.Address()}, Models: []Model{{Name: "m", Base: "m", Version: "1"}}, Rate: 1000,
		Requests: 40, Concurrency: 40, Tokens: 30, Engine: true, Check: true, Deadline: time.Minute,
	}
	r, err := Run(context.Background(), plan)
	must.NoError(t, err)
	must.MapEmpty(t, r.Errors)
	must.Eq(t, 40, r.Answered)
	must.Eq(t, 40*30, r.Tokens)

	for mode, want := range map[string]string{"half": "end mark", "skip": "in place of token", "foreign-id": "request", "duplicate": "in place of token"} {
		s.SetFaults(engsv.Faults{Mode: mode})
		plan.Requests, plan.Seed = 1, plan.Seed+1
		r, err = Run(context.Background(), plan)
		must.NoError(t, err)
		must.Eq(t, 0, r.Answered, must.Sprint(mode))
		for cause := range r.Errors {
			must.StrContains(t, cause, want, must.Sprint(mode))
		}
	}
	s.SetFaults(engsv.Faults{})
	plan.Models[0].Version = "2"
	r, err = Run(context.Background(), plan)
	must.NoError(t, err)
	must.Eq(t, map[string]int{"model-not-loaded": 1}, r.Refused)
}

// TestPlan guards against a plan that sends load to another machine or exceeds a
// limit.
func TestPlan(t *testing.T) {
	good := Plan{Targets: []string{"127.0.0.1:1"}, Models: []Model{{Name: "m"}}, Rate: 1}
	for name, change := range map[string]func(*Plan){
		"remote":      func(p *Plan) { p.Targets = []string{"192.0.2.1:80"} },
		"host name":   func(p *Plan) { p.Targets = []string{"localhost:80"} },
		"no rate":     func(p *Plan) { p.Rate = 0 },
		"rate":        func(p *Plan) { p.Rate = maxRate + 1 },
		"concurrency": func(p *Plan) { p.Concurrency = maxConcurrency + 1 },
		"duration":    func(p *Plan) { p.Duration = maxDuration + 1 },
		"class":       func(p *Plan) { p.Class = "soon" },
		"no version":  func(p *Plan) { p.Check = true },
	} {
		p := good
		change(&p)
		_, err := Run(context.Background(), p)
		var pe *PlanError
		must.True(t, errors.As(err, &pe), must.Sprint(name))
	}
	_, err := good.complete()
	must.NoError(t, err)
}

// TestParseModel guards against a model that is parsed as another one.
func TestParseModel(t *testing.T) {
	for text, want := range map[string]Model{
		"m": {Name: "m", Base: "m"}, "m@1": {Name: "m", Base: "m", Version: "1"},
		"m@1+a": {Name: "a", Base: "m", Version: "1", Adapter: "a"}, "x=m@1+a": {Name: "x", Base: "m", Version: "1", Adapter: "a"},
	} {
		m, err := ParseModel(text)
		must.NoError(t, err)
		must.Eq(t, want, m)
	}
	for _, bad := range []string{"@1", "m@", "x=m", "=m@1"} {
		_, err := ParseModel(bad)
		must.Error(t, err, must.Sprint(bad))
	}
}

// TestResponse guards against a check that accepts a wrong text, and against an
// error event whose problem type is lost.
func TestResponse(t *testing.T) {
	r := request{model: Model{Base: "m", Version: "1"}, body: []byte(`{"messages":[{"role":"user","content":"x"}],"max_tokens":2}`)}
	want, err := engsv.ExpectedCompletion("m", "1", "", r.body)
	must.NoError(t, err)
	a := response{tokens: 2, finishReason: "length", text: []byte(want.Text(0, 2))}
	must.NoError(t, a.check(&r))
	a.text[0]++
	must.Error(t, a.check(&r))
	var b response
	err = b.read(strings.NewReader("event: error\ndata: {\"type\":\"urn:azurespan:refusal:internal\"}\n\n"), time.Now, nil)
	must.NoError(t, err)
	must.Eq(t, "internal", b.problem)
}
