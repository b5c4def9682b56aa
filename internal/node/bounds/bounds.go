// Package bounds divides the memory and the file descriptors of a daemon between its
// listeners, upstreams and files.
package bounds

import (
	"time"

	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/guard"
)

// Bounds are the parts of a daemon. All memory is taken of one account.
type Bounds struct {
	Account *ration.Ration
	// Responses is the number of bytes that buffered bodies of responses may take.
	Responses int

	callers, unfinished, others, descriptors int
	inner                                    *ration.Ration
}

// Names of listeners in metrics and the log.
const (
	Callers   = "callers"
	Readiness = "readiness"
	Metrics   = "metrics"
	Admin     = "admin"
	Forward   = "forward"
	Control   = "control"
)

const (
	// defaultMemory and defaultDescriptors stand for limits that the settings don't
	// state: those of the smallest hosts of the deployments.
	defaultMemory      = 184 << 20
	defaultDescriptors = 4096
	// accountShare is the share of the process's memory that its clients and the bodies
	// of responses may take together. With as much again for what the garbage collector
	// hasn't freed yet, and some 50 MB for all else, the smallest hosts (184 MB) stay
	// within their limit.
	accountShare = 0.32
	// responseShare is that of the bodies of responses, callerShare that of callers, and
	// otherShare that of the clients of all other listeners. They are more than the
	// account in sum, but each leaves a part to the others: what callers can't take is
	// left for the answers of requests in progress.
	responseShare = 0.2
	callerShare   = 0.2
	otherShare    = 0.06
	// unfinishedShare is the part of the callers' memory for requests that haven't been
	// read completely, and sourceShare that of one address.
	unfinishedShare = 0.75
	sourceShare     = 0.75
	// bodyCopies and headAllowance are what a request takes for its body and beyond it.
	// One caller may always have the largest body.
	bodyCopies    = 2
	headAllowance = 1 << 20
	// fileReserve is the number of descriptors for files and the listeners.
	fileReserve = 200
	// callerConns, controlConns and forwardConns are shares of the other descriptors.
	// What is left is for upstreams, the log and the holder: a request in progress takes
	// one for its upstream.
	callerConns  = 0.5
	controlConns = 0.12
	forwardConns = 0.1
	// maxControlConns is below what the server of `azurespan serve` takes from peers.
	maxControlConns = 1000
	// readinessConns, metricsConns and adminConns bound the connections of listeners at
	// which a few clients send a request or two a second.
	readinessConns = 64
	metricsConns   = 16
	adminConns     = 32
	// innerIdleTimeout is the time without progress after which a client of such a
	// listener is turned away.
	innerIdleTimeout = 5 * time.Second
)

// InnerHeadBytes bounds the head of a request at a listener that isn't the callers'.
const InnerHeadBytes = 16 << 10

// New returns the parts of a daemon that may take so many bytes and descriptors, 0 if that
// isn't known. largestBody is the size of the largest body of a request.
func New(memory, descriptors, largestBody int) *Bounds {
	if memory == 0 {
		memory = defaultMemory
	}
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	part := func(share float64) int { return int(share * float64(memory)) }
	largest := bodyCopies*largestBody + headAllowance
	b := &Bounds{Responses: part(responseShare), callers: max(part(callerShare), largest), others: part(otherShare), descriptors: descriptors}
	b.unfinished = max(int(unfinishedShare*float64(b.callers)), largest)
	b.Account = ration.NewAccount(max(part(accountShare), b.callers+b.others))
	b.inner = b.Account.Exact(b.others, b.others)
	return b
}

// conns returns a share of the descriptors that aren't for files.
func (b *Bounds) conns(share float64) int {
	return max(int(share*float64(b.descriptors-fileReserve)), 1)
}

// Guard returns the guard of the callers' listener. maxConns bounds its connections, 0 if
// only descriptors do; limits returns those of the configuration; refusal is the complete
// response to a caller for whom there is no room.
func (b *Bounds) Guard(maxConns int, refusal string, limits func() fleet.Limits, m *metric.Metrics) *guard.Guard {
	conns := b.conns(callerConns)
	if maxConns > 0 {
		conns = min(conns, maxConns)
	}
	return guard.New(guard.Settings{
		Name: Callers, MaxConns: conns, Unfinished: b.unfinished, Refusal: refusal, Metrics: m,
		Memory:      b.Account.Exact(b.callers, max(int(sourceShare*float64(b.callers)), b.unfinished)),
		HeadBytes:   func() int { return max(limits().HeaderBytes, guard.DefaultHeadBytes) },
		IdleTimeout: func() time.Duration { return max(limits().IdleTimeout, guard.DefaultIdleTimeout) },
	})
}

// Inner returns the guard of another listener, by its name.
func (b *Bounds) Inner(name string, m *metric.Metrics) *guard.Guard {
	conns := map[string]int{
		Readiness: readinessConns, Metrics: metricsConns, Admin: adminConns,
		Forward: b.conns(forwardConns), Control: min(b.conns(controlConns), maxControlConns),
	}
	return guard.New(guard.Settings{
		Name: name, MaxConns: conns[name], Memory: b.inner.Exact(b.others, b.others), Unfinished: b.others,
		Brief: true, Messages: name == Control, Metrics: m,
		HeadBytes:   func() int { return InnerHeadBytes },
		IdleTimeout: func() time.Duration { return innerIdleTimeout },
	})
}
