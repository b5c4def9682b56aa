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

	// Blob carries bytes between daemons.
	Blob struct{ Data []byte }

	// peerRecords is how the follower reaches other daemons.
	peerRecords struct{ d *Daemon }

	// claimsLog gives the keeper the log client in its own types.
	claimsLog struct{ c *logsvc.Client }
)

// maxCall bounds a call whose requests state no deadline.
const maxCall = 10 * time.Minute

// News exchanges facts.
func (s *service) News(in gossip.Message, out *gossip.Message) error {
	*out = s.d.gossip.Exchange(time.Now(), in)
	return nil
}

// Records returns control records from an offset on.
func (s *service) Records(from uint64, out *logsvc.Page) error {
	*out = s.d.follow.RecentRecords(from)
	return nil
}

// State returns a snapshot of the control stream's fold.
func (s *service) State(_ uint64, out *Blob) error {
	b, err := s.d.follow.Snapshot()
	out.Data = b
	return err
}

// Wake coordinates a wake.
func (s *service) Wake(q waker.Request, out *waker.Reply) error {
	ctx, cancel := deadline(q.Deadline)
	defer cancel()
	up, err := s.d.waker.Coordinate(ctx, q)
	out.Upstream, out.Refusal = up, portable(err)
	return nil
}

// Load loads a replica or adapter on an upstream that this daemon owns.
func (s *service) Load(q owner.Request, out *waker.Reply) error {
	ctx, cancel := deadline(q.Deadline)
	defer cancel()
	out.Upstream = q.Upstream
	out.Refusal = portable(s.d.owner.Load(ctx, q))
	return nil
}

// Claim claims the key of a non-idempotent call.
func (s *service) Claim(a dedup.ClaimArgs, out *dedup.Reply) error {
	ctx, cancel := deadline(a.Deadline)
	defer cancel()
	dec, err := s.d.keeper.Claim(ctx, time.Now(), a)
	out.Decision, out.Refusal = dec, dedup.NewRefusal(err)
	return nil
}

// Done records the answer of a non-idempotent call.
func (s *service) Done(a dedup.DoneArgs, out *dedup.Reply) error {
	ctx, cancel := deadline(time.Time{})
	defer cancel()
	out.Refusal = dedup.NewRefusal(s.d.keeper.Done(ctx, time.Now(), a))
	return nil
}

// Withdraw gives back a claim under which nothing was run.
func (s *service) Withdraw(a dedup.WithdrawArgs, out *dedup.Reply) error {
	ctx, cancel := deadline(time.Time{})
	defer cancel()
	out.Refusal = dedup.NewRefusal(s.d.keeper.Withdraw(ctx, time.Now(), a))
	return nil
}

// deadline returns a context that ends at t, or after maxCall if t is zero.
func deadline(t time.Time) (context.Context, context.CancelFunc) {
	if t.IsZero() {
		return context.WithTimeout(context.Background(), maxCall)
	}
	return context.WithDeadline(context.Background(), t)
}

func portable(err error) *fault.Fault {
	if err == nil {
		return nil
	}
	return fault.Of(err).Portable()
}

// Records asks the peer that is furthest in the control stream.
func (p peerRecords) Records(ctx context.Context, from uint64) (logsvc.Page, error) {
	address, ok := p.d.gossip.PeerAhead(from)
	if !ok {
		return logsvc.Page{}, fault.New(fault.NotReady, "no peer is ahead of offset %d", from)
	}
	page := new(logsvc.Page)
	if err := p.d.client.Call(ctx, address, "Records", from, page); err != nil {
		p.d.gossip.ClearPeerAhead()
		return logsvc.Page{}, err
	}
	return *page, nil
}

// State asks the peer that is furthest in the control stream.
func (p peerRecords) State(ctx context.Context) ([]byte, error) {
	address, ok := p.d.gossip.PeerAhead(1)
	if !ok {
		return nil, fault.New(fault.NotReady, "no peer has any state")
	}
	b := new(Blob)
	if err := p.d.client.Call(ctx, address, "State", uint64(0), b); err != nil {
		p.d.gossip.ClearPeerAhead()
		return nil, err
	}
	return b.Data, nil
}

// Append writes to a claims stream.
func (l claimsLog) Append(ctx context.Context, name string, data ...[]byte) (uint64, int64, error) {
	first, at, err := l.c.Append(ctx, name, data...)
	if e, ok := err.(*logsvc.Error); ok && !e.Ambiguous {
		return 0, 0, &dedup.NotAppendedError{Cause: err}
	}
	return first, at, err
}

// Read reads from a claims stream.
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
