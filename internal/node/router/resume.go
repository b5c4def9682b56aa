package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/link/engine"
	"github.com/azurespan/azurespan/internal/node/calls"
)

const (
	// resumeTimeout bounds a resumed completion, whose own deadline is unknown.
	resumeTimeout = 10 * time.Minute
	// maxResumeCandidates bounds the engines that are asked for a stream which
	// may have moved from the upstream named in its event.
	maxResumeCandidates = 16
	// unreachableRetryAfter is the Retry-After if that upstream is unreachable.
	unreachableRetryAfter = 2 * time.Second
)

// incarnation returns the incarnation of an engine process as text.
func incarnation(r engine.Report) string { return fmt.Sprint(r.Incarnation) }

// Resume returns the rest of a completion, starting with the token at index from.
// The completion may have moved to another engine of the same service since the
// caller's last event, so these are asked too.
func (rt *Router) Resume(ctx context.Context, requestID, upstream string, from int64) (calls.Stream, error) {
	x := rt.Config()
	if x == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet").WithRetry(rt.jitter(notReadyRetryAfter))
	}
	first := x.Upstream(upstream)
	if first == nil {
		return nil, fault.New(fault.UnknownStream, "upstream %s is not declared any more", upstream).WithRun(fault.RunYes)
	}
	candidates := []*declare.Upstream{first}
	for _, u := range x.UpstreamsOf(first.Service) {
		if u != first && len(candidates) < maxResumeCandidates {
			candidates = append(candidates, u)
		}
	}
	unreachable := false
	for _, u := range candidates {
		s, err := rt.engines.Resume(ctx, u.Name, u.Address, requestID, from)
		if err == nil {
			event.StreamResumed.Log("request", requestID, "upstream", u.Name, "next-token", from)
			rt.observer.Decided(time.Now(), requestID, "", "resumed", u.Name, "caller reconnected")
			now := time.Now()
			c := &completion{
				router: rt, req: calls.Request{ID: requestID, Deadline: now.Add(resumeTimeout)}, startedAt: now,
				nextIndex: from, resumed: true, mayHaveRun: true,
			}
			c.receive(run{upstream: u.Name, address: u.Address, sentAt: now, stream: s})
			return c, nil
		}
		var e *engine.Error
		unreachable = unreachable || errors.As(err, &e) && e.Kind == engine.Unreachable && u == first
	}
	if unreachable {
		return nil, fault.New(fault.UpstreamUnavailable, "upstream %s can't be reached", upstream).
			WithRun(fault.RunYes).WithRetry(rt.jitter(unreachableRetryAfter))
	}
	return nil, fault.New(fault.UnknownStream, "no engine keeps this answer; send the request again").WithRun(fault.RunYes)
}

// CacheEvent records that an engine has stored or evicted a prompt prefix.
func (rt *Router) CacheEvent(upstream string, prefix uint64, stored bool, at time.Time) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if stored {
		rt.models.CacheStored(upstream, prefix, at)
		return
	}
	rt.models.CacheEvicted(upstream, prefix)
}

// CacheGap records that cache events of an engine were missed.
func (rt *Router) CacheGap(upstream string, at time.Time) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.models.CacheGap(upstream, at)
}
