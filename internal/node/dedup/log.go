package dedup

import (
	"context"
	"time"
)

type (
	// Log is the log service. Its methods are safe for concurrent use.
	Log interface {
		// Append adds records to a stream and returns the first offset and
		// the log time. A *NotAppendedError states that no record took
		// effect; after any other error, records may have taken effect or may
		// do so later.
		Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error)
		// Read returns at most limit records, starting at offset from. If
		// there is none, it waits up to wait. If the record at from was
		// dropped, the page starts at the oldest retained record.
		Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
	}

	// Page is the result of a Read.
	Page struct {
		// Oldest is the offset of the oldest retained record, or End if
		// there is none. End is the offset after the last record.
		Oldest, End uint64
		Records     []Entry
	}

	// Entry is one record of a stream.
	Entry struct {
		Offset uint64
		TimeMS int64
		Data   []byte
	}

	// NotAppendedError is the error of an append that had no effect.
	NotAppendedError struct{ Cause error }
)

// Error returns the cause's text after a prefix.
func (e *NotAppendedError) Error() string { return "dedup: not appended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.Cause }
