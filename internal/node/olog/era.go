package olog

import (
	"time"

	"github.com/azurespan/azurespan/internal/node/eras"
)

// NoticeEra records that the log has returned from an older copy. What this daemon
// has written may be gone: it takes no version for written that it hasn't read again,
// and writes the streams that it knows again.
func (s *Store) NoticeEra(_ time.Time, era int64) eras.Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := eras.Loss{Records: len(s.stored[s.host])}
	if s.lastKey != "" {
		l.Records++
	}
	clear(s.stored)
	clear(s.states)
	s.era = max(s.era, era)
	s.uncertain, s.returned, s.position, s.lastKey = true, true, 0, ""
	return l
}

// countRewritten counts a record that was written, if it was because the log has
// returned from an older copy. s.mu must be held.
func (s *Store) countRewritten() {
	if s.rewriting {
		s.eras.Rewritten(1)
	}
}
