package super

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/azurespan/azurespan/internal/base/event"
)

type (
	// Tree supervises components.
	Tree struct{ root *suture.Supervisor }

	component struct {
		name string
		run  func(context.Context) error
	}
)

const (
	// failureThreshold is the number of failures within about
	// failureDecaySeconds after which restarts are delayed by failureBackoff.
	failureThreshold    = 5
	failureDecaySeconds = 30
	failureBackoff      = 5 * time.Second
	// stopTimeout is how long a component may take to stop.
	stopTimeout = 10 * time.Second
)

// New returns an empty Tree. Components are restarted immediately until 5
// failures have occurred within about 30 s, and after a delay of 5 s from then
// on.
func New(name string) *Tree {
	return &Tree{root: suture.New(name, suture.Spec{
		EventHook:         logEvent,
		FailureThreshold:  failureThreshold,
		FailureDecay:      failureDecaySeconds,
		FailureBackoff:    failureBackoff,
		Timeout:           stopTimeout,
		PassThroughPanics: false,
	})}
}

// Add registers a component. run must return when its context ends.
func (t *Tree) Add(name string, run func(context.Context) error) {
	t.root.Add(component{name: name, run: run})
}

// Serve runs all components until ctx ends.
func (t *Tree) Serve(ctx context.Context) error { return t.root.Serve(ctx) }

// Serve runs the component and implements suture.Service.
func (c component) Serve(ctx context.Context) error {
	err := c.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// String returns the name of the component, which suture reports in its events.
func (c component) String() string { return c.name }

// logEvent logs an event of the supervisor.
func logEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		event.ComponentPanicked.Log("component", e.ServiceName, "panic", e.PanicMsg, "restarting", e.Restarting, "stack", e.Stacktrace)
	case suture.EventServiceTerminate:
		event.ComponentFailed.Log("component", e.ServiceName, "cause", e.Err, "restarting", e.Restarting)
	case suture.EventBackoff:
		event.SupervisorBackoff.Log("supervisor", e.SupervisorName)
	case suture.EventStopTimeout:
		event.ComponentStuck.Log("component", e.ServiceName)
	case suture.EventResume:
	}
}
