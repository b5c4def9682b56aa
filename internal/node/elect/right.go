// Package elect keeps this daemon's view of who may order loads: it runs the
// state machine of core/lease against the log.
package elect

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/lease"
	"github.com/azurespan/azurespan/internal/node/feed"
)

type (
	// Topic is the part of the log that holds the right.
	Topic interface {
		Newest(ctx context.Context) (*feed.Page, error)
		// Append writes a record if the topic ends at an offset. ok is false
		// if it ends elsewhere.
		Append(ctx context.Context, at int64, key string, value []byte) (ok bool, err error)
	}

	// Learned is what a holder has learned and the next one should know, also
	// if all daemons have been lost at once.
	StoreEstimate interface {
		StoreAtOnce() float64
		SetStoreAtOnce(storeAtOnce float64)
	}

	// Right is safe for concurrent use.
	Elector struct {
		topic   Topic
		learned StoreEstimate
		// now is a clock that counts the time in which the machine is
		// suspended.
		now func() time.Time

		mu    sync.Mutex
		lease *lease.Lease
		// held and known are what was logged last.
		held  bool
		known string
		wake  chan struct{}
	}

	// record is the content of the topic.
	record struct {
		Host     string `json:"host"`
		Address  string `json:"address"`
		Released bool   `json:"released,omitempty"`
		// StoreAtOnce is the number of loads from the weight store at once
		// that the holder has learned.
		StoreAtOnce float64 `json:"store-at-once,omitempty"`
	}
)

const (
	// recordKey is the key of the newest record.
	recordKey = "holder"
	// longestWait bounds the time between two looks at the state.
	longestWait = 200 * time.Millisecond
	// retryWait follows a failed call, with jitter.
	retryWait = 300 * time.Millisecond
)

// New returns a Right that has read nothing.
func New(set lease.Settings, topic Topic, learned StoreEstimate, now func() time.Time) *Elector {
	return &Elector{topic: topic, learned: learned, now: now, lease: lease.New(set), wake: make(chan struct{}, 1)}
}

// May reports whether an order may be sent now, and the fence.
func (r *Elector) CanOrder() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.CanOrder(r.now())
}

// Holds reports whether this daemon has the right, even if its first order
// must wait.
func (r *Elector) Holds() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, fence := r.lease.Holder()
	return fence, r.lease.Holds(r.now())
}

// Holder returns the address of the holder, empty if it isn't known.
func (r *Elector) Holder() (address string, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Holder()
}

// Touch records that the holder was in contact.
func (r *Elector) HolderSeen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.HolderSeen(r.now())
}

// Lost records that contact with the holder was lost.
func (r *Elector) ContactLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.ContactLost()
	r.nudge()
}

// Leave gives the right back.
func (r *Elector) Resign() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.Resign()
	r.nudge()
}

// nudge ends a wait of Run; r.mu is held.
func (r *Elector) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run takes and renews the right until ctx ends.
func (r *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		now := r.now()
		act := r.lease.Next(now)
		r.report(now)
		r.mu.Unlock()
		switch a := act.(type) {
		case lease.Wait:
			t := time.NewTimer(min(a.Until.Sub(now), longestWait))
			select {
			case <-t.C:
			case <-r.wake:
			case <-ctx.Done():
			}
			t.Stop()
		case lease.Read:
			r.read(ctx)
		case lease.Write:
			r.write(ctx, a)
		}
	}
	return ctx.Err()
}

// report logs what has changed; r.mu is held.
func (r *Elector) report(now time.Time) {
	address, fence := r.lease.Holder()
	if address != r.known {
		r.known = address
		event.HolderChanged.Log("address", address, "fence", fence)
	}
	if held := r.lease.Holds(now); held != r.held {
		r.held = held
		if held {
			event.HolderAcquired.Log("fence", fence, "orders-in", r.lease.OrdersIn(now))
		} else {
			event.HolderLost.Log("fence", fence)
		}
	}
}

func (r *Elector) read(ctx context.Context) {
	p, err := r.topic.Newest(ctx)
	if err != nil {
		pause.For(ctx, jitter(retryWait))
		return
	}
	var rec *lease.Record
	offset := p.Next
	for _, x := range p.Records {
		if x.Key != recordKey {
			continue
		}
		var w record
		if err := json.Unmarshal(x.Value, &w); err != nil {
			event.RegisterEntryIgnored.Log("topic", "holder", "cause", err.Error())
			continue
		}
		r.learned.SetStoreAtOnce(w.StoreAtOnce)
		rec, offset = &lease.Record{Holder: w.Host, Address: w.Address, Released: w.Released}, x.Offset
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.Observe(r.now(), rec, offset, p.Next)
}

func (r *Elector) write(ctx context.Context, a lease.Write) {
	value, err := json.Marshal(record{Host: a.Record.Holder, Address: a.Record.Address, Released: a.Record.Released, StoreAtOnce: r.learned.StoreAtOnce()})
	if err != nil {
		event.HolderWriteFailed.Log("cause", err.Error())
		return
	}
	sent := r.now()
	ok, err := r.topic.Append(ctx, a.At, recordKey, value)
	r.mu.Lock()
	r.lease.WriteDone(sent, r.now(), a, ok, err != nil)
	r.mu.Unlock()
	if err != nil {
		event.HolderWriteFailed.Log("at", a.At, "cause", err.Error())
		pause.For(ctx, jitter(retryWait))
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
