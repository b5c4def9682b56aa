package syncer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/shelf"
	"github.com/azurespan/azurespan/internal/rule/paths"
)

// tellClient is a connection to a holder that records reports.
type tellClient struct {
	Client
	readsGroups bool
	told        []*hub.TellArgs
}

func (c *tellClient) Tell(_ context.Context, a *hub.TellArgs) (*hub.TellReply, error) {
	c.told = append(c.told, a)
	return &hub.TellReply{ReadsGroups: c.readsGroups}, nil
}

// TestStreamsAreToldInGroups guards against streams that a holder of an earlier version
// isn't told of, since it doesn't read groups, and against some that are told twice.
func TestStreamsAreToldInGroups(t *testing.T) {
	for _, readsGroups := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := origin.New(time.Second)
			table.Registered(time.Now(), "s", "v1")
			table.Registered(time.Now(), "s", "v2")
			d := new(fakeDaemon)
			s := New("d", d, d, d, poison.New(poison.Settings{}, 1), table, paths.New("", ""), shelf.New("", time.Now, time.Now), nil, func(float64) {}, nil, Dial, make(chan struct{}), time.Now, time.Now)
			ctx, cancel := context.WithCancel(t.Context())
			c := &tellClient{readsGroups: readsGroups}
			done := make(chan error, 1)
			go func() { done <- s.tell(ctx, c) }()
			var want []origin.Stream
			for id := range uint64(10) {
				st := origin.Stream{ID: id + 1, Service: "s", Version: []string{"v1", "v2"}[id/5]}
				table.Begin(time.Now(), st)
				want = append(want, st)
				time.Sleep(tellInterval / 2)
			}
			time.Sleep(2 * tellInterval)
			cancel()
			must.ErrorIs(t, <-done, context.Canceled)
			var got []origin.Stream
			for i, a := range c.told {
				got = append(append(got, a.Streams...), origin.Streams(a.Groups)...)
				if !readsGroups {
					must.SliceEmpty(t, a.Groups)
				} else if i > 0 {
					must.SliceEmpty(t, a.Streams)
				}
			}
			must.Eq(t, want, got)
		})
	}
}
