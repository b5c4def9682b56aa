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
		Ready time.Duration
		// None is set if there is no replica and none can be loaded.
		None bool
	}

	// Reason says why a request is refused.
	Reason string

	// Decision is Admit or Refuse.
	Decision interface{ decision() }

	// Admit states that the request waits.
	Admit struct {
		// Wait is the estimated time until it starts.
		Wait time.Duration
	}

	// Refuse states that the request is not run.
	Refuse struct {
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
	_ Decision = Admit{}
	_ Decision = Refuse{}
)

func (Admit) decision()  {}
func (Refuse) decision() {}

// Offer admits it to the Queue at now, or refuses it.
func (q *Queue) Offer(now time.Time, rng *rand.Rand, it Item, c Capacity) Decision {
	it.At = now
	if _, ok := q.items[it.ID]; ok {
		return Refuse{Reason: Duplicate}
	}
	if !now.Add(q.s.Margin).Before(it.Deadline) {
		return Refuse{Reason: DeadlinePassed}
	}
	l := q.lane(it.Model)
	wait := q.wait(now, l, &it, c)
	switch {
	case c.None:
		return Refuse{Reason: NoCapacity, RetryAfter: q.retry(rng, q.s.MinRetry)}
	case len(q.items) >= q.s.Length,
		l.urgent.Len()+l.background.Len() >= int(q.s.ModelShare*float64(q.s.Length)),
		it.Class == declare.Background && q.background >= int(q.s.BackgroundShare*float64(q.s.Length)):
		return Refuse{Reason: QueueFull, RetryAfter: q.retry(rng, wait)}
	}
	end := now.Add(wait + it.Needs + q.s.Margin)
	if late := end.Sub(it.Deadline); late > 0 {
		return Refuse{Reason: DeadlineUnreachable, RetryAfter: q.retry(rng, late)}
	}
	q.put(it)
	return Admit{Wait: wait}
}

// Wait estimates the time until a request like it would start.
func (q *Queue) Wait(now time.Time, it Item, c Capacity) time.Duration {
	return q.wait(now, q.lane(it.Model), &it, c)
}

// wait counts the requests that go before it and divides their service time
// by the sequences. A free sequence is not used by one that must wait for a
// load.
func (q *Queue) wait(now time.Time, l *lane, it *Item, c Capacity) time.Duration {
	e := entry{Item: *it}
	ahead := 0
	l.urgent.Each(func(o *entry) {
		if it.Class == declare.Background || before(o, &e) {
			ahead++
		}
	})
	l.background.Each(func(o *entry) {
		soon := o.latest().Sub(now) < q.s.Promote
		if before(o, &e) && (it.Class == declare.Background || soon) {
			ahead++
		}
	})
	service := l.service
	if service == 0 {
		service = q.s.Service
	}
	wait := c.Ready
	if queued := ahead + 1 - c.Free; queued > 0 {
		wait += service * time.Duration(queued) / time.Duration(max(c.Sequences, 1))
	}
	return wait
}

// retry spreads callers that are refused together uniformly over a time as
// long as the delay itself.
func (q *Queue) retry(rng *rand.Rand, base time.Duration) time.Duration {
	base = min(max(base, q.s.MinRetry), q.s.MaxRetry)
	return base + time.Duration(rng.Int64N(int64(base)))
}
