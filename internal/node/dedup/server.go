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

// retryAfter is when the caller of a temporary refusal may try again.
const retryAfter = time.Second

type (
	// Settings of a Server. A zero field stands for its default.
	Settings struct {
		// Daemon is this process's unique name.
		Daemon string
		Limits claims.Limits
		// PollWait is the longest time that a read waits for new records.
		PollWait time.Duration
		// AppendTimeout bounds one append to the log, and one read beyond the
		// time that it waits for new records.
		AppendTimeout time.Duration
		// MaxBatch is the largest number of records in one log record.
		MaxBatch int
		// MinBackoff and MaxBackoff bound the exponential backoff, with
		// jitter, after a failed log call.
		MinBackoff, MaxBackoff time.Duration
		// MinRetakeDelay and MaxRetakeDelay bound the delay before the Server
		// again takes a partition that another daemon took from it. The delay
		// doubles at each loss until the assignment changes.
		MinRetakeDelay, MaxRetakeDelay time.Duration
	}

	// Server owns claims partitions and decides on claims for their keys. Its
	// methods are safe for concurrent use. See New.
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

// New returns a Server without partitions, which works while Serve runs. random
// is the source of claim identifiers and jitter; it must be safe for concurrent
// use, as crypto/rand.Reader is.
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

// Serve runs the Server until ctx ends, and returns ctx's error. Claims that are
// not settled by then are refused.
func (s *Server) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	for _, p := range s.partitions {
		if p != nil {
			s.start(p)
		}
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.ctx = nil
	clear(s.partitions[:])
	s.mu.Unlock()
	s.wg.Wait()
	return ctx.Err()
}

// Assign sets the live daemons. The Server takes the partitions whose
// PreferredOwner is this daemon. It serves a partition that it owns and that is
// no longer assigned to it until another daemon's ownership record appears.
func (s *Server) Assign(daemons []string) {
	for n := range claims.Partitions {
		s.assign(n, PreferredOwner(n, daemons) == s.settings.Daemon)
	}
}

// TakeOwnership assigns the partition to this daemon and waits until the daemon
// owns it. If ctx ends first, it returns a fault.LogUnavailable with ctx's error
// as the cause.
func (s *Server) TakeOwnership(ctx context.Context, partition int) error {
	for {
		p := s.assign(partition, true)
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

// OwnedPartitions returns the numbers of the partitions that this daemon owns
// according to the records that it has read.
func (s *Server) OwnedPartitions() []int {
	s.mu.Lock()
	partitions := s.partitions
	s.mu.Unlock()
	var out []int
	for n, p := range partitions {
		if p == nil {
			continue
		}
		if owned, _ := p.owned(); owned {
			out = append(out, n)
		}
	}
	return out
}

// Claim requests the key. It returns Granted once the claim record has been read
// back as the key's first valid one, or Replayed with the stored response.
// Otherwise it returns a *fault.Fault:
//
//   - NotReady, run no: another daemon owns the partition (see IsNotOwner)
//   - LogUnavailable, run no: the claim could not be confirmed in time
//   - BadRequest, run no: the key is not a ULID or UUIDv7, or its time is
//     too far ahead of the log's clock
//   - KeyMismatch: the key belongs to a request with another digest; run no
//     if that request has a response, otherwise unknown
//   - KeyExpired, KeyInProgress, OutcomeUnknown, run unknown
func (s *Server) Claim(ctx context.Context, now time.Time, a ClaimArgs) (Decision, error) {
	key, p, err := s.locate(a.Key)
	if err != nil {
		return Decision{}, err
	}
	if a.ID.IsZero() {
		if a.ID, err = claims.NewID(now.UnixMilli(), s.random); err != nil {
			return Decision{}, fault.Wrap(err, fault.Internal, "no claim identifier")
		}
	}
	if !a.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.Deadline)
		defer cancel()
	}
	op, d, err := p.requestClaim(now, key, a)
	if op == nil {
		return d, err
	}
	select {
	case <-op.done:
	case <-ctx.Done():
		p.abandon(op)
	}
	return op.decision, op.err()
}

// Done stores the response of the request that ran under the claim. It returns
// nil once the record has been read back. If ctx ends first, it returns a
// *fault.Fault, and the Server continues to try while it owns the partition.
func (s *Server) Done(ctx context.Context, _ time.Time, a DoneArgs) error {
	key, p, err := s.locate(a.Key)
	if err != nil {
		return err
	}
	response := claims.NewStoredResponse(a.Answer.Status, a.Answer.ContentType, a.Answer.Body)
	response.Truncated = response.Truncated || a.Answer.Truncated
	op, err := p.queueDone(claims.Done{Key: key, ID: a.ID, StoredResponse: response})
	return waitFor(ctx, op, err)
}

// Withdraw frees the key of a claim under which no request ran or will run, which
// the claimant must know. It waits and returns like Done, and refuses a claim
// whose response was reported.
func (s *Server) Withdraw(ctx context.Context, _ time.Time, a WithdrawArgs) error {
	key, p, err := s.locate(a.Key)
	if err != nil {
		return err
	}
	op, err := p.queueCallerWithdrawal(claims.Withdraw{Key: key, ID: a.ID})
	return waitFor(ctx, op, err)
}

// waitFor waits until op is settled or ctx ends. It returns err if that is not
// nil.
func waitFor(ctx context.Context, op *operation, err error) error {
	if err != nil {
		return err
	}
	select {
	case <-op.done:
		return op.err()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.LogUnavailable, "the record is not confirmed")
	}
}

// locate parses the key and returns it with its partition. It fails if the
// Server does not serve the partition.
func (s *Server) locate(text string) (claims.Key, *partition, error) {
	key, err := claims.ParseKey(text)
	if err != nil {
		return key, nil, fault.Wrap(err, fault.BadRequest, "invalid idempotency key")
	}
	n := key.Partition()
	s.mu.Lock()
	p := s.partitions[n]
	s.mu.Unlock()
	if p == nil {
		return key, nil, notOwnerFault(StreamName(n))
	}
	return key, p, nil
}

func notOwnerFault(stream string) *fault.Fault {
	return fault.New(fault.NotReady, "this daemon does not own %s", stream).WithRetry(retryAfter)
}

func logUnavailableFault(format string, args ...any) *fault.Fault {
	return fault.New(fault.LogUnavailable, "%s", fmt.Sprintf(format, args...)).WithRetry(retryAfter)
}

// assign sets whether the partition is assigned to this daemon, and starts it if
// needed.
func (s *Server) assign(n int, assigned bool) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[n]
	if p == nil {
		if !assigned {
			return nil
		}
		p = newPartition(s, n)
		p.assigned = true
		s.partitions[n] = p
		if s.ctx != nil {
			s.start(p)
		}
	}
	p.setAssigned(assigned)
	return p
}

// start runs the partition's goroutines; s.mu is held.
func (s *Server) start(p *partition) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer cancel()
		p.run(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ctx == nil || s.partitions[p.number] != p {
			return
		}
		s.partitions[p.number] = nil
		if p.isAssigned() {
			// The partition was assigned again while it stopped.
			q := newPartition(s, p.number)
			q.assigned = true
			s.partitions[p.number] = q
			s.start(q)
		}
		// A TakeOwnership that still waits for p checks again. The channel
		// stays closed, because that call may not have fetched it yet.
		p.mu.Lock()
		close(p.ownerChanged)
		p.mu.Unlock()
	}()
}
