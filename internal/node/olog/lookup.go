package olog

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
)

const (
	// lookups is the number of attempts to find the origin of a stream, and
	// lookupInterval the time between two: the holder is told of a stream that broke
	// off at another daemon within some 150 ms, also by 320 daemons.
	lookups        = 3
	lookupInterval = 250 * time.Millisecond
	// lookupTimeout bounds the search as a whole. The caller could be served
	// elsewhere if neither the holder nor the log responds to this daemon.
	lookupTimeout = 900 * time.Millisecond
	// readTimeout bounds the read of the log, which takes some 50 ms at the largest
	// deployment: the holder may answer meanwhile.
	readTimeout = 300 * time.Millisecond
)

// Lookup searches for the origin of the stream with an ID, 0 if the caller doesn't say
// which one it resumes, until known returns true. It asks the holder and, if that doesn't
// know the stream at the second question either, reads the log, which has what daemons out
// of contact have written: all streams of the last Retention. If the holder can't be asked,
// or this daemon doesn't know which versions there are, it reads at once. If the log can't be
// read, it goes on asking: a connection to the holder may have been lost a moment ago.
func (s *Store) Lookup(ctx context.Context, id uint64, known func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	read := false
	var failed error
	for i := range lookups {
		if i > 0 && !pause.For(ctx, lookupInterval) {
			break
		}
		asked := id != 0 && s.ask(ctx, id)
		if asked && known() {
			return nil
		}
		if failed != nil || asked && (read || i == 0 && !s.table.Outdated(s.boot())) {
			continue
		}
		if failed = s.refreshWithin(ctx, readTimeout); failed != nil {
			continue
		}
		if read = true; known() {
			return nil
		}
	}
	return failed
}

// refreshWithin is Refresh for a caller that has another way to go on.
func (s *Store) refreshWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.Refresh(ctx)
}

// ask asks the holder for the origin of a stream, and reports whether it answered.
func (s *Store) ask(ctx context.Context, id uint64) bool {
	stream, known, err := s.holder.Origin(ctx, id)
	if err != nil {
		event.OriginNotAsked.Log("cause", err.Error())
		return false
	}
	if known {
		s.table.Heard(s.now(), stream)
	}
	return true
}
