package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/origin"
)

const (
	// lookups is the number of reads of the log for the origin of a stream, and
	// lookupInterval the time between two: streams that began at another daemon
	// are written to the log within some 450 ms.
	lookups        = 3
	lookupInterval = 250 * time.Millisecond
	// lookupTimeout bounds the search as a whole. The caller could be served
	// elsewhere if the log doesn't respond to this daemon.
	lookupTimeout = 900 * time.Millisecond
	// unknownOriginReason is the refusal reason of a stream of which it isn't known
	// at which version it began.
	unknownOriginReason = "unknown-origin"
)

// Sources of an origin, for logs.
const (
	sourceKnown = "known"
	sourceOnly  = "only"
	sourceLog   = "log"
)

// resumeStream finds out at which software version the stream began that the caller
// resumes, and restricts the request to upstreams of that version. It refuses the request
// if the version isn't known.
func (x *exchange) resumeStream(ctx context.Context) (refusal, bool) {
	if x.route.Kind != fleet.Stream || x.req.LastEventID == "" {
		return refusal{}, true
	}
	lookup, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	began := x.relay.now()
	s, source := x.findOrigin()
	var err error
	for i := 0; source == "" && i < lookups && err == nil; i++ {
		if i > 0 && !pause.For(lookup, lookupInterval) {
			break
		}
		if err = x.relay.origins.Refresh(lookup); err != nil {
			x.lastFailure = err.Error()
			break
		}
		if s, source = x.findOrigin(); source == sourceKnown {
			source = sourceLog
		}
	}
	took := x.relay.now().Sub(began)
	event.RelayStreamResumed.Log("request", x.req.ID, "resumes", x.req.Resumes, "service", x.query.Key.Service, "version", s.Version,
		"source", source, "took", took, "failure", x.lastFailure)
	if source == "" {
		x.relay.mu.Lock()
		defer x.relay.mu.Unlock()
		return refusal{http.StatusServiceUnavailable, unknownOriginReason, x.relay.jitterRetryAfter(x, upstreamRetryAfter)}, false
	}
	x.query.Version = &s.Version
	x.query.Key.Service = s.Service
	return refusal{}, true
}

// findOrigin returns the origin of the stream that the caller resumes, and how
// it is known; the latter is empty if it isn't.
func (x *exchange) findOrigin() (origin.Stream, string) {
	table, now := x.relay.origins.Table(), x.relay.now()
	if x.req.Resumes != "" {
		s, ok := table.Origin(x.streamID)
		if ok && slices.ContainsFunc(x.route.Targets, func(t fleet.Target) bool { return t.Service == s.Service }) {
			return s, sourceKnown
		}
	}
	service := x.query.Key.Service
	cfg := x.relay.Config()
	if v, ok := table.Only(now, service, cfg.Services[service].Engine != nil); ok {
		return origin.Stream{ID: x.streamID, Service: service, Version: v}, sourceOnly
	}
	return origin.Stream{}, ""
}

// beginStream records the origin of the stream before its first event is forwarded,
// and restricts further attempts to the same version.
func (x *exchange) beginStream(up fleet.Upstream) {
	if x.begun {
		return
	}
	x.begun = true
	x.query.Version = &up.Version
	x.relay.origins.Table().Begin(x.relay.now(), origin.Stream{ID: x.streamID, Service: up.Service, Version: up.Version})
}

// endStream records that the stream is no longer forwarded.
func (x *exchange) endStream() {
	if x.begun {
		x.relay.origins.Table().End(x.relay.now(), x.streamID, x.whole)
	}
}
