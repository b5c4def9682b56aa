package dedup

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/claims"
)

// Defaults for zero fields of Settings.
const (
	DefaultPollWait       = 10 * time.Second
	DefaultAppendTimeout  = 5 * time.Second
	DefaultMaxBatch       = 256
	DefaultMinBackoff     = 20 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	DefaultMinRetakeDelay = time.Second
	DefaultMaxRetakeDelay = 30 * time.Second
)

type (
	// Settings of a Keeper. A zero field stands for its default.
	Settings struct {
		// Daemon is this process's unique name.
		Daemon string
		Limits claims.Limits
		// PollWait is how long a read waits for new records.
		PollWait time.Duration
		// AppendTimeout bounds one call of the log beyond PollWait.
		AppendTimeout time.Duration
		// Batch is the largest number of records in one log record.
		MaxBatch int
		// BackoffLow and BackoffHigh bound the pause after a failed log
		// call, which doubles and has jitter.
		MinBackoff, MaxBackoff time.Duration
		// RetakeLow and RetakeHigh bound the pause before a partition that
		// another daemon took is taken again; it doubles at each loss until
		// the assignment changes.
		MinRetakeDelay, MaxRetakeDelay time.Duration
	}

	// Keeper owns claims partitions. Its methods are safe for concurrent
	// use. See New.
	Server struct {
		settings Settings
		log      Log
		random   io.Reader

		mu         sync.Mutex
		ctx        context.Context // of Serve, nil before it
		partitions [claims.Partitions]*partition
		wg         sync.WaitGroup
	}
)

// New returns a Keeper without partitions. Serve must run for it to work.
// random gives claim identifiers and jitter; its reads must be safe for
// concurrent use, as those of crypto/rand.Reader are.
func New(s Settings, log Log, random io.Reader) *Server {
	if s.Limits.Window <= 0 {
		s.Limits.Window = claims.MaxWindow
	}
	if s.PollWait <= 0 {
		s.PollWait = DefaultPollWait
	}
	if s.AppendTimeout <= 0 {
		s.AppendTimeout = DefaultAppendTimeout
	}
	if s.MaxBatch <= 0 {
		s.MaxBatch = DefaultMaxBatch
	}
	if s.MinBackoff <= 0 {
		s.MinBackoff = DefaultMinBackoff
	}
	if s.MaxBackoff <= 0 {
		s.MaxBackoff = DefaultMaxBackoff
	}
	if s.MinRetakeDelay <= 0 {
		s.MinRetakeDelay = DefaultMinRetakeDelay
	}
	if s.MaxRetakeDelay <= 0 {
		s.MaxRetakeDelay = DefaultMaxRetakeDelay
	}
	return &Server{settings: s, log: log, random: random}
}

// Serve runs the Keeper until ctx ends, and returns ctx's error. Claims that
// wait at that moment are refused.
func (k *Server) Serve(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	for _, p := range k.partitions {
		if p != nil {
			k.start(p)
		}
	}
	k.mu.Unlock()
	<-ctx.Done()
	k.mu.Lock()
	k.ctx = nil
	clear(k.partitions[:])
	k.mu.Unlock()
	k.wg.Wait()
	return ctx.Err()
}

// Assign tells the Keeper which daemons are live. It takes the partitions for
// which Owner names this daemon. A partition that it owns and is no longer
// assigned is served until another daemon's ownership record appears.
func (k *Server) Assign(daemons []string) {
	for n := range claims.Partitions {
		k.assign(n, PreferredOwner(n, daemons) == k.settings.Daemon)
	}
}

// Take assigns the partition to this daemon and waits until it owns it. It
// fails with ctx's error as the cause of a fault.LogUnavailable.
func (k *Server) TakeOwnership(ctx context.Context, partition int) error {
	for {
		p := k.assign(partition, true)
		owned, changed := p.owned()
		if owned {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.LogUnavailable, "ownership of %s is not confirmed", p.stream)
		}
	}
}

// Owned returns the numbers of the partitions that this daemon owns as far as
// it has read.
func (k *Server) OwnedPartitions() []int {
	k.mu.Lock()
	parts := k.partitions
	k.mu.Unlock()
	var out []int
	for n, p := range parts {
		if p == nil {
			continue
		}
		if owned, _ := p.owned(); owned {
			out = append(out, n)
		}
	}
	return out
}

// Claim asks for the key. It returns Granted once the claim record was read
// back as the key's first, or Replayed with the stored answer. Otherwise it
// returns a *fault.Fault:
//
//   - NotReady, run no: another daemon owns the partition (see NotOwner)
//   - LogUnavailable, run no: the claim could not be confirmed in time
//   - BadRequest, run no: the key is not a ULID or UUIDv7, or lies ahead
//   - KeyMismatch: the key belongs to a request with another digest; run no
//     if that request has an answer, otherwise unknown
//   - KeyExpired, KeyInProgress, OutcomeUnknown, run unknown
func (k *Server) Claim(ctx context.Context, now time.Time, a ClaimArgs) (Decision, error) {
	key, p, err := k.locate(a.Key)
	if err != nil {
		return Decision{}, err
	}
	if a.ID.IsZero() {
		if a.ID, err = claims.NewID(now.UnixMilli(), k.random); err != nil {
			return Decision{}, fault.Wrap(err, fault.Internal, "no claim identifier")
		}
	}
	if !a.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.Deadline)
		defer cancel()
	}
	c, d, err := p.requestClaim(now, key, a)
	if c == nil {
		return d, err
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		p.abandon(c)
	}
	return c.decision, c.err()
}

// Done stores the answer of the request that ran under the claim. It returns
// nil once the record is read back, or a *fault.Fault at the end of ctx; the
// Keeper then continues to try while it owns the partition.
func (k *Server) Done(ctx context.Context, _ time.Time, a DoneArgs) error {
	key, p, err := k.locate(a.Key)
	if err != nil {
		return err
	}
	answer := claims.NewStoredResponse(a.Answer.Status, a.Answer.ContentType, a.Answer.Body)
	answer.Truncated = answer.Truncated || a.Answer.Truncated
	c, err := p.queueDone(claims.Done{Key: key, ID: a.ID, StoredResponse: answer})
	return waitFor(ctx, c, err)
}

// Withdraw frees the key of a claim under which no request ran and none will.
// The claimant must know both. It returns like Done, and refuses a claim whose
// answer was reported.
func (k *Server) Withdraw(ctx context.Context, _ time.Time, a WithdrawArgs) error {
	key, p, err := k.locate(a.Key)
	if err != nil {
		return err
	}
	c, err := p.queueCallerWithdrawal(claims.Withdraw{Key: key, ID: a.ID})
	return waitFor(ctx, c, err)
}

func waitFor(ctx context.Context, c *operation, err error) error {
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return c.err()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.LogUnavailable, "the record is not confirmed")
	}
}

// locate parses the key and returns its partition.
func (k *Server) locate(text string) (claims.Key, *partition, error) {
	key, err := claims.ParseKey(text)
	if err != nil {
		return key, nil, fault.Wrap(err, fault.BadRequest, "invalid idempotency key")
	}
	n := key.Partition()
	k.mu.Lock()
	p := k.partitions[n]
	k.mu.Unlock()
	if p == nil {
		return key, nil, notOwnerFault(StreamName(n))
	}
	return key, p, nil
}

func notOwnerFault(stream string) *fault.Fault {
	return fault.New(fault.NotReady, "this daemon does not own %s", stream).WithRetry(time.Second)
}

func logUnavailableFault(format string, args ...any) *fault.Fault {
	return fault.New(fault.LogUnavailable, "%s", fmt.Sprintf(format, args...)).WithRetry(time.Second)
}

// assign sets whether the partition is assigned and starts it if needed.
func (k *Server) assign(n int, assigned bool) *partition {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.partitions[n]
	if p == nil {
		if !assigned {
			return nil
		}
		p = newPartition(k, n)
		p.assigned = true
		k.partitions[n] = p
		if k.ctx != nil {
			k.start(p)
		}
	}
	p.setAssigned(assigned)
	return p
}

// start runs the partition's goroutines; k.mu is held.
func (k *Server) start(p *partition) {
	ctx, cancel := context.WithCancel(k.ctx)
	k.wg.Add(1)
	go func() {
		defer k.wg.Done()
		defer cancel()
		p.run(ctx)
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.ctx == nil || k.partitions[p.number] != p {
			return
		}
		k.partitions[p.number] = nil
		if p.isAssigned() {
			// It was assigned again while it stopped.
			q := newPartition(k, p.number)
			q.assigned = true
			k.partitions[p.number] = q
			k.start(q)
		}
		// A Take that still has p looks again. The channel stays closed,
		// because such a Take may not have fetched it yet.
		p.mu.Lock()
		close(p.ownerChanged)
		p.mu.Unlock()
	}()
}
