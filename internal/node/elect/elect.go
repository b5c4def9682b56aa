// Package elect elects the daemon that may order loads, the holder: it runs the
// state machine of core/lease against the log.
package elect

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/lease"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/node/eras"
	"github.com/azurespan/azurespan/internal/node/feed"
)

type (
	// Topic is the topic of the log in which the lease is stored.
	Topic interface {
		// Newest returns the newest record of each key.
		Newest(ctx context.Context) (*feed.Page, error)
		// Append writes a record if the topic ends at the offset of at, in
		// whichever era. ok is false if it ends at another offset. end is the
		// topic's end after the call, in the era that the answer names.
		Append(ctx context.Context, at logpos.Position, key string, value []byte) (end logpos.Position, ok bool, err error)
	}

	// StoreEstimate is the holder's estimate of the weight store's capacity, and
	// which shares of allowances daemons hold. It is stored with the lease, so that the next holder has it even if all
	// daemons failed at once.
	StoreEstimate interface {
		// StoreAtOnce returns the estimated number of loads that the weight
		// store serves at a time, 0 for none.
		StoreAtOnce() float64
		SetStoreAtOnce(storeAtOnce float64)
		// Shares returns the largest share of allowances that each daemon may
		// hold, nil if that is unknown, for the record that is written next.
		// SetShares passes on those of the newest record, and SharesRecorded
		// those of one that this daemon has written.
		Shares() map[string]float64
		SetShares(shares map[string]float64)
		SharesRecorded(shares map[string]float64)
	}

	// Elector acquires and renews the lease for one daemon. It is safe for
	// concurrent use.
	Elector struct {
		topic    Topic
		estimate StoreEstimate
		eras     *eras.Tracker
		// now is a clock that counts the time in which the machine is
		// suspended.
		now func() time.Time

		mu    sync.Mutex
		lease *lease.Lease
		// writtenEra is the era of this daemon's last record.
		writtenEra int64
		// loggedHeld and loggedHolder are the state that was last logged.
		loggedHeld   bool
		loggedHolder string
		// wake ends a wait of Run, and eraNoticed the one after a failed call.
		wake, eraNoticed chan struct{}
		// released is closed when the log has this daemon's release.
		released    chan struct{}
		releaseOnce sync.Once
	}

	// record is the stored form of the newest record.
	record struct {
		Host     string `json:"host"`
		Address  string `json:"address"`
		Released bool   `json:"released,omitempty"`
		// Era is that of the condition under which the record was written, and
		// OrdersInMS the time from then until the holder's first order.
		Era        int64 `json:"era,omitempty"`
		OrdersInMS int64 `json:"orders-in-ms,omitempty"`
		// StoreAtOnce is the holder's StoreEstimate.
		StoreAtOnce float64 `json:"store-at-once,omitempty"`
		// Shares are the largest shares that daemons may hold, unknown if there
		// are none.
		Shares map[string]float64 `json:"shares,omitempty"`
	}
)

const (
	// recordKey is the key of the lease's records.
	recordKey = "holder"
	// maxWait bounds the time between two checks of the lease's state.
	maxWait = 200 * time.Millisecond
	// retryDelay is the mean delay after a failed call, before jitter.
	retryDelay = 300 * time.Millisecond
	// topicName is the topic's name in logs.
	topicName = "holder"
)

// New returns an Elector that Run starts. Its daemon's log is followed by tracker.
func New(settings lease.Settings, topic Topic, estimate StoreEstimate, tracker *eras.Tracker, now func() time.Time) *Elector {
	return &Elector{
		topic: topic, estimate: estimate, eras: tracker, now: now, lease: lease.New(settings),
		wake: make(chan struct{}, 1), eraNoticed: make(chan struct{}, 1), released: make(chan struct{}),
	}
}

// NoticeEra records that the log is in a newer era, whichever answer said so. From
// then on the holder sends no orders until it has written its record again.
func (e *Elector) NoticeEra(_ time.Time, era int64) eras.Loss {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.lease.NoticeEra(now, era)
	e.wakeRun()
	select {
	case e.eraNoticed <- struct{}{}:
	default:
	}
	loss := eras.Loss{Positions: 1}
	if e.lease.Holds(now) {
		loss.Records = 1
	}
	return loss
}

// CanOrder reports whether an order may be sent now, and the fencing token.
func (e *Elector) CanOrder() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.CanOrder(e.now())
}

// Holds reports whether this daemon holds the lease, even if it may not send
// orders yet, and the fencing token.
func (e *Elector) Holds() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, fence := e.lease.Holder()
	return fence, e.lease.Holds(e.now())
}

// Holder returns the address of the holder, empty if it is unknown, and its
// fencing token.
func (e *Elector) Holder() (address string, fence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Holder()
}

// HolderSeen records contact with the holder.
func (e *Elector) HolderSeen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.HolderSeen(e.now())
}

// ContactLost records that contact with the holder was lost.
func (e *Elector) ContactLost() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.ContactLost()
	e.wakeRun()
}

// Release releases the lease and stops this daemon from acquiring it again. It
// returns once the log has the record or ctx ends, at once if this daemon isn't the
// holder.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	held := e.lease.Holds(e.now())
	e.lease.Resign()
	e.wakeRun()
	e.mu.Unlock()
	if !held {
		return
	}
	select {
	case <-e.released:
	case <-ctx.Done():
		event.HolderWriteFailed.Log("cause", "the lease is not released: "+ctx.Err().Error())
	}
}

// wakeRun ends a wait of Run. The caller holds e.mu.
func (e *Elector) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run acquires and renews the lease until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.mu.Lock()
		now := e.now()
		act := e.lease.Next(now)
		e.logChanges(now)
		e.mu.Unlock()
		switch a := act.(type) {
		case lease.Wait:
			t := time.NewTimer(min(a.Until.Sub(now), maxWait))
			select {
			case <-t.C:
			case <-e.wake:
			case <-ctx.Done():
			}
			t.Stop()
		case lease.Read:
			e.read(ctx)
		case lease.Write:
			e.write(ctx, a)
		}
	}
	return ctx.Err()
}

// logChanges logs changes of the holder since the last call. The caller holds
// e.mu.
func (e *Elector) logChanges(now time.Time) {
	address, fence := e.lease.Holder()
	if address != e.loggedHolder {
		e.loggedHolder = address
		event.HolderChanged.Log("address", address, "fence", fence)
	}
	if held := e.lease.Holds(now); held != e.loggedHeld {
		e.loggedHeld = held
		if held {
			event.HolderAcquired.Log("fence", fence, "orders-in", e.lease.OrdersIn(now))
		} else {
			event.HolderLost.Log("fence", fence)
		}
	}
}

func (e *Elector) read(ctx context.Context) {
	p, err := e.topic.Newest(ctx)
	var end logpos.Position
	if p != nil {
		end = p.Next
	}
	if err = e.eras.Observe(topicName, end, err); err != nil {
		e.backOff(ctx)
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
		e.estimate.SetStoreAtOnce(w.StoreAtOnce)
		if w.Era < end.Era() {
			// A newer record may be lost.
			w.Shares = nil
		}
		e.estimate.SetShares(w.Shares)
		rec, offset = &lease.Record{
			Holder: w.Host, Address: w.Address, Released: w.Released, Era: w.Era, OrdersIn: time.Duration(w.OrdersInMS) * time.Millisecond,
		}, x.Offset
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Observe(e.now(), rec, offset, p.Next)
}

func (e *Elector) write(ctx context.Context, a lease.Write) {
	shares := e.estimate.Shares()
	value, err := json.Marshal(record{
		Host: a.Record.Holder, Address: a.Record.Address, Released: a.Record.Released, StoreAtOnce: e.estimate.StoreAtOnce(), Shares: shares,
		Era: a.Record.Era, OrdersInMS: (a.Record.OrdersIn + time.Millisecond - 1).Milliseconds(),
	})
	if err != nil {
		event.HolderWriteFailed.Log("cause", err.Error())
		return
	}
	sent := e.now()
	end, ok, err := e.topic.Append(ctx, a.At, recordKey, value)
	err = e.eras.Observe(topicName, end, err)
	outcome := lease.Refused
	switch {
	case err != nil || ok && !end.SameEra(a.At):
		// The condition may have held by chance.
		outcome = lease.Unknown
	case ok:
		outcome = lease.Written
	}
	e.mu.Lock()
	e.lease.NoticeEra(e.now(), end.Era())
	e.lease.WriteDone(sent, e.now(), a, outcome)
	again := outcome == lease.Written && a.Record.Era > e.writtenEra
	if outcome == lease.Written {
		e.writtenEra = a.Record.Era
	}
	e.mu.Unlock()
	if outcome == lease.Written {
		e.estimate.SharesRecorded(shares)
		if a.Record.Released {
			e.releaseOnce.Do(func() { close(e.released) })
		}
	}
	if again {
		e.eras.Rewritten(1)
	}
	if err != nil {
		event.HolderWriteFailed.Log("at", a.At, "cause", err.Error())
		e.backOff(ctx)
	}
}

// backOff waits after a failed call, or until a new era of the log shows that it
// answers again: the holder sends no orders until it has written its record.
func (e *Elector) backOff(ctx context.Context) {
	t := time.NewTimer(jitter(retryDelay))
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.eraNoticed:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
