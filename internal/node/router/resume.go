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
	// resumeDeadline bounds a resumed answer, whose own deadline is unknown.
	resumeDeadline = 10 * time.Minute
	// maxProbes bounds the engines that are asked for a stream that has left
	// the upstream named in its event.
	maxProbes = 16
)

func incarnation(r engine.Report) string { return fmt.Sprint(r.Incarnation) }

// Resume returns the rest of an answer from the token index from on. The
// answer may have moved to another engine of the same service since the
// caller's last event, so these are asked too.
func (b *Router) Resume(ctx context.Context, requestID, upstream string, from int64) (calls.Stream, error) {
	x := b.Config()
	if x == nil {
		return nil, fault.New(fault.NotReady, "there is no configuration yet").WithRetry(b.jitter(time.Second))
	}
	first := x.Upstream(upstream)
	if first == nil {
		return nil, fault.New(fault.UnknownStream, "upstream %s is not declared any more", upstream).WithRun(fault.RunYes)
	}
	candidates := []*declare.Upstream{first}
	for _, u := range x.UpstreamsOf(first.Service) {
		if u != first && len(candidates) < maxProbes {
			candidates = append(candidates, u)
		}
	}
	unreachable := false
	for _, u := range candidates {
		s, err := b.eng.Resume(ctx, u.Name, u.Address, requestID, from)
		if err == nil {
			event.StreamResumed.Log("request", requestID, "upstream", u.Name, "next-token", from)
			b.obs.Decided(time.Now(), requestID, "", "resumed", u.Name, "caller reconnected")
			return &answer{
				b: b, r: calls.Request{ID: requestID, Deadline: time.Now().Add(resumeDeadline)}, began: time.Now(),
				stream: s, upstream: u.Name, address: u.Address, next: from, resumed: true, reached: true,
			}, nil
		}
		var e *engine.Error
		unreachable = unreachable || errors.As(err, &e) && e.Kind == engine.Unreachable && u == first
	}
	if unreachable {
		return nil, fault.New(fault.UpstreamUnavailable, "upstream %s can't be reached", upstream).
			WithRun(fault.RunYes).WithRetry(b.jitter(2 * time.Second))
	}
	return nil, fault.New(fault.UnknownStream, "no engine keeps this answer; send the request again").WithRun(fault.RunYes)
}

// CacheEvent takes over that an engine has stored or evicted a prompt prefix.
func (b *Router) CacheEvent(upstream string, prefix uint64, stored bool, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stored {
		b.models.CacheStored(upstream, prefix, at)
		return
	}
	b.models.CacheEvicted(upstream, prefix)
}

// CacheGap takes over that cache events of an engine were missed.
func (b *Router) CacheGap(upstream string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.models.CacheGap(upstream, at)
}
