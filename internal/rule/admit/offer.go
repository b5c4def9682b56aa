package admit

import (
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Capacity describes what serves a model.
	Capacity struct {
		// Sequences of all its replicas, and those that are free.
		Sequences, Free int
		// Ready is the estimated time until the first replica serves, 0 if
		// one does.
		ReadyIn time.Duration
		// None is set if there is no replica and none can be loaded.
		Unavailable bool
	}

	// Reason says why a request is refused.
	Reason string

	// Decision is Admit or Refuse.
	Decision interface{ decision() }

	// Admit states that the request waits.
	Admitted struct {
		// Wait is the estimated time until it starts.
		Wait time.Duration
	}

	// Refuse states that the request is not run.
	Refused struct {
		Reason Reason
		// RetryAfter is when a retry is worthwhile, with jitter.
		RetryAfter time.Duration
	}
)

// Reasons of a refusal.
const (
	DeadlinePassed      Reason = "deadline-passed"
	DeadlineUnreachable Reason = "deadline-unreachable"
	QueueFull           Reason = "queue-full"
	NoCapacity          Reason = "no-capacity"
	// Duplicate means that the identifier waits already.
	Duplicate Reason = "duplicate"
)

var (
	_ Decision = Admitted{}
	_ Decision = Refused{}
)

func (Admitted) decision() {}
func (Refused) decision()  {}

// Offer admits it to the Queue at now, or refuses it.
func (q *Queue) Offer(now time.Time, rng *rand.Rand, it Request, c Capacity) Decision {
	it.OfferedAt = now
	if _, ok := q.items[it.ID]; ok {
		return Refused{Reason: Duplicate}
	}
	if !now.Add(q.s.ExpiryMargin).Before(it.Deadline) {
		return Refused{Reason: DeadlinePassed}
	}
	l := q.lane(it.Model)
	wait := q.wait(now, l, &it, c)
	switch {
	case c.Unavailable:
		return Refused{Reason: NoCapacity, RetryAfter: q.retry(rng, q.s.MinRetryAfter)}
	case len(q.items) >= q.s.MaxLength,
		l.urgent.Len()+l.background.Len() >= int(q.s.ModelShare*float64(q.s.MaxLength)),
		it.Class == declare.Background && q.background >= int(q.s.BackgroundShare*float64(q.s.MaxLength)):
		return Refused{Reason: QueueFull, RetryAfter: q.retry(rng, wait)}
	}
	end := now.Add(wait + it.MinDuration + q.s.ExpiryMargin)
	if late := end.Sub(it.Deadline); late > 0 {
		return Refused{Reason: DeadlineUnreachable, RetryAfter: q.retry(rng, late)}
	}
	q.put(it)
	return Admitted{Wait: wait}
}

// Wait estimates the time until a request like it would start.
func (q *Queue) EstimateWait(now time.Time, it Request, c Capacity) time.Duration {
	return q.wait(now, q.lane(it.Model), &it, c)
}

// wait counts the requests that go before it and divides their service time
// by the sequences. A free sequence is not used by one that must wait for a
// load.
func (q *Queue) wait(now time.Time, l *lane, it *Request, c Capacity) time.Duration {
	e := entry{Request: *it}
	ahead := 0
	l.urgent.Each(func(o *entry) {
		if it.Class == declare.Background || before(o, &e) {
			ahead++
		}
	})
	l.background.Each(func(o *entry) {
		soon := o.latest().Sub(now) < q.s.PromotionSlack
		if before(o, &e) && (it.Class == declare.Background || soon) {
			ahead++
		}
	})
	service := l.service
	if service == 0 {
		service = q.s.InitialServiceTime
	}
	wait := c.ReadyIn
	if queued := ahead + 1 - c.Free; queued > 0 {
		wait += service * time.Duration(queued) / time.Duration(max(c.Sequences, 1))
	}
	return wait
}

// retry spreads callers that are refused together uniformly over a time as
// long as the delay itself.
func (q *Queue) retry(rng *rand.Rand, base time.Duration) time.Duration {
	base = min(max(base, q.s.MinRetryAfter), q.s.MaxRetryAfter)
	return base + time.Duration(rng.Int64N(int64(base)))
}
