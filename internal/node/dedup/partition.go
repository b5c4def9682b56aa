package dedup

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	stage int

	// call is one record that a caller of the Keeper waits for.
	operation struct {
		record claims.Record
		stage  stage
		// ambiguous is set after an append whose effect is not known.
		ambiguous bool
		// abandoned is set for a claim that was refused at its deadline.
		abandoned bool
		deadline  time.Time
		daemon    string
		// decision and fault are set before done is closed.
		decision Decision
		fault    *fault.Fault
		done     chan struct{}
		// offset of the log record that holds a done or withdraw record.
		offset uint64
	}

	// part is one partition.
	partition struct {
		server *Server
		number int
		stream string
		wakeup chan struct{}

		mu       sync.Mutex
		assigned bool
		stopped  bool
		// readable is false until the first read and after a failed one.
		readable bool
		state    *claims.State // nil until the first read
		queue    []*operation
		// unread holds done and withdraw calls that are appended and not
		// read back.
		unconfirmed []*operation
		// claims holds the unsettled claim calls by identifier.
		pendingClaims map[claims.ID]*operation
		// running holds the deadline of each claim that was granted by this
		// process and has neither an answer nor a withdrawal.
		granted map[claims.ID]time.Time
		// reported holds claims whose answer is queued.
		reported map[claims.ID]struct{}
		// refused holds claims that must not be granted although the fold
		// may not show it yet: a withdrawal is queued, or may be needed.
		refused map[claims.ID]struct{}
		// retake is the pause before ownership that was lost to another
		// daemon is taken again.
		retakeDelay time.Duration
		// changed is closed and replaced when ownership changes.
		ownerChanged chan struct{}
		outcomes     []claims.Outcome
		decoded      []claims.Record
	}
)

// Stages of a call.
const (
	queued    stage = iota // not part of any append in progress
	appending              // an append that contains it is in progress
	appended               // appended, or the append was ambiguous
	settled
)

func newPartition(k *Server, n int) *partition {
	return &partition{
		server: k, number: n, stream: StreamName(n), wakeup: make(chan struct{}, 1),
		pendingClaims: map[claims.ID]*operation{}, granted: map[claims.ID]time.Time{},
		reported: map[claims.ID]struct{}{}, refused: map[claims.ID]struct{}{},
		ownerChanged: make(chan struct{}),
	}
}

func (c *operation) err() error {
	if c.fault == nil {
		return nil
	}
	return c.fault
}

// owned reports whether this daemon owns the partition as far as it has read,
// and returns a channel that is closed at the next change.
func (p *partition) owned() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isOwner(), p.ownerChanged
}

// mine is owned with p.mu held. A daemon's name belongs to one process, so an
// ownership record with this name was appended by this Keeper.
func (p *partition) isOwner() bool {
	return p.state != nil && !p.stopped && p.state.Owner().Daemon == p.server.settings.Daemon
}

func (p *partition) setAssigned(a bool) {
	p.mu.Lock()
	if p.assigned != a {
		p.assigned, p.retakeDelay = a, 0
	}
	p.mu.Unlock()
	p.wakeAppender()
}

func (p *partition) isAssigned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assigned
}

func (p *partition) wakeAppender() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

func (p *partition) enqueue(c *operation) {
	c.stage = queued
	p.queue = append(p.queue, c)
	p.wakeAppender()
}

// settle ends c with a decision or a fault, once; p.mu is held.
func (p *partition) settle(c *operation, d Decision, f *fault.Fault) {
	if c.stage == settled {
		return
	}
	c.stage, c.decision, c.fault = settled, d, f
	if r, ok := c.record.(claims.Claim); ok {
		delete(p.pendingClaims, r.ID)
		if f == nil && d.State == Granted {
			p.granted[r.ID] = c.deadline
		}
	}
	close(c.done)
}

// ask answers from the folded state, or returns a call to wait for. The state
// may be old if another daemon took over: a stored answer is final, and the
// other answers from it are refusals.
func (p *partition) requestClaim(now time.Time, key claims.Key, a ClaimArgs) (*operation, Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOwner() {
		return nil, Decision{}, notOwnerFault(p.stream)
	}
	if c := p.pendingClaims[a.ID]; c != nil {
		if r := c.record.(claims.Claim); r.Key != key || r.Digest != a.Digest {
			return nil, Decision{}, fault.New(fault.BadRequest, "claim %s is used for another request", a.ID)
		}
		return c, Decision{}, nil
	}
	if _, ok := p.refused[a.ID]; ok {
		return nil, Decision{}, logUnavailableFault("claim %s was refused or withdrawn", a.ID)
	}
	if d, f := p.lookup(now, key, a.Digest, a.ID); f != nil {
		return nil, Decision{}, f
	} else if d.State != 0 {
		return nil, d, nil
	}
	if !p.readable {
		return nil, Decision{}, logUnavailableFault("%s can't be read", p.stream)
	}
	deadline := a.Deadline
	if deadline.IsZero() {
		deadline = now.Add(p.server.settings.Limits.Window)
	}
	c := &operation{
		record:   claims.Claim{Key: key, Digest: a.Digest, ID: a.ID, Daemon: a.Daemon},
		deadline: deadline, daemon: a.Daemon, done: make(chan struct{}),
	}
	p.pendingClaims[a.ID] = c
	p.enqueue(c)
	return c, Decision{}, nil
}

// answer translates the fold's result; a zero Decision without a fault means
// that the key is free.
func (p *partition) lookup(now time.Time, key claims.Key, d claims.Digest, id claims.ID) (Decision, *fault.Fault) {
	switch r := p.state.Query(key, d, id).(type) {
	case claims.Finished:
		return Decision{State: Replayed, ID: r.ID, Answer: r.StoredResponse}, nil
	case claims.Mismatch:
		f := fault.New(fault.KeyMismatch, "the key belongs to another request")
		if !r.Final {
			f = f.WithRun(fault.RunUnknown)
		}
		return Decision{}, f
	case claims.Expired:
		return Decision{}, fault.New(fault.KeyExpired, "the key is older than the acceptance window").WithRun(fault.RunUnknown)
	case claims.Granted:
		// The claimant repeats its question after a lost answer. Without
		// an entry in running the claim was refused or withdrawn, or was
		// granted by another process, and is not granted again.
		if _, ok := p.granted[id]; ok {
			return Decision{State: Granted, ID: id}, nil
		}
		return Decision{}, p.heldKeyFault(now, id)
	case claims.Unknown:
		return Decision{}, p.heldKeyFault(now, r.ID)
	}
	return Decision{}, nil
}

// taken returns the refusal for a key that the claim id holds. A zero now
// stands for a moment before the claim's deadline.
func (p *partition) heldKeyFault(now time.Time, id claims.ID) *fault.Fault {
	if until, ok := p.granted[id]; ok && (now.IsZero() || now.Before(until)) {
		return fault.New(fault.KeyInProgress, "a request with this key is running").WithRun(fault.RunUnknown).WithRetry(time.Second)
	}
	return fault.New(fault.OutcomeUnknown, "a request with this key was started and its outcome is not known").WithRun(fault.RunUnknown)
}

// abandon refuses c at its deadline. Its record is withdrawn if it may take
// effect; while an append is in progress, that is decided when it returns.
func (p *partition) abandon(c *operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := c.stage
	if was == settled {
		return
	}
	p.settle(c, Decision{}, logUnavailableFault("the claim was not confirmed before the deadline"))
	switch {
	case was == appending:
		c.abandoned = true
		p.refused[c.record.(claims.Claim).ID] = struct{}{}
	case was == appended || c.ambiguous:
		p.queueWithdrawal(c)
	}
}

// withdrawLater queues the withdrawal of a refused claim; p.mu is held.
func (p *partition) queueWithdrawal(c *operation) {
	if p.stopped {
		return
	}
	r := c.record.(claims.Claim)
	p.refused[r.ID] = struct{}{}
	event.ClaimAbandoned.Log("stream", p.stream, "key", r.Key, "claim", r.ID, "daemon", c.daemon)
	p.enqueue(&operation{record: claims.Withdraw{Key: r.Key, ID: r.ID}, done: make(chan struct{})})
}

// report queues a done record.
func (p *partition) queueDone(r claims.Done) (*operation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOwner() {
		return nil, notOwnerFault(p.stream)
	}
	p.reported[r.ID] = struct{}{}
	c := &operation{record: r, done: make(chan struct{})}
	p.enqueue(c)
	return c, nil
}

// withdraw makes sure that the claim is not granted from now on, and queues
// its withdrawal.
func (p *partition) queueCallerWithdrawal(r claims.Withdraw) (*operation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOwner() {
		return nil, notOwnerFault(p.stream)
	}
	if _, ok := p.reported[r.ID]; ok || p.state.CheckHolder(r.Key, r.ID) == claims.AlreadyDone {
		return nil, fault.New(fault.BadRequest, "claim %s has an answer and can't be withdrawn", r.ID)
	}
	delete(p.granted, r.ID)
	p.refused[r.ID] = struct{}{}
	if c := p.pendingClaims[r.ID]; c != nil {
		p.settle(c, Decision{}, logUnavailableFault("the claim was withdrawn"))
	}
	c := &operation{record: r, done: make(chan struct{})}
	p.enqueue(c)
	return c, nil
}
