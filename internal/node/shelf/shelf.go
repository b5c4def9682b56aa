package shelf

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
)

type (
	// Shelf keeps the complete state of one daemon. It is safe for concurrent use.
	Shelf struct {
		address   string
		now, boot func() time.Time

		mu       sync.Mutex
		fence    int64
		rev      uint64
		copies   hub.Packed[[]fleet.Inventory]
		copiesAt time.Time
		register hub.Packed[*roster.Update]
		// registerAt and registerBoot are when the register was asked for, on both
		// clocks, and registerAge the age beyond its own that it had then.
		registerAt, registerBoot time.Time
		registerAge              time.Duration
	}
)

// keepTime is how long the state is passed on. The receiver gets what has changed since
// from the holder.
const keepTime = 15 * time.Second

var _ hub.Passer = (*Shelf)(nil)

// New returns an empty Shelf of the daemon whose calls are answered at an address. boot is
// a clock that counts suspensions of the machine.
func New(address string, now, boot func() time.Time) *Shelf {
	return &Shelf{address: address, now: now, boot: boot}
}

// Address returns the address of the daemon's calls.
func (s *Shelf) Address() string { return s.address }

// Keep keeps what a reply of the holder, or one that was merged with another daemon's
// state, has of the complete state. It was asked for at the given times.
func (s *Shelf) Keep(asked, askedBoot time.Time, r *hub.WatchReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.AllCopies != nil {
		s.fence, s.rev, s.copies, s.copiesAt = r.Fence, r.Rev, r.AllCopies, asked
	}
	if r.WholeRegister != nil {
		s.register, s.registerAt, s.registerBoot, s.registerAge = r.WholeRegister, asked, askedBoot, r.WholeAge
	}
	s.expire()
}

// Keeps reports whether the contents of engines as of a tenure are passed on.
func (s *Shelf) Keeps(fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.copies != nil && s.fence == fence
}

// expire forgets what is too old. The caller holds s.mu.
func (s *Shelf) expire() {
	now := s.now()
	if now.Sub(s.copiesAt) > keepTime {
		s.copies = nil
	}
	if now.Sub(s.registerAt) > keepTime {
		s.register = nil
	}
}

// Bulk implements hub.Passer.
func (s *Shelf) Bulk(a *hub.BulkArgs) (*hub.BulkReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	r := &hub.BulkReply{Fence: s.fence, Rev: s.rev, Copies: s.copies}
	if a.Register && s.register != nil {
		r.Register = s.register
		r.RegisterAge = s.registerAge + max(s.now().Sub(s.registerAt), s.boot().Sub(s.registerBoot))
	}
	if r.Copies == nil && r.Register == nil {
		return nil, &hub.NoStateError{}
	}
	return r, nil
}
