package lease

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/core/logpos"
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
		// ReleaseWait is how long a released lease is left to the machine that
		// released it, whose process may be restarting. It costs the next holder
		// nothing if it is shorter than Pause.
		ReleaseWait time.Duration
		// MaxStagger bounds the delay, derived from Self, by which candidates
		// stagger their attempts to acquire the lease.
		MaxStagger time.Duration
		// Handicap is added to the stagger of a candidate that is less fit to hold the
		// lease than others.
		Handicap time.Duration
		// FirstStart is set if no earlier daemon can have given orders.
		FirstStart bool
	}

	// Record is the content of the lease topic.
	Record struct {
		Holder, Address string
		// Released is set by a holder that releases the lease.
		Released bool
		// Era is that of the topic's end under whose condition the record was
		// written. A record of an older era than the log's may stand behind one
		// that the log has lost.
		Era int64
		// OrdersIn is the time from when the record was written until its holder
		// may send orders. A process that is restarted meanwhile has to wait for it
		// as well.
		OrdersIn time.Duration
	}

	// Lease is the lease as one daemon sees it. It is not safe for concurrent
	// use.
	Lease struct {
		settings Settings
		// era is the newest known era of the log, and returned is set once the log
		// has returned from a copy since the first read.
		era      int64
		returned bool
		// readAt is when the topic was last read, zero if it hasn't been.
		readAt time.Time
		// last is the newest record, end the position after it, and heardAt the
		// time of the first read or, if later, of the last new record, the last
		// new era or the last contact with the holder.
		last    *Record
		end     logpos.Position
		heardAt time.Time
		// start is the position of the record that began the holder's tenure,
		// whose fencing token it is.
		start logpos.Position
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

	// Write states that Record must be appended if the topic ends at At.
	Write struct {
		At     logpos.Position
		Record Record
	}

	// Outcome is the outcome of a Write.
	Outcome uint8
)

// Outcomes of a Write.
const (
	// Unknown: there was no answer, or one of another era than that of the
	// condition, which may have held by chance.
	Unknown Outcome = iota
	// Written: the record was appended.
	Written
	// Refused: the topic ended elsewhere.
	Refused
)

const (
	// maxReadAge is the age of a read up to which a candidate uses its result
	// for a conditional append.
	maxReadAge = 300 * time.Millisecond
	// searchInterval is the interval at which a daemon that knows no holder reads
	// the topic after the log has returned from a copy: the holder has to write its
	// record again.
	searchInterval = time.Second
	// releasePollInterval is the interval at which the topic is read while a
	// released lease is left to its former holder.
	releasePollInterval = 500 * time.Millisecond
)

func (Wait) action()  {}
func (Read) action()  {}
func (Write) action() {}

// New returns a Lease whose first action is to read the topic.
func New(set Settings) *Lease { return &Lease{settings: set} }

// NoticeEra records that the log has returned from a copy and is in a newer era.
// The holder may not send orders until it has written its record again. All others
// wait for its TTL: what they have read of older eras doesn't show who it is.
func (l *Lease) NoticeEra(now time.Time, era int64) {
	if era <= l.era {
		return
	}
	l.era, l.returned, l.heardAt, l.pendingSince = era, true, now, time.Time{}
	if l.valid(now) || l.last == nil || l.last.Released {
		l.stale = true
	}
}

// Observe records the result of a read: the newest record, nil if there is none,
// its position, and the end of the topic.
func (l *Lease) Observe(now time.Time, rec *Record, at, end logpos.Position) {
	if l.readAt.IsZero() {
		l.heardAt, l.era = now, max(l.era, end.Era())
	}
	l.NoticeEra(now, end.Era())
	if end.Era() < l.era {
		return // an answer from before the return
	}
	l.readAt, l.stale = now, false
	if end.Before(l.end) || end == l.end && l.last != nil {
		return
	}
	l.end = end
	if rec == nil {
		return
	}
	own := l.isOwn(rec)
	if rec.Era < l.era && l.valid(now) {
		return // this daemon's own record is newer, but lost
	}
	if own && !rec.Released && rec.Era == l.era && !l.pendingSince.IsZero() {
		// The append with the unknown outcome has succeeded.
		l.extend(l.pendingSince)
		l.pendingSince = time.Time{}
	}
	if !own || rec.Released {
		l.validUntil = time.Time{}
	}
	if l.beginsTenure(rec) {
		l.start = at
	}
	l.last = rec
	if l.confirmed() {
		l.heardAt = now
	}
}

// Next returns the action due at now.
func (l *Lease) Next(now time.Time) Action {
	if l.readAt.IsZero() || l.stale {
		return Read{}
	}
	if l.resigned {
		switch {
		case !l.isOwn(l.last) || l.last.Released || !l.confirmed() && !l.valid(now):
			return Wait{now.Add(l.settings.TTL)}
		case l.end.Era() != l.era:
			return Read{}
		}
		return l.write(now, true)
	}
	if at := l.nextWrite(now); now.Before(at) {
		search := at
		switch {
		case !l.confirmed() && l.era > 0 && (l.last == nil || l.last.Released):
			search = l.readAt.Add(searchInterval)
		case l.confirmed() && l.last != nil && l.last.Released:
			search = l.readAt.Add(releasePollInterval)
		}
		if !now.Before(search) {
			return Read{}
		}
		return Wait{earliest(at, search)}
	}
	if l.end.Era() != l.era || !(l.confirmed() && l.isOwn(l.last)) && now.Sub(l.readAt) > maxReadAge {
		return Read{}
	}
	return l.write(now, false)
}

// HolderSeen records contact with a daemon that still holds the lease, so this
// daemon doesn't have to read the topic.
func (l *Lease) HolderSeen(now time.Time) {
	if !l.isOwn(l.last) || !l.confirmed() {
		l.heardAt = now
	}
}

// ContactLost records that contact with the holder was lost. The topic is read
// again; TTL counts from the last contact or the newest record.
func (l *Lease) ContactLost() { l.stale = true }

func (l *Lease) write(now time.Time, release bool) Write {
	return Write{At: l.end, Record: Record{
		Holder: l.settings.Self, Address: l.settings.Address, Released: release, Era: l.era,
		OrdersIn: max(l.tenureOrdersFrom(now).Sub(now), 0),
	}}
}

// confirmed reports whether the newest record was written in the log's era. An empty
// topic counts as well if no record can be lost: the log has never returned from a
// copy, or not since the system's first start.
func (l *Lease) confirmed() bool {
	if l.last == nil {
		return l.era == 0 || l.settings.FirstStart && !l.returned
	}
	return l.last.Era == l.era
}

// valid reports whether this daemon's tenure lasts at now.
func (l *Lease) valid(now time.Time) bool { return now.Before(l.validUntil) }

// beginsTenure reports whether rec, which follows the last record, begins a
// tenure. A holder that writes its record again in a new era begins one, since the
// position of its former record may stand for another one.
func (l *Lease) beginsTenure(rec *Record) bool {
	last := l.last
	return last == nil || last.Holder != rec.Holder || last.Address != rec.Address || last.Released || last.Era != rec.Era
}

// nextWrite returns the time of this daemon's next attempt to acquire or renew
// the lease.
func (l *Lease) nextWrite(now time.Time) time.Time {
	stagger := l.settings.Handicap + time.Duration(hrw.Score("holder", l.settings.Self)%uint64(max(l.settings.MaxStagger, 1)))
	switch {
	case !l.confirmed() && l.valid(now):
		return now
	case !l.confirmed():
	case l.last == nil:
		return l.heardAt.Add(stagger)
	case l.isOwn(l.last) && !l.last.Released:
		if l.validUntil.IsZero() {
			return time.Time{}
		}
		return l.validUntil.Add(l.settings.Renew - l.settings.TTL)
	case l.isOwn(l.last):
		return l.heardAt
	case l.last.Released:
		return l.heardAt.Add(l.settings.ReleaseWait + stagger)
	}
	return l.heardAt.Add(l.settings.TTL + l.settings.Margin + stagger)
}

// WriteDone records the outcome of a Write that was sent at sent.
func (l *Lease) WriteDone(sent, now time.Time, w Write, o Outcome) {
	if o != Written || w.Record.Era < l.era {
		l.stale = true
		if o == Unknown && !w.Record.Released && w.Record.Era == l.era {
			l.pendingSince = sent
		}
		return
	}
	l.pendingSince = time.Time{}
	rec := w.Record
	if rec.Released {
		l.validUntil = time.Time{}
	} else {
		l.extend(sent)
		if l.beginsTenure(&rec) {
			l.start = w.At
		}
	}
	l.last, l.end, l.heardAt = &rec, w.At.Next(), now
}

// extend starts or extends the tenure after a record of this daemon, sent at
// sent, was appended.
func (l *Lease) extend(sent time.Time) {
	l.ordersFrom, l.validUntil = l.tenureOrdersFrom(sent), sent.Add(l.settings.TTL)
}

// tenureOrdersFrom returns when this daemon may send orders if a record that it
// sends at sent is appended. Orders of a new tenure begin after Pause, unless no
// earlier daemon can have sent any or this machine held the lease before.
func (l *Lease) tenureOrdersFrom(sent time.Time) time.Time {
	switch {
	case l.valid(sent):
		return l.ordersFrom
	case l.confirmed() && l.isOwn(l.last):
		return latest(l.ordersFrom, l.heardAt.Add(l.last.OrdersIn))
	case l.confirmed() && l.last == nil && l.settings.FirstStart:
		return l.ordersFrom
	case l.confirmed() && l.last == nil:
		return sent.Add(l.settings.Pause)
	case l.confirmed() && l.last.Released:
		return latest(l.ordersFrom, l.heardAt.Add(l.settings.Pause))
	}
	return latest(l.ordersFrom, l.heardAt.Add(l.settings.TTL+l.settings.Margin+l.settings.Pause))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Resign makes the daemon release the lease and not acquire it again.
func (l *Lease) Resign() { l.resigned = true }

// CanOrder reports whether this daemon may send orders at now, and its fencing
// token.
func (l *Lease) CanOrder(now time.Time) (fence int64, ok bool) {
	if l.validUntil.IsZero() || l.resigned || !l.confirmed() {
		return 0, false
	}
	return l.start.Fence(), !now.Before(l.ordersFrom) && l.valid(now)
}

// Holds reports whether this daemon holds the lease at now, even if it may not
// send orders yet.
func (l *Lease) Holds(now time.Time) bool {
	return !l.resigned && l.valid(now)
}

// OrdersIn returns the time from now until the tenure's first order may be sent.
func (l *Lease) OrdersIn(now time.Time) time.Duration { return max(l.ordersFrom.Sub(now), 0) }

// Holder returns the address of the last known holder, empty if there is none,
// and its fencing token.
func (l *Lease) Holder() (address string, fence int64) {
	if l.last == nil || l.last.Released {
		return "", 0
	}
	return l.last.Address, l.start.Fence()
}

// isOwn reports whether rec was written on this machine.
func (l *Lease) isOwn(rec *Record) bool {
	return rec != nil && rec.Holder == l.settings.Self && rec.Address == l.settings.Address
}
