package load

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Plan describes a run. A zero field means its default; Targets, Models and
	// Rate have none.
	Plan struct {
		// Targets are IP addresses with ports. Requests are sent to them in
		// turn.
		Targets []string
		Models  []Model
		// Rate is the mean number of requests per second.
		Rate float64
		// Duration is the time in which requests are sent; default 10 s.
		// Answers in progress at its end are read until their deadline.
		Duration time.Duration
		// Requests limits the number of requests; default 100,000.
		Requests int
		// Concurrency limits the requests in progress; default 64.
		Concurrency int
		// Tokens is the number of tokens of each answer; default 64.
		Tokens int
		// PromptBytes is the length of a prompt; default 200, at least 40.
		PromptBytes int
		// Class is the class of the requests; default urgent.
		Class declare.Class
		// Deadline is the deadline of each request, from when it is sent;
		// default 30 s.
		Deadline time.Duration
		// Seed determines arrival times, models and prompts. An engine that has
		// the prompts of a run with the same Seed and Salt in its prefix cache
		// prefills them faster.
		Seed uint64
		// Salt changes the prompts and nothing else.
		Salt uint64
		// Engine is set if the targets are engines.
		Engine bool
		// Check is set to compare each answer with that of the stand-in engine.
		Check bool
		// Remote allows targets that are not loopback addresses.
		Remote bool
	}

	// Model is the model of a request.
	Model struct {
		// Name is the model or adapter in a request to a daemon.
		Name string
		// Base, Version and Adapter are the model, its version and the adapter
		// that an engine runs. Version is required for engines and for Check.
		Base, Version, Adapter string
	}

	// PlanError reports the first invalid field of a Plan.
	PlanError struct{ Field, Problem string }
)

// Defaults of the fields of a Plan.
const (
	defaultDuration    = 10 * time.Second
	defaultRequests    = 100_000
	defaultConcurrency = 64
	defaultTokens      = 64
	defaultPromptBytes = 200
	defaultDeadline    = 30 * time.Second
)

// Limits of the fields of a Plan. The machine that generates the load is shared.
const (
	maxRate        = 5_000 // requests per second
	maxRequests    = 1_000_000
	maxDuration    = 10 * time.Minute
	maxConcurrency = 4_096
	maxTokens      = 10_000
	maxPromptBytes = 512 << 10
	minPromptBytes = 40
)

// Error returns the field and the problem with it.
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

// complete returns p with the defaults. It returns a *PlanError if a field is
// invalid.
func (p Plan) complete() (Plan, error) {
	setDefault(&p.Duration, defaultDuration)
	setDefault(&p.Requests, defaultRequests)
	setDefault(&p.Concurrency, defaultConcurrency)
	setDefault(&p.Tokens, defaultTokens)
	setDefault(&p.PromptBytes, defaultPromptBytes)
	setDefault(&p.Class, declare.Urgent)
	setDefault(&p.Deadline, defaultDeadline)
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
		field           string
		value, min, max int64
	}{
		{"duration", int64(p.Duration), 1, int64(maxDuration)},
		{"deadline", int64(p.Deadline), int64(time.Millisecond), int64(maxDuration)},
		{"requests", int64(p.Requests), 1, maxRequests},
		{"concurrency", int64(p.Concurrency), 1, maxConcurrency},
		{"tokens", int64(p.Tokens), 1, maxTokens},
		{"prompt-bytes", int64(p.PromptBytes), minPromptBytes, maxPromptBytes},
	} {
		if l.value < l.min || l.value > l.max {
			return p, &PlanError{l.field, fmt.Sprintf("%d is not from %d to %d", l.value, l.min, l.max)}
		}
	}
	return p, nil
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
