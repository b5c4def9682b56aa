package shelf

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// TestStateIsPassedOn guards against a daemon that passes on what belongs to another tenure
// or is old, and against a register that looks younger with each daemon that passes it on,
// also if a machine was suspended: upstreams that leave would be used too long (rule DRAIN).
func TestStateIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	boot := now
	s := New("a", func() time.Time { return now }, func() time.Time { return boot })
	_, err := s.Bulk(&hub.BulkArgs{})
	var none *hub.NoStateError
	must.True(t, errors.As(err, &none))
	copies, err := hub.Pack([]fleet.Inventory{{ID: "u", Rev: 7}})
	must.NoError(t, err)
	register, err := hub.Pack(&roster.Update{AsOf: 5, Age: time.Second, Full: true, Put: []fleet.Upstream{{ID: "u"}}})
	must.NoError(t, err)
	s.Keep(now, boot, &hub.WatchReply{Fence: 3, Rev: 7, AllCopies: copies, WholeRegister: register, WholeAge: time.Second})
	must.True(t, s.Keeps(3))
	must.False(t, s.Keeps(4))
	now, boot = now.Add(time.Second), boot.Add(4*time.Second)
	b, err := s.Bulk(&hub.BulkArgs{})
	must.NoError(t, err)
	must.Nil(t, b.Register)
	b, err = s.Bulk(&hub.BulkArgs{Register: true})
	must.NoError(t, err)
	must.Eq(t, 5*time.Second, b.RegisterAge)

	r := &hub.WatchReply{Fence: 3}
	must.NoError(t, r.Merge(b))
	must.Eq(t, 7, r.Rev)
	must.Eq(t, "u", r.Copies[0].ID)
	must.Eq(t, 6*time.Second, r.Register.Age)
	// The receiver passes it on, too.
	next := New("b", func() time.Time { return now }, func() time.Time { return boot })
	next.Keep(now, boot, r)
	now, boot = now.Add(time.Second), boot.Add(time.Second)
	b, err = next.Bulk(&hub.BulkArgs{Register: true})
	must.NoError(t, err)
	must.Eq(t, 6*time.Second, b.RegisterAge)

	// The holder has changed since: what engines hold is left out.
	r = &hub.WatchReply{Fence: 4}
	must.NoError(t, r.Merge(b))
	must.Nil(t, r.AllCopies)
	must.Eq(t, 0, r.Rev)
	now = now.Add(keepTime + time.Millisecond)
	must.False(t, s.Keeps(3))
	_, err = s.Bulk(&hub.BulkArgs{Register: true})
	must.True(t, errors.As(err, &none))
}
