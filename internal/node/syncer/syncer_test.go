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

// fakeDaemon is a daemon that isn't the holder; it counts calls of the Syncer.
type fakeDaemon struct {
	address atomic.Value
	lost    atomic.Int64
	heard   atomic.Int64
	taken   atomic.Int64
}

func (s *fakeDaemon) Holder() (string, int64)      { return s.address.Load().(string), 1 }
func (s *fakeDaemon) Holds() (int64, bool)         { return 0, false }
func (s *fakeDaemon) HolderSeen()                  {}
func (s *fakeDaemon) ContactLost()                 { s.lost.Add(1) }
func (s *fakeDaemon) KnownOffsets() (int64, int64) { return 7, 3 }

func (s *fakeDaemon) Apply(time.Time, *hub.WatchReply) { s.taken.Add(1) }

func (s *fakeDaemon) TakeDemand(time.Time) (fleet.Demand, []poison.Entry, []string) {
	return fleet.Demand{}, nil, nil
}
func (s *fakeDaemon) HasWaiting() bool                           { return false }
func (s *fakeDaemon) ApplyWatchReply(time.Time, *hub.WatchReply) { s.heard.Add(1) }

func run(t *testing.T, s *fakeDaemon) {
	syncer := New("d", s, s, s, nil, func(float64) {}, nil, make(chan struct{}), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = syncer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestBackoffToUnreachableHolder guards against hundreds of daemons that keep a
// holder busy by connecting to it at a constant rate while it refuses.
func TestBackoffToUnreachableHolder(t *testing.T) {
	s := &fakeDaemon{}
	s.address.Store("127.0.0.1:1") // no listener
	run(t, s)
	time.Sleep(3 * time.Second)
	// Without back-off there would be 30, one every 100 ms.
	must.Between(t, 1, s.lost.Load(), 12)
}

// TestAnotherHolderIsContactedAtOnce guards against a daemon that stays in
// back-off for the previous holder although there is another one.
func TestAnotherHolderIsContactedAtOnce(t *testing.T) {
	s := &fakeDaemon{}
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
