package load

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Plan describes one run. Zero fields stand for the defaults that are
	// named with them; Targets, Models and Rate have none.
	Plan struct {
		// Targets are IP numbers and ports; requests take them in turn.
		Targets []string
		Models  []Model
		// Rate is the mean number of requests begun a second.
		Rate float64
		// Duration is the time in which requests begin; default 10 s. Answers
		// in progress at its end are read on until their deadline.
		Duration time.Duration
		// Requests bounds their number; default 100,000.
		Requests int
		// Concurrency bounds the requests in progress; default 64.
		Concurrency int
		// Tokens of each answer; default 64.
		Tokens int
		// PromptBytes is the length of a prompt; default 200, at least 40.
		PromptBytes int
		Class       declare.Class
		// Deadline of each request from its beginning; default 30 s.
		Deadline time.Duration
		// Seed sets arrival times, models and prompts. An engine that has cached
		// the prompts of a run with the same Seed and Salt prefills faster.
		Seed uint64
		// Salt changes the prompts and nothing else.
		Salt uint64
		// Engine is set if the targets are engines.
		Engine bool
		// Check compares each text with the stand-in engine's answer.
		Check bool
		// Remote allows targets outside loopback.
		Remote bool
	}

	// Model is what a request asks for.
	Model struct {
		// Name is what a caller asks a daemon for: a model or an adapter.
		Name string
		// Base, Version and Adapter are what an engine runs. They are needed
		// for engines and for Check.
		Base, Version, Adapter string
	}

	// PlanError names the first field of a Plan that is not allowed.
	PlanError struct{ Field, Problem string }
)

// Largest values of a Plan. The machine that runs the load is shared.
const (
	maxRate        = 5_000
	maxRequests    = 1_000_000
	maxDuration    = 10 * time.Minute
	maxConcurrency = 4_096
	maxTokens      = 10_000
	maxPrompt      = 512 << 10
	minPrompt      = 40
)

// Error names the field and what is wrong.
func (e *PlanError) Error() string { return e.Field + ": " + e.Problem }

// ParseModel returns the Model in text, which is NAME,
// NAME=MODEL@VERSION[+ADAPTER], or MODEL@VERSION[+ADAPTER] where the name is
// that of the adapter, else of the model.
func ParseModel(text string) (Model, error) {
	name, base, named := strings.Cut(text, "=")
	if !named {
		base = name
	}
	if !named && !strings.Contains(text, "@") {
		return Model{Name: text, Base: text}, nil
	}
	var m Model
	base, m.Adapter, _ = strings.Cut(base, "+")
	m.Base, m.Version, _ = strings.Cut(base, "@")
	switch {
	case named:
		m.Name = name
	case m.Adapter != "":
		m.Name = m.Adapter
	default:
		m.Name = m.Base
	}
	if m.Name == "" || m.Base == "" || m.Version == "" {
		return Model{}, &PlanError{"model", fmt.Sprintf("%q is not NAME, MODEL@VERSION or NAME=MODEL@VERSION+ADAPTER", text)}
	}
	return m, nil
}

// complete fills in the defaults and checks the limits.
func (p Plan) complete() (Plan, error) {
	orDefault(&p.Duration, 10*time.Second)
	orDefault(&p.Requests, 100_000)
	orDefault(&p.Concurrency, 64)
	orDefault(&p.Tokens, 64)
	orDefault(&p.PromptBytes, 200)
	orDefault(&p.Class, declare.Urgent)
	orDefault(&p.Deadline, 30*time.Second)
	if len(p.Targets) == 0 || len(p.Models) == 0 {
		return p, &PlanError{"target and model", "at least one of each is needed"}
	}
	for _, t := range p.Targets {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return p, &PlanError{"target", err.Error()}
		}
		if !a.Addr().IsLoopback() && !p.Remote {
			return p, &PlanError{"target", t + " is not on loopback"}
		}
	}
	for _, m := range p.Models {
		if (p.Engine || p.Check) && m.Version == "" {
			return p, &PlanError{"model", m.Name + " needs a version for an engine or a check"}
		}
	}
	if !(p.Rate > 0 && p.Rate <= maxRate) {
		return p, &PlanError{"rate", fmt.Sprintf("%v is not above 0 and at most %d", p.Rate, maxRate)}
	}
	if p.Class != declare.Urgent && p.Class != declare.Background {
		return p, &PlanError{"class", fmt.Sprintf("%q is not urgent or background", p.Class)}
	}
	for _, l := range []struct {
		field             string
		value, low, limit int64
	}{
		{"duration", int64(p.Duration), 1, int64(maxDuration)},
		{"deadline", int64(p.Deadline), int64(time.Millisecond), int64(maxDuration)},
		{"requests", int64(p.Requests), 1, maxRequests},
		{"concurrency", int64(p.Concurrency), 1, maxConcurrency},
		{"tokens", int64(p.Tokens), 1, maxTokens},
		{"prompt-bytes", int64(p.PromptBytes), minPrompt, maxPrompt},
	} {
		if l.value < l.low || l.value > l.limit {
			return p, &PlanError{l.field, fmt.Sprintf("%d is not from %d to %d", l.value, l.low, l.limit)}
		}
	}
	return p, nil
}

func orDefault[T comparable](p *T, d T) {
	var zero T
	if *p == zero {
		*p = d
	}
}
