package qlog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/eras"
	"github.com/azurespan/azurespan/internal/node/feed"
	"github.com/azurespan/azurespan/internal/node/merger"
)

type (
	// Topic is the keyed topic of the log that holds crash histories.
	Topic interface {
		feed.Source
		// Put writes a record, whatever the topic's end is. An empty value
		// deletes the key.
		Put(ctx context.Context, key string, value []byte) error
	}

	// Holder is what a Store needs to know of the holder, the daemon that all
	// others are in contact with.
	Holder interface {
		// Holds reports whether this daemon is the holder.
		Holds() bool
		// LastReply returns the time of the holder's last reply to this daemon.
		LastReply() time.Time
	}

	// Judge decides what is quarantined.
	Judge interface {
		// QuarantinedKeys returns the keys of the histories of what is quarantined.
		QuarantinedKeys(now time.Time) []string
	}

	// Store keeps a table of crash histories and the topic up to date with each
	// other. It is safe for concurrent use.
	Store struct {
		// host is the key of this daemon's record.
		host    string
		topic   Topic
		crashes *poison.Table
		merger  *merger.Merger
		judge   Judge
		holder  Holder
		eras    *eras.Tracker
		spread  func() time.Duration
		now     func() time.Time

		mu sync.Mutex
		// readAt is when the topic was last read, zero if it hasn't been.
		readAt time.Time
		// stored holds the histories of each record of the topic by host, as
		// far as it is known.
		stored map[string][]poison.Entry
		// reviewDue is set once the holder has read the topic and hasn't
		// compared it with the table yet.
		reviewDue bool
		// era is that of the last read, and returned is set from a read in a new
		// era until the table has been compared with the topic.
		era      int64
		returned bool
		// writtenRev is the revision of the table, and writtenInContact whether
		// there was contact with the holder, when the record was last up to
		// date.
		writtenRev       uint64
		writtenInContact bool
	}
)

const (
	// holderReadInterval is the interval at which the holder compares the topic
	// with the table.
	holderReadInterval = 5 * time.Second
	// contactTTL is the age of the holder's last reply from which a daemon
	// reads the topic itself, and soloReadInterval the interval of these reads.
	// In contact, a reply comes at least each 0.94 s at 320 daemons. The sum of
	// both is below the 3 s after which the platform counts further sends of a
	// crashing request.
	contactTTL       = 1500 * time.Millisecond
	soloReadInterval = 500 * time.Millisecond
	// checkInterval is the interval at which the table is checked for changes.
	// It bounds a daemon's writes to 5 a second.
	checkInterval = 200 * time.Millisecond
	// minRetryDelay is the delay after a failed write. It doubles with each
	// further failure up to maxRetryDelay, since refused calls cost as well.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxRetryShift bounds the doublings of minRetryDelay.
	maxRetryShift = 5
	// maxHistories bounds the histories of one record, which has at most 256 KB
	// on the platform; one takes some 200 bytes.
	maxHistories = 500
)

var _ feed.Sink = (*Store)(nil)

// New returns the Store of the daemon named host, whose log is followed by tracker.
// It reads the topic in RunFeed, anew after the delay spread if the log has returned
// from an older copy, and writes it in Run.
func New(host string, topic Topic, crashes *poison.Table, judge Judge, holder Holder, tracker *eras.Tracker, spread func() time.Duration, now func() time.Time) *Store {
	return &Store{host: host, topic: topic, crashes: crashes, merger: merger.New(crashes), judge: judge, holder: holder, eras: tracker, spread: spread, now: now, stored: map[string][]poison.Entry{}}
}

// RunFeed reads the topic until ctx ends.
func (s *Store) RunFeed(ctx context.Context) error {
	return feed.New(feed.Settings{Name: "quarantine", Delay: s.readDelay, Eras: s.eras, Spread: s.spread}, s.topic, s, s.now).Run(ctx)
}

// Run writes the topic until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	failures := 0
	for pause.For(ctx, checkInterval) {
		err := s.writeDue(ctx)
		if err == nil {
			failures = 0
			continue
		}
		event.QuarantineStored.Log("cause", err.Error())
		delay := retryDelay(failures)
		failures++
		pause.For(ctx, delay/2+rand.N(delay/2))
	}
	return ctx.Err()
}

// retryDelay returns the delay after a failed write that follows a number of failed
// ones.
func retryDelay(failures int) time.Duration {
	return min(minRetryDelay<<min(failures, maxRetryShift), maxRetryDelay)
}

// readDelay returns the time until the next read of the topic is due.
func (s *Store) readDelay(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.readAt.IsZero():
		return 0
	case s.holder.Holds():
		return s.readAt.Add(holderReadInterval).Sub(now)
	}
	solo := s.readAt.Add(soloReadInterval).Sub(now)
	return max(solo, s.holder.LastReply().Add(contactTTL).Sub(now))
}

// KnownPosition returns 0: the topic has no other source.
func (s *Store) KnownPosition() logpos.Position { return 0 }

// NoticeEra returns what the log may have lost of this daemon's record. It is compared
// with the topic once that has been read anew.
func (s *Store) NoticeEra(time.Time, int64) eras.Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := eras.Loss{Positions: 1}
	if len(s.stored[s.host]) > 0 {
		l.Records = 1
	}
	return l
}

// Replace takes over the newest records of the topic.
func (s *Store) Replace(now time.Time, p *feed.Page) {
	s.mu.Lock()
	clear(s.stored)
	s.returned = s.returned || !s.readAt.IsZero() && p.End.Era() != s.era
	s.era = p.End.Era()
	s.mu.Unlock()
	s.Apply(now, p)
}

// Apply merges records into the table.
func (s *Store) Apply(now time.Time, p *feed.Page) {
	holds := s.holder.Holds()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt, s.reviewDue = now, holds && p.Next >= p.End
	for _, rec := range p.Records {
		if len(rec.Value) == 0 {
			delete(s.stored, rec.Key)
			continue
		}
		entries, err := decode(rec.Value)
		if err != nil {
			event.RegisterEntryIgnored.Log("topic", "quarantine", "key", rec.Key, "offset", rec.Offset, "cause", err.Error())
			continue
		}
		s.stored[rec.Key] = entries
		s.merger.Merge(now, 0, entries, event.CrashHistoryChanged, "source", "log", "host", rec.Key, "offset", rec.Offset)
	}
}

// Failed does nothing: the table keeps what it knows.
func (s *Store) Failed(time.Time, error) {}

// Recovered does nothing.
func (s *Store) Recovered(time.Time, time.Duration) {}

// writeDue writes this daemon's record if histories are missing in the topic, and
// deletes expired records.
func (s *Store) writeDue(ctx context.Context) error {
	inContact := s.holder.Holds() || s.now().Sub(s.holder.LastReply()) <= contactTTL
	rev := s.crashes.Rev()
	if !s.isDue(rev, inContact) {
		return nil
	}
	entries, expired := s.pending(s.now(), inContact)
	for _, host := range expired {
		if err := s.topic.Put(ctx, host, nil); err != nil {
			return err
		}
		event.QuarantineStored.Log("key", host, "deleted", true)
		s.setStored(host, nil)
	}
	if len(entries) > 0 {
		value, err := encode(entries)
		if err != nil {
			return err
		}
		if err := s.topic.Put(ctx, s.host, value); err != nil {
			return err
		}
		event.QuarantineStored.Log("key", s.host, "histories", len(entries), "bytes", len(value))
		s.setStored(s.host, entries)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.returned && len(entries) > 0 {
		s.eras.Rewritten(1)
	}
	s.returned = false
	s.writtenRev, s.writtenInContact = rev, inContact
	return nil
}

// isDue reports whether the record may have to change since it was last up to date.
func (s *Store) isDue(rev uint64, inContact bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reviewDue || s.returned || rev != s.writtenRev || inContact != s.writtenInContact
}

func (s *Store) setStored(host string, entries []poison.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entries == nil {
		delete(s.stored, host)
		return
	}
	s.stored[host] = entries
}
