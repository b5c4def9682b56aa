package syncer

import (
	"context"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// fetch gets what a reply lacks of the holder's complete state from the first of the
// daemons that it names which answers. Without one the holder is asked again.
func (s *Syncer) fetch(ctx context.Context, r *hub.WatchReply) {
	for _, address := range r.Sources {
		err := s.fetchFrom(ctx, address, r)
		event.StatePassedOn.Log("from", address, "fence", r.Fence, "rev", r.Rev, "register", r.WholeRegister != nil, "cause", err)
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

// fetchFrom merges the complete state of the daemon at an address with a reply.
func (s *Syncer) fetchFrom(ctx context.Context, address string, r *hub.WatchReply) error {
	c, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	b, err := c.Bulk(ctx, &hub.BulkArgs{Host: s.host, Register: r.SourceRegister})
	if err != nil {
		return err
	}
	return r.Merge(b)
}

// Bulk implements Client; the holder has the state itself.
func (localHolder) Bulk(context.Context, *hub.BulkArgs) (*hub.BulkReply, error) {
	return nil, &hub.NoStateError{}
}
