package logpos

import (
	"cmp"
	"fmt"
	"strconv"
)

type (
	// Position is a position in a topic: the era in its upper bits, the offset in
	// the lower ones. The representation is that of a plain offset in era 0, so
	// that daemons that know only offsets understand positions of a log that has
	// never returned from a copy. It is below 2^53 and so exact as a number in
	// JSON, which makes it usable as a fencing token.
	Position int64

	// RangeError states that an era or an offset doesn't fit in a Position.
	RangeError struct{ Era, Offset int64 }
)

const (
	// offsetBits is the size of an offset: at 400 appends a second it lasts for
	// 87 years.
	offsetBits = 40
	// MaxEra is the largest era of a Position.
	MaxEra = 1<<(53-offsetBits) - 1
	// MaxOffset is the largest offset of a Position.
	MaxOffset = 1<<offsetBits - 1
)

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("log: era %d or offset %d is out of range", e.Era, e.Offset)
}

// New returns the position of an offset in an era, or a RangeError.
func New(era, offset int64) (Position, error) {
	if era < 0 || era > MaxEra || offset < 0 || offset > MaxOffset {
		return 0, &RangeError{era, offset}
	}
	return Position(era<<offsetBits | offset), nil
}

// Era returns the number of returns of the log before p.
func (p Position) Era() int64 { return int64(p >> offsetBits) }

// Offset returns the offset in the era.
func (p Position) Offset() int64 { return int64(p & MaxOffset) }

// Compare returns -1, 0 or +1 if p is before, equal to or after q.
func (p Position) Compare(q Position) int { return cmp.Compare(p, q) }

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p < q }

// SameEra reports whether the offsets of p and q are of one history.
func (p Position) SameEra(q Position) bool { return p.Era() == q.Era() }

// Next returns the position of the record after the one at p.
func (p Position) Next() Position { return p + 1 }

// Fence returns p as a fencing token. The token of a later position is greater.
func (p Position) Fence() int64 { return int64(p) }

// String returns ERA/OFFSET, and the offset alone in era 0.
func (p Position) String() string {
	if p.Era() == 0 {
		return strconv.FormatInt(p.Offset(), 10)
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
