package super

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/azurespan/azurespan/internal/base/event"
)

type (
	// Tree is a supervisor of components.
	Tree struct{ root *suture.Supervisor }

	component struct {
		name string
		run  func(context.Context) error
	}
)

// New returns an empty Tree. Components restart at once until 5 failures have
// come within about 30 s, and from then on after 5 s.
func New(name string) *Tree {
	return &Tree{root: suture.New(name, suture.Spec{
		EventHook:         report,
		FailureThreshold:  5,
		FailureDecay:      30,
		FailureBackoff:    5 * time.Second,
		Timeout:           10 * time.Second,
		PassThroughPanics: false,
	})}
}

// Add registers a component; run returns when its context ends.
func (t *Tree) Add(name string, run func(context.Context) error) {
	t.root.Add(component{name: name, run: run})
}

// Serve runs all components until ctx ends.
func (t *Tree) Serve(ctx context.Context) error { return t.root.Serve(ctx) }

// Serve runs the component. It implements suture.Service.
func (c component) Serve(ctx context.Context) error {
	err := c.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// String returns the component's name for the log.
func (c component) String() string { return c.name }

func report(e suture.Event) {
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
