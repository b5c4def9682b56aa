package hub

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/origin"
)

type (
	// OriginArgs asks the holder for the origin of a stream that a caller resumes.
	OriginArgs struct {
		Host string
		ID   uint64
	}

	// OriginReply is the reply to OriginArgs.
	OriginReply struct {
		Fence int64
		// Known is set if the holder knows the stream. If it isn't, the holder may
		// not have been told of it yet.
		Known  bool
		Stream origin.Stream
		// State is the holder's state of versions, nil if it doesn't know, and
		// StateRev its revision.
		State    *origin.State
		StateRev uint64
	}
)

// originTimeout bounds a call of Origin; the log is read if the holder doesn't answer.
const originTimeout = 300 * time.Millisecond

// Origin implements the call of that name.
func (s *server) Origin(a *OriginArgs, r *OriginReply) error {
	reply, err := s.holder.Origin(a)
	if err != nil {
		return err
	}
	*r = *reply
	return nil
}

// Origin asks for the origin of a stream. It fails if the holder doesn't know the call,
// being of an earlier version.
func (c *Client) Origin(ctx context.Context, a *OriginArgs) (*OriginReply, error) {
	r := new(OriginReply)
	return r, c.call(ctx, "Origin", a, r, originTimeout)
}
