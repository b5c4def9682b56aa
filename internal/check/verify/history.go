package verify

import (
	"fmt"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

type (
	// History is the record of one scenario.
	History struct {
		// ReplicaLimits are the replica limits by model.
		ReplicaLimits map[string]int
		// Targets maps the model names in requests to what an engine runs for
		// them.
		Targets  map[string]Target
		Engines  []Engine
		Services []Service
		Requests []Request
		// Outages are the periods in which a daemon could not answer because
		// the scenario killed or paused it.
		Outages []Outage
		// TerminatedAt holds the time of SIGTERM by daemon.
		TerminatedAt map[string]time.Time
		// LeavingSince holds the time when an upstream began to leave, by
		// upstream.
		LeavingSince map[string]time.Time
		Publications []Publication
		Observations []Observation
		// Rounds counts the pairs of concurrent publications.
		Rounds int
	}

	// Target is a model version with an adapter.
	Target struct{ Model, Version, Adapter string }

	// Engine is a stand-in engine with its records.
	Engine struct {
		Name        string
		MemoryBytes int64
		Records     engsv.Records
	}

	// Service is a stand-in service with its records.
	Service struct {
		Name    string
		Entries []servsv.Entry
	}

	// Kind is a kind of request.
	Kind string

	// Request is one request as its caller saw it. Exchanges are the first
	// one and those that resumed the answer.
	Request struct {
		Kind Kind
		// ID is the request ID that the daemon sent, empty if it sent none.
		ID string
		// Model and Body are set for a chat completion, Key for a call to a
		// service.
		Model, Key string
		Body       []byte
		// Text is the part of the answer that arrived.
		Text string
		// Tokens is the number of events of a stream.
		Tokens int
		// Done is set if the answer is complete.
		Done bool
		// Refusal is the kind of the refusal, empty without one. Run is its
		// statement whether the request ran.
		Refusal   string
		Run       string
		Exchanges []Exchange
	}

	// Exchange is one HTTP request and its answer.
	Exchange struct {
		Daemon      string
		Sent, Ended time.Time
		Deadline    time.Duration
		// Status is 0 if there was no response.
		Status int
		// Complete is set if the exchange was ended by a complete answer, a
		// refusal or the caller.
		Complete bool
		Error    string
	}

	// Outage is a period in which a daemon did not run. If To is zero, it
	// lasts until the end of the scenario.
	Outage struct {
		Daemon   string
		From, To time.Time
	}

	// Publication is one attempt to publish a configuration. MarkerModel is
	// the name of a model that only this configuration declares.
	Publication struct {
		Round       int
		MarkerModel string
		Accepted    bool
		Version     uint64
		At          time.Time
	}

	// Observation is the marker model that a daemon listed, which shows the
	// configuration in force. MarkerModel is empty if it listed none. Sent is
	// the time of the request.
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
	// DeadlineGrace is the time after its deadline within which a request
	// must end.
	DeadlineGrace = 2 * time.Second
	// LeavingGrace is the time after which a leaving upstream must get no new
	// work (design, I7).
	LeavingGrace = 3 * time.Second
	// ActivationLimit is the time within which an accepted configuration must
	// be in force on all daemons (target, I9).
	ActivationLimit = 4 * time.Second
)

// String returns the invariant and the detail.
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Check returns all violations of the invariants in h.
func (h *History) Check() []Violation {
	var c checker
	c.checkReplicas(h)
	c.checkMemory(h)
	c.checkDeadlines(h)
	c.checkAnswers(h)
	c.checkRefusals(h)
	c.checkKeys(h)
	c.checkLeaving(h)
	c.checkTerminations(h)
	c.checkPublications(h)
	return c.violations
}

type checker struct{ violations []Violation }

func (c *checker) add(invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// duringOutage reports whether x overlaps an outage of its daemon.
func (h *History) duringOutage(x *Exchange) bool {
	for _, s := range h.Outages {
		if s.Daemon == x.Daemon && !s.From.After(x.Ended) && (s.To.IsZero() || !s.To.Before(x.Sent)) {
			return true
		}
	}
	return false
}

// afterTermination reports whether the daemon of x got SIGTERM before x ended.
func (h *History) afterTermination(x *Exchange) bool {
	at, ok := h.TerminatedAt[x.Daemon]
	return ok && !at.After(x.Ended)
}
