package retry

import (
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Reach states whether an attempt's request reached its upstream.
	Reach uint8

	// Attempt describes a failed attempt.
	Attempt struct {
		// Idempotent requests may run more than once.
		Idempotent bool
		// Reached is the worst case over all attempts so far.
		Reached Reach
		Class   declare.Class
		// Deadline of the request.
		Deadline time.Time
		// Tries is the number of attempts made, at least 1.
		Attempts int
		// Permanent is set if another attempt fails in the same way, as for
		// a request that the upstream calls invalid.
		Permanent bool
		// Needs is the least time that another attempt takes.
		MinDuration time.Duration
		// RetryAfter is the delay that the upstream asked for, 0 for none.
		RetryAfter time.Duration
		// OtherUpstream is set if an upstream that wasn't tried is
		// available; the first retry is then made at once.
		OtherUpstream bool
	}

	// Reason says why an attempt is not repeated.
	Reason string

	// Verdict is Again or Stop.
	Decision interface{ verdict() }

	// Again orders another attempt after a delay.
	Again struct{ After time.Duration }

	// Stop ends the request with the last attempt's error.
	Stop struct{ Reason Reason }

	// Policy holds the rules. A zero field stands for its default.
	Policy struct {
		// Base is the bound of the first delay, doubled for each further
		// one up to Max; defaults 100 ms and 5 s.
		BaseDelay, MaxDelay time.Duration
		// Tries bounds the attempts of one request; default 4.
		MaxAttempts int
		// UrgentReserve is the share of the budget's limit that background
		// requests leave to urgent ones; default 0.5.
		UrgentReserve float64
		// HedgeAfter is the least age of an attempt before a second one may
		// run beside it; 0 disables hedging.
		HedgeAfter time.Duration
	}
)

// Values of Reach.
const (
	NotReached Reach = iota
	MayHaveReached
	Reached
)

// Reasons of a Stop.
const (
	MayHaveRun        Reason = "may-have-run"
	Permanent         Reason = "permanent"
	AttemptsExhausted Reason = "tries-used"
	DeadlineTooNear   Reason = "deadline-too-near"
	BudgetExhausted   Reason = "retry-budget-used"
)

var (
	_ Decision = Again{}
	_ Decision = Stop{}
)

func (Again) verdict() {}
func (Stop) verdict()  {}

// New returns p with defaults filled in.
func New(p Policy) *Policy {
	if p.BaseDelay == 0 {
		p.BaseDelay = 100 * time.Millisecond
	}
	if p.MaxDelay == 0 {
		p.MaxDelay = 5 * time.Second
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = 4
	}
	if p.UrgentReserve == 0 {
		p.UrgentReserve = 0.5
	}
	return &p
}

// Decide returns whether a is made again. It takes a token of b only for an
// Again.
func (p *Policy) Decide(now time.Time, a *Attempt, b *Budget, rng *rand.Rand) Decision {
	switch {
	case !a.Idempotent && a.Reached != NotReached:
		return Stop{MayHaveRun}
	case a.Permanent:
		return Stop{Permanent}
	case a.Attempts >= p.MaxAttempts:
		return Stop{AttemptsExhausted}
	}
	after := time.Duration(0)
	if a.Attempts > 1 || !a.OtherUpstream {
		after = p.Delay(a.Attempts, rng)
	}
	if a.RetryAfter > 0 && !a.OtherUpstream {
		after += a.RetryAfter
	}
	if !a.Deadline.IsZero() && now.Add(after+a.MinDuration).After(a.Deadline) {
		// A shorter delay may still fit. The jitter is drawn anew within
		// the slack, so that callers with one deadline don't coincide.
		slack := a.Deadline.Sub(now) - a.MinDuration
		floor := after
		if a.RetryAfter == 0 || a.OtherUpstream {
			floor = 0
		} else {
			floor = a.RetryAfter
		}
		if slack <= floor {
			return Stop{DeadlineTooNear}
		}
		after = floor + time.Duration(rng.Int64N(int64(slack-floor)))
	}
	if !p.take(now, a.Class, b) {
		return Stop{BudgetExhausted}
	}
	return Again{After: after}
}

// MayHedge reports whether a second attempt may run beside one that was sent
// age ago and has not answered. It takes a token of b if so. Only an
// idempotent urgent request is hedged, and at most once.
func (p *Policy) MayHedge(now time.Time, a *Attempt, age time.Duration, b *Budget) bool {
	if !a.Idempotent || a.Class != declare.Urgent || p.HedgeAfter == 0 || age < p.HedgeAfter || a.Attempts != 1 || !a.OtherUpstream {
		return false
	}
	if !a.Deadline.IsZero() && now.Add(a.MinDuration).After(a.Deadline) {
		return false
	}
	return p.take(now, declare.Background, b)
}

// Delay returns the delay before attempt tries+1: uniform between 0 and Base
// doubled tries-1 times, at most Max.
func (p *Policy) Delay(tries int, rng *rand.Rand) time.Duration {
	bound := p.BaseDelay
	for i := 1; i < tries && bound < p.MaxDelay; i++ {
		bound *= 2
	}
	return time.Duration(rng.Int64N(int64(min(bound, p.MaxDelay)) + 1))
}

// take takes a token; background requests and hedges leave the reserve.
func (p *Policy) take(now time.Time, c declare.Class, b *Budget) bool {
	reserve := 0.0
	if c != declare.Urgent {
		reserve = p.UrgentReserve * b.Limit()
	}
	return b.Take(now, reserve)
}
