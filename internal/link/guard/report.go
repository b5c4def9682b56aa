package guard

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

type (
	// reason is why a client was turned away or its connection closed.
	reason int

	// report is what is logged of a reason.
	report struct {
		// count is the number of cases since the last line, and address that of the last
		// client.
		count   int
		address string
		metric  prometheus.Counter
	}
)

const (
	none reason = iota
	noConnections
	noMemory
	tooManyFields
	tooLarge
	idleConn
	unfinishedRequest
	unreadAnswer
	stalledRequest
	stalledAnswer
	reasons
)

// reasonNames are the names of reasons in metrics and the log.
var reasonNames = [reasons]string{
	noConnections: "no-connections", noMemory: "no-memory", tooManyFields: "too-many-fields", tooLarge: "too-large",
	idleConn: "gave-way-idle", unfinishedRequest: "gave-way-unfinished", unreadAnswer: "gave-way-unread",
	stalledRequest: "stalled-request", stalledAnswer: "stalled-answer",
}

// count counts a case. g.mu must be held.
func (g *Guard) count(why reason, address net.Addr) {
	r := &g.reports[why]
	r.metric.Inc()
	if r.count++; r.count == 1 {
		r.address = address.String()
	}
}

// countNow is count for callers without g.mu.
func (g *Guard) countNow(why reason, address net.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count(why, address)
}

// takeReports returns the reasons that there were since the last call, and sets the gauges.
// g.mu must be held.
func (g *Guard) takeReports() (lines [][]any) {
	taken := g.set.Memory.Taken()
	g.set.Metrics.ClientConnections.WithLabelValues(g.set.Name).Set(float64(len(g.conns)))
	g.set.Metrics.ClientMemory.WithLabelValues(g.set.Name).Set(float64(taken))
	for why := range g.reports {
		r := &g.reports[why]
		if r.count == 0 {
			continue
		}
		lines = append(lines, []any{"listener", g.set.Name, "reason", reasonNames[why], "count", r.count, "first", r.address,
			"connections", len(g.conns), "memory", taken, "unfinished", g.unfinished})
		r.count = 0
	}
	return lines
}
