package daemon

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/link/logsvc"
	"github.com/azurespan/azurespan/internal/node/dedup"
	"github.com/azurespan/azurespan/internal/node/gossip"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/waker"
)

type (
	// service has the methods that other daemons call by net/rpc.
	service struct{ d *Daemon }

	// Blob is the reply of a call that returns bytes.
	Blob struct{ Data []byte }

	// controlPeers implements follow.Peers by calls to other daemons.
	controlPeers struct{ d *Daemon }

	// claimsLog adapts the log client to dedup.Log.
	claimsLog struct{ c *logsvc.Client }
)

// maxCallDuration bounds a call whose request has no deadline.
const maxCallDuration = 10 * time.Minute

// News exchanges facts.
func (s *service) News(in gossip.Message, out *gossip.Message) error {
	*out = s.d.gossip.Exchange(time.Now(), in)
	return nil
}

// Records returns control records from an offset on.
func (s *service) Records(from uint64, out *logsvc.Page) error {
	*out = s.d.follower.RecentRecords(from)
	return nil
}

// State returns a snapshot of the control state.
func (s *service) State(_ uint64, out *Blob) error {
	b, err := s.d.follower.Snapshot()
	out.Data = b
	return err
}

// Wake coordinates the load of a model that a request of another daemon waits
// for.
func (s *service) Wake(q waker.Request, out *waker.Reply) error {
	ctx, cancel := deadlineContext(q.Deadline)
	defer cancel()
	up, err := s.d.waker.Coordinate(ctx, q)
	out.Upstream, out.Refusal = up, portableFault(err)
	return nil
}

// Load loads a replica or adapter on an upstream that this daemon owns.
func (s *service) Load(q owner.Request, out *waker.Reply) error {
	ctx, cancel := deadlineContext(q.Deadline)
	defer cancel()
	out.Upstream = q.Upstream
	out.Refusal = portableFault(s.d.owner.Load(ctx, q))
	return nil
}

// Claim claims the idempotency key of a non-idempotent call.
func (s *service) Claim(a dedup.ClaimArgs, out *dedup.Reply) error {
	ctx, cancel := deadlineContext(a.Deadline)
	defer cancel()
	dec, err := s.d.dedup.Claim(ctx, time.Now(), a)
	out.Decision, out.Refusal = dec, dedup.NewRefusal(err)
	return nil
}

// Done records the answer of a non-idempotent call.
func (s *service) Done(a dedup.DoneArgs, out *dedup.Reply) error {
	ctx, cancel := deadlineContext(time.Time{})
	defer cancel()
	out.Refusal = dedup.NewRefusal(s.d.dedup.Done(ctx, time.Now(), a))
	return nil
}

// Withdraw withdraws a claim under which nothing was run.
func (s *service) Withdraw(a dedup.WithdrawArgs, out *dedup.Reply) error {
	ctx, cancel := deadlineContext(time.Time{})
	defer cancel()
	out.Refusal = dedup.NewRefusal(s.d.dedup.Withdraw(ctx, time.Now(), a))
	return nil
}

// deadlineContext returns a context that ends at t, or after maxCallDuration if
// t is zero.
func deadlineContext(t time.Time) (context.Context, context.CancelFunc) {
	if t.IsZero() {
		return context.WithTimeout(context.Background(), maxCallDuration)
	}
	return context.WithDeadline(context.Background(), t)
}

// portableFault returns err as a fault that can be sent to another daemon, nil
// for nil.
func portableFault(err error) *fault.Fault {
	if err == nil {
		return nil
	}
	return fault.Of(err).Portable()
}

// Records reads control records from the most advanced peer.
func (p controlPeers) Records(ctx context.Context, from uint64) (logsvc.Page, error) {
	address, ok := p.d.gossip.PeerAhead(from)
	if !ok {
		return logsvc.Page{}, fault.New(fault.NotReady, "no peer is known to have applied offset %d", from)
	}
	page := new(logsvc.Page)
	if err := p.d.peerClient.Call(ctx, address, "Records", from, page); err != nil {
		p.d.gossip.ClearPeerAhead()
		return logsvc.Page{}, err
	}
	return *page, nil
}

// State reads a snapshot of the control state from the most advanced peer.
func (p controlPeers) State(ctx context.Context) ([]byte, error) {
	address, ok := p.d.gossip.PeerAhead(1)
	if !ok {
		return nil, fault.New(fault.NotReady, "no peer is known to have applied a control record")
	}
	b := new(Blob)
	if err := p.d.peerClient.Call(ctx, address, "State", uint64(0), b); err != nil {
		p.d.gossip.ClearPeerAhead()
		return nil, err
	}
	return b.Data, nil
}

// Append appends records to a claims stream.
func (l claimsLog) Append(ctx context.Context, name string, data ...[]byte) (uint64, int64, error) {
	first, at, err := l.c.Append(ctx, name, data...)
	if e, ok := err.(*logsvc.Error); ok && !e.Ambiguous {
		return 0, 0, &dedup.NotAppendedError{Cause: err}
	}
	return first, at, err
}

// Read reads records from a claims stream.
func (l claimsLog) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (dedup.Page, error) {
	p, err := l.c.Read(ctx, name, from, limit, wait)
	if err != nil {
		return dedup.Page{}, err
	}
	out := dedup.Page{Oldest: p.Oldest, End: p.End}
	for _, r := range p.Records {
		out.Records = append(out.Records, dedup.Entry{Offset: r.Offset, TimeMS: r.TimeMS, Data: r.Data})
	}
	return out, nil
}
