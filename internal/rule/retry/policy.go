package retry

import (
	"math/rand/v2"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Reach states whether a request reached its upstream.
	Reach uint8

	// Attempt describes a failed attempt.
	Attempt struct {
		// Idempotent requests may run more than once.
		Idempotent bool
		// Reached is the worst case over all attempts so far.
		Reached Reach
		Class   declare.Class
		// Deadline of the request, zero for none.
		Deadline time.Time
		// Attempts is the number of attempts made, at least 1.
		Attempts int
		// Permanent is set if another attempt would fail in the same way, as
		// for a request that the upstream rejects as invalid.
		Permanent bool
		// MinDuration is the least time that another attempt takes.
		MinDuration time.Duration
		// RetryAfter is the delay that the upstream asked for, 0 for none.
		RetryAfter time.Duration
		// OtherUpstream is set if an upstream that hasn't been tried is
		// available; the first retry is then made without delay.
		OtherUpstream bool
	}

	// Reason states why an attempt isn't repeated.
	Reason string

	// Decision is Again or Stop.
	Decision interface{ decision() }

	// Again orders another attempt after a delay.
	Again struct{ After time.Duration }

	// Stop ends the request with the last attempt's error.
	Stop struct{ Reason Reason }

	// Policy holds the rules. A zero field stands for its default.
	Policy struct {
		// BaseDelay is the upper bound of the first delay. It is doubled for
		// each further delay up to MaxDelay. Defaults 100 ms and 5 s.
		BaseDelay, MaxDelay time.Duration
		// MaxAttempts limits the attempts of one request; default 4.
		MaxAttempts int
		// UrgentReserve is the share of the budget's limit that background
		// requests leave to urgent ones; default 0.5.
		UrgentReserve float64
		// HedgeAfter is the age of an attempt from which a second one may run
		// in parallel; 0 disables hedging.
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

// Defaults of a Policy.
const (
	defaultBaseDelay     = 100 * time.Millisecond
	defaultMaxDelay      = 5 * time.Second
	defaultMaxAttempts   = 4
	defaultUrgentReserve = 0.5 // of the budget's limit
)

var (
	_ Decision = Again{}
	_ Decision = Stop{}
)

func (Again) decision() {}
func (Stop) decision()  {}

// New returns p with defaults filled in.
func New(p Policy) *Policy {
	if p.BaseDelay == 0 {
		p.BaseDelay = defaultBaseDelay
	}
	if p.MaxDelay == 0 {
		p.MaxDelay = defaultMaxDelay
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = defaultMaxAttempts
	}
	if p.UrgentReserve == 0 {
		p.UrgentReserve = defaultUrgentReserve
	}
	return &p
}

// Decide returns whether and when a is retried. It takes a token from b only
// for an Again.
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
		// A shorter delay may still meet the deadline. The jitter is drawn
		// again within the slack, so that requests with the same deadline
		// aren't retried at the same moment.
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
	if !p.TakeToken(now, a.Class, b) {
		return Stop{BudgetExhausted}
	}
	return Again{After: after}
}

// MayHedge reports whether a second attempt may run in parallel to one that was
// sent age ago and has no answer yet. If so, it takes a token from b. Only an
// idempotent urgent request is hedged, and at most once.
func (p *Policy) MayHedge(now time.Time, a *Attempt, age time.Duration, b *Budget) bool {
	if !a.Idempotent || a.Class != declare.Urgent || p.HedgeAfter == 0 || age < p.HedgeAfter || a.Attempts != 1 || !a.OtherUpstream {
		return false
	}
	if !a.Deadline.IsZero() && now.Add(a.MinDuration).After(a.Deadline) {
		return false
	}
	return p.TakeToken(now, declare.Background, b)
}

// Delay returns the delay before attempt number attempts+1: uniform between 0
// and BaseDelay doubled attempts-1 times, at most MaxDelay.
func (p *Policy) Delay(attempts int, rng *rand.Rand) time.Duration {
	bound := p.BaseDelay
	for i := 1; i < attempts && bound < p.MaxDelay; i++ {
		bound *= 2
	}
	return time.Duration(rng.Int64N(int64(min(bound, p.MaxDelay)) + 1))
}

// TakeToken takes a token from b and reports whether there was one. Background
// requests and hedges leave the reserve for urgent requests.
func (p *Policy) TakeToken(now time.Time, c declare.Class, b *Budget) bool {
	reserve := 0.0
	if c != declare.Urgent {
		reserve = p.UrgentReserve * b.Limit()
	}
	return b.Take(now, reserve)
}
