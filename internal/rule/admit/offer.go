package admit

import (
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Capacity describes the replicas that serve a model.
	Capacity struct {
		// Sequences is the number of requests that all replicas run at once,
		// Free how many more can start now.
		Sequences, Free int
		// ReadyIn is the estimated time until the first replica is loaded, 0
		// if there is one.
		ReadyIn time.Duration
		// Unavailable is set if there is no replica and none can be loaded.
		Unavailable bool
	}

	// Reason says why a request is refused.
	Reason string

	// Decision is Admitted or Refused.
	Decision interface{ decision() }

	// Admitted is the decision that the request waits in the Queue.
	Admitted struct {
		// Wait is the estimated time until it starts.
		Wait time.Duration
	}

	// Refused is the decision that the request is not run.
	Refused struct {
		Reason Reason
		// RetryAfter is the delay after which to retry, with jitter.
		RetryAfter time.Duration
	}
)

// Reasons of a refusal.
const (
	DeadlinePassed      Reason = "deadline-passed"
	DeadlineUnreachable Reason = "deadline-unreachable"
	QueueFull           Reason = "queue-full"
	NoCapacity          Reason = "no-capacity"
	// Duplicate means that a request with the same ID waits already.
	Duplicate Reason = "duplicate"
)

var (
	_ Decision = Admitted{}
	_ Decision = Refused{}
)

func (Admitted) decision() {}
func (Refused) decision()  {}

// Offer admits the request to the Queue at now, or refuses it.
func (q *Queue) Offer(now time.Time, rng *rand.Rand, req Request, c Capacity) Decision {
	req.OfferedAt = now
	if _, ok := q.requests[req.ID]; ok {
		return Refused{Reason: Duplicate}
	}
	if !now.Add(q.settings.ExpiryMargin).Before(req.Deadline) {
		return Refused{Reason: DeadlinePassed}
	}
	l := q.lane(req.Model)
	wait := q.queueWait(now, l, &req, c)
	switch {
	case c.Unavailable:
		return Refused{Reason: NoCapacity, RetryAfter: q.retryAfter(rng, q.settings.MinRetryAfter)}
	case len(q.requests) >= q.settings.MaxLength,
		l.urgent.Len()+l.background.Len() >= int(q.settings.ModelShare*float64(q.settings.MaxLength)),
		req.Class == declare.Background && q.backgroundCount >= int(q.settings.BackgroundShare*float64(q.settings.MaxLength)):
		return Refused{Reason: QueueFull, RetryAfter: q.retryAfter(rng, wait)}
	}
	end := now.Add(wait + req.MinDuration + q.settings.ExpiryMargin)
	if late := end.Sub(req.Deadline); late > 0 {
		return Refused{Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(rng, late)}
	}
	q.insert(req)
	return Admitted{Wait: wait}
}

// EstimateWait estimates the time until a request like req would start.
func (q *Queue) EstimateWait(now time.Time, req Request, c Capacity) time.Duration {
	return q.queueWait(now, q.lane(req.Model), &req, c)
}

// queueWait estimates the time until req starts: the service time of the
// requests ahead of it divided by the number of sequences, after the time until
// the first replica is loaded. A free sequence does not help a request that
// must wait for a load.
func (q *Queue) queueWait(now time.Time, l *lane, req *Request, c Capacity) time.Duration {
	e := entry{Request: *req}
	ahead := 0
	l.urgent.Each(func(o *entry) {
		if req.Class == declare.Background || servesBefore(o, &e) {
			ahead++
		}
	})
	l.background.Each(func(o *entry) {
		promoted := o.latestStart().Sub(now) < q.settings.PromotionSlack
		if req.Class == declare.Background && servesBefore(o, &e) || req.Class != declare.Background && promoted && startsBefore(o, &e) {
			ahead++
		}
	})
	serviceTime := l.serviceTime
	if serviceTime == 0 {
		serviceTime = q.settings.InitialServiceTime
	}
	wait := c.ReadyIn
	if queued := ahead + 1 - c.Free; queued > 0 {
		wait += serviceTime * time.Duration(queued) / time.Duration(max(c.Sequences, 1))
	}
	return wait
}

// retryAfter returns base, clamped to the configured bounds, plus a uniformly
// random jitter up to the same length, so that callers refused together don't
// all retry at the same time.
func (q *Queue) retryAfter(rng *rand.Rand, base time.Duration) time.Duration {
	base = min(max(base, q.settings.MinRetryAfter), q.settings.MaxRetryAfter)
	return base + time.Duration(rng.Int64N(int64(base)))
}
