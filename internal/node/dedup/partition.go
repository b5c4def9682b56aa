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

	// operation is one record to append, and its result for the caller that
	// waits for it.
	operation struct {
		record claims.Record
		stage  stage
		// ambiguous is set after an append with an unknown result.
		ambiguous bool
		// abandoned is set for a claim that was refused at its deadline.
		abandoned bool
		deadline  time.Time
		daemon    string
		// decision and fault are set before done is closed.
		decision Decision
		fault    *fault.Fault
		done     chan struct{}
		// offset is that of the log record with a done or withdraw record.
		offset uint64
	}

	// partition is one claims partition that is assigned or owned.
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
		// unconfirmed holds the done and withdraw operations that are
		// appended and not yet read back.
		unconfirmed []*operation
		// pendingClaims holds the unsettled claim operations by identifier.
		pendingClaims map[claims.ID]*operation
		// granted holds the deadline of each claim that was granted by this
		// process and has neither a response nor a withdrawal.
		granted map[claims.ID]time.Time
		// prunedMS is the time of the log at which granted was last pruned.
		prunedMS int64
		// reported holds the claims whose response is queued.
		reported map[claims.ID]struct{}
		// refused holds the claims that must not be granted although state
		// may not show it yet: a withdrawal is queued or may be needed.
		refused map[claims.ID]struct{}
		// retakeDelay is the delay before ownership that was lost to another
		// daemon is taken again.
		retakeDelay time.Duration
		// ownerChanged is closed and replaced when the ownership changes.
		ownerChanged chan struct{}
		outcomes     []claims.Outcome
		decoded      []claims.Record
	}
)

// Stages of an operation.
const (
	queued    stage = iota // not part of any append in progress
	appending              // part of an append in progress
	appended               // appended, or the result of the append is unknown
	settled                // has its result
)

func newPartition(s *Server, n int) *partition {
	return &partition{
		server: s, number: n, stream: StreamName(n), wakeup: make(chan struct{}, 1),
		pendingClaims: map[claims.ID]*operation{}, granted: map[claims.ID]time.Time{},
		reported: map[claims.ID]struct{}{}, refused: map[claims.ID]struct{}{},
		ownerChanged: make(chan struct{}),
	}
}

func (op *operation) err() error {
	if op.fault == nil {
		return nil
	}
	return op.fault
}

// owned reports whether this daemon owns the partition according to the records
// that it has read, and returns a channel that is closed at the next change.
func (p *partition) owned() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isOwner(), p.ownerChanged
}

// isOwner reports whether this daemon owns the partition; p.mu is held. A
// daemon's name belongs to one process, so an ownership record with this name
// was appended by this Server.
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

// wakeAppender lets appendLoop check for work.
func (p *partition) wakeAppender() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// enqueue queues op for the next append; p.mu is held.
func (p *partition) enqueue(op *operation) {
	op.stage = queued
	p.queue = append(p.queue, op)
	p.wakeAppender()
}

// settle sets the result of op, a decision or a fault, if it has none; p.mu is
// held.
func (p *partition) settle(op *operation, d Decision, f *fault.Fault) {
	if op.stage == settled {
		return
	}
	op.stage, op.decision, op.fault = settled, d, f
	if r, ok := op.record.(claims.Claim); ok {
		delete(p.pendingClaims, r.ID)
		if f == nil && d.State == Granted {
			p.granted[r.ID] = op.deadline
		}
	}
	close(op.done)
}

// requestClaim returns a result from the state, or an operation to wait for. The
// state may be outdated if another daemon took ownership. That is safe, because
// a stored response is final and every other result from the state is a
// refusal or a repeated grant of this process.
func (p *partition) requestClaim(now time.Time, key claims.Key, a ClaimArgs) (*operation, Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOwner() {
		return nil, Decision{}, notOwnerFault(p.stream)
	}
	if op := p.pendingClaims[a.ID]; op != nil {
		if r := op.record.(claims.Claim); r.Key != key || r.Digest != a.Digest {
			return nil, Decision{}, fault.New(fault.BadRequest, "claim %s is used for another request", a.ID)
		}
		return op, Decision{}, nil
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
	op := &operation{
		record:   claims.Claim{Key: key, Digest: a.Digest, ID: a.ID, Daemon: a.Daemon},
		deadline: deadline, daemon: a.Daemon, done: make(chan struct{}),
	}
	p.pendingClaims[a.ID] = op
	p.enqueue(op)
	return op, Decision{}, nil
}

// lookup returns the decision or fault for the state of the key. A zero Decision
// without a fault means that the key is free.
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
		// The claimant repeats its request because the reply was lost. A
		// claim without an entry in granted was refused, withdrawn, or
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

// heldKeyFault returns the refusal for a key that the claim id holds. A zero now
// stands for a time before the claim's deadline.
func (p *partition) heldKeyFault(now time.Time, id claims.ID) *fault.Fault {
	if deadline, ok := p.granted[id]; ok && (now.IsZero() || now.Before(deadline)) {
		return fault.New(fault.KeyInProgress, "a request with this key is running").WithRun(fault.RunUnknown).WithRetry(retryAfter)
	}
	return fault.New(fault.OutcomeUnknown, "a request with this key was started and its outcome is not known").WithRun(fault.RunUnknown)
}

// abandon refuses op at its deadline, and withdraws its record if that may take
// effect. If an append of the record is in progress, handleAppendResult decides
// on the withdrawal.
func (p *partition) abandon(op *operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := op.stage
	if previous == settled {
		return
	}
	p.settle(op, Decision{}, logUnavailableFault("the claim was not confirmed before the deadline"))
	switch {
	case previous == appending:
		op.abandoned = true
		p.refused[op.record.(claims.Claim).ID] = struct{}{}
	case previous == appended || op.ambiguous:
		p.queueWithdrawal(op)
	}
}

// queueWithdrawal queues the withdrawal of a refused claim; p.mu is held.
func (p *partition) queueWithdrawal(op *operation) {
	if p.stopped {
		return
	}
	r := op.record.(claims.Claim)
	p.refused[r.ID] = struct{}{}
	event.ClaimAbandoned.Log("stream", p.stream, "key", r.Key, "claim", r.ID, "daemon", op.daemon)
	p.enqueue(&operation{record: claims.Withdraw{Key: r.Key, ID: r.ID}, done: make(chan struct{})})
}

// queueDone queues a done record.
func (p *partition) queueDone(r claims.Done) (*operation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOwner() {
		return nil, notOwnerFault(p.stream)
	}
	p.reported[r.ID] = struct{}{}
	op := &operation{record: r, done: make(chan struct{})}
	p.enqueue(op)
	return op, nil
}

// queueCallerWithdrawal refuses the claim from now on and queues the withdrawal
// that its claimant requested.
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
	if op := p.pendingClaims[r.ID]; op != nil {
		p.settle(op, Decision{}, logUnavailableFault("the claim was withdrawn"))
	}
	op := &operation{record: r, done: make(chan struct{})}
	p.enqueue(op)
	return op, nil
}
