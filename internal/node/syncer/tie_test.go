package syncer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// side is this daemon without a holder of its own; it counts what the tie does.
type side struct {
	address atomic.Value
	lost    atomic.Int64
	heard   atomic.Int64
	taken   atomic.Int64
}

func (s *side) Holder() (string, int64)      { return s.address.Load().(string), 1 }
func (s *side) Holds() (int64, bool)         { return 0, false }
func (s *side) HolderSeen()                  {}
func (s *side) ContactLost()                 { s.lost.Add(1) }
func (s *side) KnownOffsets() (int64, int64) { return 7, 3 }

func (s *side) Apply(time.Time, *hub.WatchReply) { s.taken.Add(1) }

func (s *side) TakeDemand(time.Time) (fleet.Demand, []poison.Entry, []string) {
	return fleet.Demand{}, nil, nil
}
func (s *side) HasWaiting() bool                           { return false }
func (s *side) ApplyWatchReply(time.Time, *hub.WatchReply) { s.heard.Add(1) }

func run(t *testing.T, s *side) {
	tie := New("d", s, s, s, nil, func(float64) {}, nil, make(chan struct{}), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tie.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestBusyHolderIsNotCalledAllTheTime answers a holder that refuses contacts:
// they become rarer, so that hundreds of daemons don't keep it busy with them.
func TestBusyHolderIsNotCalledAllTheTime(t *testing.T) {
	s := &side{}
	s.address.Store("127.0.0.1:1") // nobody listens there
	run(t, s)
	time.Sleep(3 * time.Second)
	// At 100 ms there would be 30.
	must.Between(t, 1, s.lost.Load(), 12)
}

// TestAnotherHolderIsContactedAtOnce guards against a daemon that waits to call
// the former holder again although there is another one.
func TestAnotherHolderIsContactedAtOnce(t *testing.T) {
	s := &side{}
	s.address.Store("127.0.0.1:1")
	run(t, s)
	time.Sleep(2 * time.Second)
	for i, port := range []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"} {
		before := s.lost.Load()
		s.address.Store(port)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.lost.Load() > before }),
			wait.Timeout(time.Second), wait.Gap(5*time.Millisecond)), must.Sprint(i))
	}
}
