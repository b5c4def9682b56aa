package dedup

import (
	"context"
	"time"
)

type (
	// Log is the log service. Both methods are safe for concurrent use.
	Log interface {
		// Append adds records to a stream and returns the first offset and
		// the log time. A *NotAppended error states that no record took
		// effect; after any other error they may have, or may later.
		Append(ctx context.Context, stream string, data ...[]byte) (first uint64, timeMS int64, err error)
		// Read returns at most limit records from offset from on. If there is
		// none it waits up to wait. If from was dropped, the page starts at
		// the oldest retained record.
		Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
	}

	// Page is the answer to a Read.
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

	// NotAppended is the error of an append that had no effect.
	NotAppendedError struct{ Cause error }
)

// Error returns the cause's text.
func (e *NotAppendedError) Error() string { return "keeper: not appended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.Cause }
