package lease

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/hrw"
)

type (
	// Settings of a Lease.
	Settings struct {
		// Self and Address identify this machine; Address is where other
		// daemons reach the holder.
		Self, Address string
		// TTL is how long a tenure lasts without renewal, Renew the interval
		// of renewals, Margin what a candidate waits beyond TTL.
		TTL, Renew, Margin time.Duration
		// Pause is the minimum time between the orders of two holders.
		Pause time.Duration
		// MaxStagger bounds the delay, derived from Self, by which candidates
		// stagger their attempts to acquire the lease.
		MaxStagger time.Duration
		// FirstStart is set if no earlier daemon can have given orders.
		FirstStart bool
	}

	// Record is the content of the lease topic.
	Record struct {
		Holder, Address string
		// Released is set by a holder that releases the lease.
		Released bool
	}

	// Lease is the lease as one daemon sees it. It is not safe for concurrent
	// use.
	Lease struct {
		settings Settings
		// readAt is when the topic was last read, zero if it hasn't been.
		readAt time.Time
		// last is the newest record, end the offset after it, and heardAt the
		// time of the first read or, if later, of the last new record or the
		// last contact with the holder.
		last    *Record
		end     int64
		heardAt time.Time
		// fence is the offset of the record that began the holder's tenure.
		fence int64
		// This daemon may send orders from ordersFrom until validUntil; the
		// latter is zero while it doesn't hold the lease.
		validUntil, ordersFrom time.Time
		// stale is set until the topic has been read again: after an append
		// that failed or whose outcome is unknown, and when contact with the
		// holder is lost.
		stale bool
		// pendingSince is when the append with an unknown outcome was sent,
		// zero if there is none.
		pendingSince time.Time
		resigned     bool
	}

	// Action is the next step of the daemon: Wait, Read or Write.
	Action interface{ action() }

	// Wait states that nothing is to be done before Until.
	Wait struct{ Until time.Time }

	// Read states that the topic must be read because its end is unknown.
	Read struct{}

	// Write states that Record must be appended if the topic ends at offset
	// At.
	Write struct {
		At     int64
		Record Record
	}
)

// maxReadAge is the age of a read up to which a candidate uses its result for a
// conditional append.
const maxReadAge = 300 * time.Millisecond

func (Wait) action()  {}
func (Read) action()  {}
func (Write) action() {}

// New returns a Lease whose first action is to read the topic.
func New(set Settings) *Lease { return &Lease{settings: set} }

// Observe records the result of a read: the newest record, nil if there is none,
// its offset, and the end of the topic.
func (l *Lease) Observe(now time.Time, rec *Record, offset, end int64) {
	if l.readAt.IsZero() {
		l.heardAt = now
	}
	l.readAt, l.stale = now, false
	if end < l.end || end == l.end && l.last != nil {
		return
	}
	l.end = end
	if rec == nil {
		return
	}
	own := l.isOwn(rec)
	if own && !rec.Released && !l.pendingSince.IsZero() {
		// The append with the unknown outcome has succeeded.
		l.extend(l.pendingSince)
		l.pendingSince = time.Time{}
	}
	if !own || rec.Released {
		l.validUntil = time.Time{}
	}
	if l.last == nil || l.last.Holder != rec.Holder || l.last.Address != rec.Address || l.last.Released {
		l.fence = offset
	}
	l.last, l.heardAt = rec, now
}

// Next returns the action due at now.
func (l *Lease) Next(now time.Time) Action {
	if l.readAt.IsZero() || l.stale {
		return Read{}
	}
	if l.resigned {
		if l.isOwn(l.last) && !l.last.Released {
			return l.write(true)
		}
		return Wait{now.Add(l.settings.TTL)}
	}
	if at := l.nextWrite(); now.Before(at) {
		return Wait{at}
	}
	if !l.isOwn(l.last) && now.Sub(l.readAt) > maxReadAge {
		return Read{}
	}
	return l.write(false)
}

// HolderSeen records contact with a daemon that still holds the lease, so this
// daemon doesn't have to read the topic.
func (l *Lease) HolderSeen(now time.Time) {
	if !l.isOwn(l.last) {
		l.heardAt = now
	}
}

// ContactLost records that contact with the holder was lost. The topic is read
// again; TTL counts from the last contact or the newest record.
func (l *Lease) ContactLost() { l.stale = true }

func (l *Lease) write(release bool) Write {
	return Write{At: l.end, Record: Record{Holder: l.settings.Self, Address: l.settings.Address, Released: release}}
}

// nextWrite returns the time of this daemon's next attempt to acquire or renew
// the lease.
func (l *Lease) nextWrite() time.Time {
	stagger := time.Duration(hrw.Score("holder", l.settings.Self) % uint64(max(l.settings.MaxStagger, 1)))
	switch {
	case l.last == nil:
		return l.heardAt.Add(stagger)
	case l.isOwn(l.last) && !l.last.Released:
		if l.validUntil.IsZero() {
			return time.Time{}
		}
		return l.validUntil.Add(l.settings.Renew - l.settings.TTL)
	case l.last.Released:
		return l.heardAt.Add(stagger)
	}
	return l.heardAt.Add(l.settings.TTL + l.settings.Margin + stagger)
}

// WriteDone records the outcome of a Write that was sent at sent: ok if the
// record was appended, unknown if there was no answer, neither if the topic
// ended at another offset.
func (l *Lease) WriteDone(sent, now time.Time, w Write, ok, unknown bool) {
	if unknown {
		l.stale = true
		if !w.Record.Released {
			l.pendingSince = sent
		}
		return
	}
	if !ok {
		l.stale = true
		return
	}
	l.pendingSince = time.Time{}
	rec := w.Record
	if rec.Released {
		l.validUntil = time.Time{}
	} else {
		l.extend(sent)
		if l.last == nil || !l.isOwn(l.last) || l.last.Released {
			l.fence = w.At
		}
	}
	l.last, l.end, l.heardAt = &rec, w.At+1, now
}

// extend starts or extends the tenure after a record of this daemon, sent at
// sent, was appended. Orders of a new tenure begin after Pause, unless no earlier
// daemon can have sent any or this machine held the lease before.
func (l *Lease) extend(sent time.Time) {
	switch {
	case l.last == nil && l.settings.FirstStart, l.isOwn(l.last) && !l.last.Released:
	case l.last == nil:
		l.ordersFrom = sent.Add(l.settings.Pause)
	case l.last.Released:
		l.ordersFrom = latest(l.ordersFrom, l.heardAt.Add(l.settings.Pause))
	default:
		l.ordersFrom = latest(l.ordersFrom, l.heardAt.Add(l.settings.TTL+l.settings.Margin+l.settings.Pause))
	}
	l.validUntil = sent.Add(l.settings.TTL)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Resign makes the daemon release the lease and not acquire it again.
func (l *Lease) Resign() { l.resigned = true }

// CanOrder reports whether this daemon may send orders at now, and its fencing
// token.
func (l *Lease) CanOrder(now time.Time) (fence int64, ok bool) {
	if l.validUntil.IsZero() || l.resigned {
		return 0, false
	}
	return l.fence, !now.Before(l.ordersFrom) && now.Before(l.validUntil)
}

// Holds reports whether this daemon holds the lease at now, even if it may not
// send orders yet.
func (l *Lease) Holds(now time.Time) bool {
	return !l.validUntil.IsZero() && !l.resigned && now.Before(l.validUntil)
}

// OrdersIn returns the time from now until the tenure's first order may be sent.
func (l *Lease) OrdersIn(now time.Time) time.Duration { return max(l.ordersFrom.Sub(now), 0) }

// Holder returns the address of the last known holder, empty if there is none,
// and its fencing token.
func (l *Lease) Holder() (address string, fence int64) {
	if l.last == nil || l.last.Released {
		return "", 0
	}
	return l.last.Address, l.fence
}

// isOwn reports whether rec was written on this machine.
func (l *Lease) isOwn(rec *Record) bool {
	return rec != nil && rec.Holder == l.settings.Self && rec.Address == l.settings.Address
}
