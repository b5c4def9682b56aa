package hub

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/roster"
)

type (
	// BulkArgs asks a daemon that isn't the holder for the complete state that it has
	// from the holder.
	BulkArgs struct {
		Host string
		// Register requests the register, too.
		Register bool
	}

	// BulkReply is the reply to BulkArgs.
	BulkReply struct {
		// Fence and Rev are those of Copies.
		Fence  int64
		Rev    uint64
		Copies Packed[[]fleet.Inventory]
		// Register is the whole register, nil if the daemon doesn't have it, and
		// RegisterAge its age beyond the one that it states.
		Register    Packed[*roster.Update]
		RegisterAge time.Duration
	}

	// Passer passes the holder's complete state on to other daemons.
	Passer interface {
		// Bulk fails with a NoStateError if there is none.
		Bulk(a *BulkArgs) (*BulkReply, error)
	}

	// NoStateError states that the called daemon has no complete state to pass on.
	NoStateError struct{}
)

// bulkTimeout bounds a call of Bulk: at most some hundred kB over a link of 24 Mbit/s that
// other daemons use as well.
const bulkTimeout = time.Second

// Error implements error.
func (*NoStateError) Error() string { return "no complete state to pass on" }

// Bulk implements the call of that name.
func (s *server) Bulk(a *BulkArgs, r *BulkReply) error {
	reply, err := s.passer.Bulk(a)
	if err != nil {
		return err
	}
	*r = *reply
	return nil
}

// Bulk asks for the complete state.
func (c *Client) Bulk(ctx context.Context, a *BulkArgs) (*BulkReply, error) {
	r := new(BulkReply)
	return r, c.call(ctx, "Bulk", a, r, bulkTimeout)
}

// Merge adds the complete state that another daemon has passed on to a reply that named
// that daemon. What belongs to another tenure is left out.
func (r *WatchReply) Merge(b *BulkReply) error {
	if b.Fence == r.Fence && b.Copies != nil {
		r.AllCopies, r.Rev = b.Copies, b.Rev
	}
	if b.Register != nil && r.Register == nil {
		r.WholeRegister, r.WholeAge = b.Register, b.RegisterAge
	}
	return merry.Wrap(r.unpackShared())
}
