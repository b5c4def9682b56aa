package verify

import (
	"fmt"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

type (
	// History is all that happened in one scenario.
	History struct {
		// Limits are the replica limits by model.
		ReplicaLimits map[string]int
		// Targets maps the names that callers use to what engines run.
		Targets  map[string]Target
		Engines  []Engine
		Services []Service
		Requests []Request
		// Stops are the times in which a daemon could not answer because the
		// scenario killed or paused it.
		Outages []Outage
		// Terminated holds the times of SIGTERM by daemon.
		TerminatedAt map[string]time.Time
		// Leaving holds when an upstream began to leave.
		LeavingSince map[string]time.Time
		Publications []Publication
		Observations []Observation
		// Rounds counts the pairs of concurrent publications.
		Rounds int
	}

	// Target is a model version with an adapter.
	Target struct{ Model, Version, Adapter string }

	// Engine is an engine with its own records.
	Engine struct {
		Name        string
		MemoryBytes int64
		Records     engsv.Records
	}

	// Service is a plain service with its own records.
	Service struct {
		Name    string
		Entries []servsv.Entry
	}

	// Kind tells requests apart.
	Kind string

	// Request is one request as its caller saw it, with the exchanges that
	// resumed its answer.
	Request struct {
		Kind Kind
		// ID is what the daemon called the request, empty if it never said.
		ID string
		// Model and Body are those of a chat, Key is that of a call.
		Model, Key string
		Body       []byte
		// Text is the part of the answer that arrived.
		Text string
		// Tokens is the number of events of a stream.
		Tokens    int
		Done      bool
		Refusal   string
		Run       string
		Exchanges []Exchange
	}

	// Exchange is one HTTP request and its answer.
	Exchange struct {
		Daemon      string
		Sent, Ended time.Time
		Deadline    time.Duration
		// Status is 0 if no answer came.
		Status int
		// Ended by an answer, a refusal, or the caller's own choice.
		Complete bool
		Error    string
	}

	// Stop is a time in which a daemon did not run. A zero To stands for the
	// end of the scenario.
	Outage struct {
		Daemon   string
		From, To time.Time
	}

	// Publication is one attempt to publish.
	Publication struct {
		Round       int
		MarkerModel string
		Accepted    bool
		Version     uint64
		At          time.Time
	}

	// Sighting is a mark that a daemon listed as in force. Sent is when the
	// daemon was asked.
	Observation struct {
		Daemon      string
		Sent, Ended time.Time
		MarkerModel string
	}

	// Violation is a broken invariant.
	Violation struct{ Invariant, Detail string }
)

// Kinds of request.
const (
	Stream       Kind = "stream"
	NonStreaming Kind = "whole"
	Call         Kind = "call"
)

const (
	// Grace is the time past its deadline by which a request has ended.
	DeadlineGrace = 2 * time.Second
	// LeaveWithin is the time after which a leaving upstream gets no work
	// (design, I7).
	LeavingGrace = 3 * time.Second
	// ForceWithin is the time in which a configuration is in force
	// everywhere (target, I9).
	ActivationLimit = 4 * time.Second
)

// String gives the invariant and what broke it.
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Check returns all violations in h.
func (h *History) Check() []Violation {
	var c checker
	c.replicas(h)
	c.memory(h)
	c.endings(h)
	c.answers(h)
	c.refusals(h)
	c.keys(h)
	c.leaving(h)
	c.terminations(h)
	c.publications(h)
	return c.found
}

type checker struct{ found []Violation }

func (c *checker) add(invariant, format string, args ...any) {
	c.found = append(c.found, Violation{invariant, fmt.Sprintf(format, args...)})
}

// stopped reports whether the daemon of x did not run for part of it.
func (h *History) stopped(x *Exchange) bool {
	for _, s := range h.Outages {
		if s.Daemon == x.Daemon && !s.From.After(x.Ended) && (s.To.IsZero() || !s.To.Before(x.Sent)) {
			return true
		}
	}
	return false
}

// ended reports whether the daemon of x was told to end before x did.
func (h *History) ended(x *Exchange) bool {
	at, ok := h.TerminatedAt[x.Daemon]
	return ok && !at.After(x.Ended)
}
