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
		// Pause lies between the orders of two holders.
		Pause time.Duration
		// Spread bounds a delay by which candidates differ.
		MaxStagger time.Duration
		// FirstStart is set if no earlier daemon can have given orders.
		FirstStart bool
	}

	// Record is the content of the topic.
	Record struct {
		Holder, Address string
		// Released is set by a holder that gives the right back.
		Released bool
	}

	// Lease is the state of one daemon. The caller serialises all calls.
	Lease struct {
		set Settings
		// readAt is when the topic was last read, zero if it hasn't been.
		readAt time.Time
		// last is the newest record, end the offset after it, heard when it
		// was read.
		last  *Record
		end   int64
		heard time.Time
		// fence is the offset at which the present holder's tenure began.
		fence int64
		// until and from bound the time in which this daemon may order.
		until, from time.Time
		// unsure is set until the topic has been read again: after an append
		// whose outcome is unknown, and when contact with the holder is lost.
		unsure  bool
		pending time.Time
		leaving bool
	}

	// Action is what the daemon has to do: Wait, Read or Write.
	Action interface{ action() }

	// Wait does nothing until a time.
	Wait struct{ Until time.Time }

	// Read reads the topic, because its end isn't known.
	Read struct{}

	// Write appends Record if the topic ends at At.
	Write struct {
		At     int64
		Record Record
	}
)

// freshRead is the age up to which the end of the topic is used for an append.
const freshRead = 300 * time.Millisecond

func (Wait) action()  {}
func (Read) action()  {}
func (Write) action() {}

// New returns a Lease that has read nothing.
func New(set Settings) *Lease { return &Lease{set: set} }

// Observe takes over what the topic holds: the newest record, nil if there is
// none, its offset, and the end of the topic.
func (l *Lease) Observe(now time.Time, rec *Record, offset, end int64) {
	if l.readAt.IsZero() {
		l.heard = now
	}
	l.readAt, l.unsure = now, false
	if end < l.end || end == l.end && l.last != nil {
		return
	}
	l.end = end
	if rec == nil {
		return
	}
	mine := l.own(rec)
	if mine && !rec.Released && !l.pending.IsZero() {
		// The append whose answer was lost has taken effect.
		l.granted(l.pending)
		l.pending = time.Time{}
	}
	if !mine || rec.Released {
		l.until = time.Time{}
	}
	if l.last == nil || l.last.Holder != rec.Holder || l.last.Address != rec.Address || l.last.Released {
		l.fence = offset
	}
	l.last, l.heard = rec, now
}

// Next returns what to do at now.
func (l *Lease) Next(now time.Time) Action {
	if l.readAt.IsZero() || l.unsure {
		return Read{}
	}
	if l.leaving {
		if l.own(l.last) && !l.last.Released {
			return l.write(true)
		}
		return Wait{now.Add(l.set.TTL)}
	}
	if at := l.due(); now.Before(at) {
		return Wait{at}
	}
	if !l.own(l.last) && now.Sub(l.readAt) > freshRead {
		return Read{}
	}
	return l.write(false)
}

// Touch records that the holder was in contact and still holds the right, so
// that this daemon needn't read the topic.
func (l *Lease) HolderSeen(now time.Time) {
	if !l.own(l.last) {
		l.heard = now
	}
}

// Lost records that contact with the holder was lost. The topic is read again,
// and TTL counts from there.
func (l *Lease) ContactLost() { l.unsure = true }

func (l *Lease) write(release bool) Write {
	return Write{At: l.end, Record: Record{Holder: l.set.Self, Address: l.set.Address, Released: release}}
}

// due returns when this daemon may write next.
func (l *Lease) due() time.Time {
	spread := time.Duration(hrw.Score("holder", l.set.Self) % uint64(max(l.set.MaxStagger, 1)))
	switch {
	case l.last == nil:
		return l.heard.Add(spread)
	case l.own(l.last) && !l.last.Released:
		if l.until.IsZero() {
			return time.Time{}
		}
		return l.until.Add(l.set.Renew - l.set.TTL)
	case l.last.Released:
		return l.heard.Add(spread)
	}
	return l.heard.Add(l.set.TTL + l.set.Margin + spread)
}

// Wrote takes over the outcome of a Write that was sent at sent: ok, or the
// condition did not hold, or unknown.
func (l *Lease) WriteDone(sent, now time.Time, w Write, ok, unknown bool) {
	if unknown {
		l.unsure = true
		if !w.Record.Released {
			l.pending = sent
		}
		return
	}
	if !ok {
		l.unsure = true
		return
	}
	l.pending = time.Time{}
	rec := w.Record
	if rec.Released {
		l.until = time.Time{}
	} else {
		l.granted(sent)
		if l.last == nil || !l.own(l.last) || l.last.Released {
			l.fence = w.At
		}
	}
	l.last, l.end, l.heard = &rec, w.At+1, now
}

// granted extends the tenure after a record of this daemon, sent at sent, was
// accepted. A new tenure orders only after Pause.
func (l *Lease) granted(sent time.Time) {
	switch {
	case l.last == nil && l.set.FirstStart, l.own(l.last) && !l.last.Released:
	case l.last == nil:
		l.from = sent.Add(l.set.Pause)
	case l.last.Released:
		l.from = later(l.from, l.heard.Add(l.set.Pause))
	default:
		l.from = later(l.from, l.heard.Add(l.set.TTL+l.set.Margin+l.set.Pause))
	}
	l.until = sent.Add(l.set.TTL)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Leave makes the daemon give the right back and take it no more.
func (l *Lease) Resign() { l.leaving = true }

// May reports whether this daemon may order at now, and its fence.
func (l *Lease) CanOrder(now time.Time) (fence int64, ok bool) {
	if l.until.IsZero() || l.leaving {
		return 0, false
	}
	return l.fence, !now.Before(l.from) && now.Before(l.until)
}

// Holds reports whether this daemon has the right at now, even if it may not
// order yet.
func (l *Lease) Holds(now time.Time) bool {
	return !l.until.IsZero() && !l.leaving && now.Before(l.until)
}

// OrdersIn returns the time until the first order of the tenure may be sent.
func (l *Lease) OrdersIn(now time.Time) time.Duration { return max(l.from.Sub(now), 0) }

// Holder returns the address of the holder as far as known, empty if there is
// none, and its fence.
func (l *Lease) Holder() (address string, fence int64) {
	if l.last == nil || l.last.Released {
		return "", 0
	}
	return l.last.Address, l.fence
}

// own reports whether rec was written on this machine.
func (l *Lease) own(rec *Record) bool {
	return rec != nil && rec.Holder == l.set.Self && rec.Address == l.set.Address
}
