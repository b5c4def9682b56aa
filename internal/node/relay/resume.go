package relay

import (
	"context"
	"net/http"
	"slices"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/origin"
)

const (
	// unknownOriginReason is the refusal reason of a stream of which it isn't known
	// at which version it began.
	unknownOriginReason = "unknown-origin"
)

// Sources of an origin, for logs.
const (
	sourceKnown  = "known"
	sourceOnly   = "only"
	sourceOthers = "others"
)

// resumeStream finds out at which software version the stream began that the caller
// resumes, and restricts the request to upstreams of that version. It refuses the request
// if the version isn't known.
func (x *exchange) resumeStream(ctx context.Context) (refusal, bool) {
	if x.route.Kind != fleet.Stream || x.req.LastEventID == "" {
		return refusal{}, true
	}
	began := x.relay.now()
	s, source := x.findOrigin()
	if source == "" {
		id := x.streamID
		if x.req.Resumes == "" {
			id = 0
		}
		if err := x.relay.origins.Lookup(ctx, id, func() bool {
			s, source = x.findOrigin()
			return source != ""
		}); err != nil {
			x.lastFailure = err.Error()
		}
		if source == sourceKnown {
			source = sourceOthers
		}
	}
	took := x.relay.now().Sub(began)
	state, age := x.relay.origins.Table().Evidence(x.relay.boot())
	event.RelayStreamResumed.Log("request", x.req.ID, "resumes", x.req.Resumes, "service", x.query.Key.Service, "version", s.Version,
		"source", source, "took", took, "failure", x.lastFailure,
		"announced", state.Announced[x.query.Key.Service], "open", state.Open[x.query.Key.Service], "complete", state.Complete, "age", age)
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
	table := x.relay.origins.Table()
	if x.req.Resumes != "" {
		s, ok := table.Origin(x.streamID)
		if ok && slices.ContainsFunc(x.route.Targets, func(t fleet.Target) bool { return t.Service == s.Service }) {
			return s, sourceKnown
		}
	}
	service := x.query.Key.Service
	if v, ok := table.Only(x.relay.boot(), x.arrivedBoot, service); ok {
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
	if x.relay.origins.Table().Begin(x.relay.now(), origin.Stream{ID: x.streamID, Service: up.Service, Version: up.Version}) {
		// If this daemon ends, only the others know the version.
		x.relay.requestReport()
	}
}

// endStream records that the stream is no longer forwarded. The holder is told at once of
// one that broke off, since its caller may resume it elsewhere.
func (x *exchange) endStream() {
	if !x.begun {
		return
	}
	if x.relay.origins.Table().End(x.relay.now(), x.streamID, x.whole) {
		x.relay.requestReport()
	}
}
