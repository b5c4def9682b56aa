package syncer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// errNoContact states that there is no connection to a holder.
var errNoContact = merry.New("holder: no contact")

// Origin asks the holder for the origin of a stream. It returns false if the holder
// doesn't know it.
func (s *Syncer) Origin(ctx context.Context, id uint64) (origin.Stream, bool, error) {
	c := s.client.Load()
	if c == nil {
		return origin.Stream{}, false, errNoContact
	}
	asked := s.boot()
	r, err := (*c).Origin(ctx, &hub.OriginArgs{Host: s.host, ID: id})
	if err != nil {
		return origin.Stream{}, false, err
	}
	if r.State != nil {
		s.origins.Hold(s.now(), asked, origin.Revision{Fence: r.Fence, Rev: r.StateRev}, r.State)
	}
	return r.Stream, r.Known, nil
}

// holdVersions takes over what the holder's reply says of versions, to a question that was
// asked at a time of the clock that counts suspensions.
func (s *Syncer) holdVersions(asked time.Time, r *hub.WatchReply) {
	s.stateRev = r.StateRev
	revision := origin.Revision{Fence: r.Fence, Rev: r.StateRev}
	switch {
	case !r.KeepsVersions:
		s.origins.Hold(s.now(), asked, revision, &origin.State{})
	case r.StateRev > 0:
		s.origins.Hold(s.now(), asked, revision, r.State)
	}
}

// Origin asks the holder in this process.
func (h localHolder) Origin(_ context.Context, a *hub.OriginArgs) (*hub.OriginReply, error) {
	return h.holder.Origin(a)
}
