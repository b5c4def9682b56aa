package entry

import (
	"context"

	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/super"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/guard"
	"github.com/azurespan/azurespan/internal/node/bounds"
)

// guards bounds what the clients of the listeners take.
type guards struct {
	bounds                                        *bounds.Bounds
	callers, readiness, metrics, forward, control *guard.Guard
}

const (
	// largestBody is the documented limit of the body of a request.
	largestBody = 4 << 20
	// callerRefusal is the answer to a caller for whom there is no room: its request
	// hasn't run.
	callerRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 0.50\r\n" +
		"Content-Length: 15\r\nConnection: close\r\n\r\nno-connections\n"
)

// newGuards returns the guards of a daemon. limits returns those of the configuration.
func newGuards(set Settings, limits func() fleet.Limits, m *metric.Metrics) *guards {
	b := bounds.New(set.Memory, set.Descriptors, largestBody)
	return &guards{
		bounds: b, callers: b.Guard(0, callerRefusal, limits, m),
		readiness: b.Inner(bounds.Readiness, m), metrics: b.Inner(bounds.Metrics, m),
		forward: b.Inner(bounds.Forward, m), control: b.Inner(bounds.Control, m),
	}
}

// addTo adds the components that judge the clients' progress.
func (g *guards) addTo(tree *super.Tree) {
	for _, one := range []*guard.Guard{g.callers, g.readiness, g.metrics, g.forward, g.control} {
		tree.Add("clients-"+one.Name(), func(ctx context.Context) error { return one.Run(ctx) })
	}
}
