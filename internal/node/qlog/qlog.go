package qlog

import (
	"context"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/feed"
)

type (
	// Topic is the keyed topic of the log that holds the quarantined requests.
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

	// Store keeps a table of crash histories and the topic up to date with each
	// other. It is safe for concurrent use.
	Store struct {
		topic   Topic
		crashes *poison.Table
		holder  Holder
		now     func() time.Time

		mu sync.Mutex
		// readAt is when the topic was last read, zero if it hasn't been.
		readAt time.Time
		// stored holds the content of the topic, as far as it is known.
		stored map[string]poison.Entry
		// reviewDue is set once the holder has read the topic and hasn't
		// compared it with the table yet.
		reviewDue bool
	}

	// write is a change of the topic; an Entry without crashes deletes the key.
	write struct {
		entry  poison.Entry
		delete bool
	}
)

const (
	// holderReadInterval is the interval at which the holder compares the topic
	// with the table.
	holderReadInterval = 5 * time.Second
	// contactTTL is the age of the holder's last reply from which a daemon
	// reads the topic itself, and soloReadInterval the interval of these reads.
	// Their sum is below the 3 s after which the platform counts further sends
	// of a crashing request.
	contactTTL       = time.Second
	soloReadInterval = time.Second
	// checkInterval is the interval at which the table is checked for changes.
	checkInterval = 50 * time.Millisecond
	// retryDelay is the delay after a failed write.
	retryDelay = 300 * time.Millisecond
)

var _ feed.Sink = (*Store)(nil)

// New returns a Store. It reads the topic in RunFeed and writes it in Run.
func New(topic Topic, crashes *poison.Table, holder Holder, now func() time.Time) *Store {
	return &Store{topic: topic, crashes: crashes, holder: holder, now: now, stored: map[string]poison.Entry{}}
}

// RunFeed reads the topic until ctx ends.
func (s *Store) RunFeed(ctx context.Context) error {
	return feed.New(feed.Settings{Name: "quarantine", Delay: s.readDelay}, s.topic, s, s.now).Run(ctx)
}

// Run writes the topic until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for pause.For(ctx, checkInterval) {
		if !s.writeDue(ctx) {
			pause.For(ctx, retryDelay)
		}
	}
	return ctx.Err()
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

// KnownOffset returns 0: the topic has no other source.
func (s *Store) KnownOffset() int64 { return 0 }

// Replace takes over the newest records of the topic.
func (s *Store) Replace(now time.Time, p *feed.Page) {
	s.mu.Lock()
	clear(s.stored)
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
		e, err := decode(rec.Key, rec.Value)
		if err != nil {
			event.RegisterEntryIgnored.Log("topic", "quarantine", "key", rec.Key, "offset", rec.Offset, "cause", err.Error())
			continue
		}
		s.stored[rec.Key] = e
		if before, after, changed := s.crashes.Merge(now, e); changed {
			event.CrashHistoryChanged.Log("fingerprint", rec.Key, "source", "log", "offset", rec.Offset, "before", before, "after", after)
		}
	}
}

// Failed does nothing: the table keeps what it knows.
func (s *Store) Failed(time.Time, error) {}

// Recovered does nothing.
func (s *Store) Recovered(time.Time, time.Duration) {}

// writeDue writes what the topic lacks. It reports false if a write has failed.
func (s *Store) writeDue(ctx context.Context) bool {
	for _, w := range s.pending(s.now()) {
		var value []byte
		if !w.delete {
			b, err := encode(w.entry)
			if err != nil {
				event.QuarantineStored.Log("fingerprint", w.entry.Fingerprint, "cause", err.Error())
				continue
			}
			value = b
		}
		if err := s.topic.Put(ctx, w.entry.Fingerprint, value); err != nil {
			event.QuarantineStored.Log("fingerprint", w.entry.Fingerprint, "cause", err.Error())
			return false
		}
		event.QuarantineStored.Log("fingerprint", w.entry.Fingerprint, "crashes", len(w.entry.Crashes), "cleared", len(w.entry.Cleared), "deleted", w.delete)
		s.mu.Lock()
		if w.delete {
			delete(s.stored, w.entry.Fingerprint)
		} else {
			s.stored[w.entry.Fingerprint] = w.entry
		}
		s.mu.Unlock()
	}
	return true
}

// pending returns the writes that this daemon has to make at now.
func (s *Store) pending(now time.Time) (out []write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	review := s.reviewDue
	s.reviewDue = false
	for _, e := range s.crashes.Quarantined(now) {
		if (review || s.crashes.ObservedHere(e.Fingerprint)) && !includes(s.stored[e.Fingerprint], e) {
			out = append(out, write{entry: e})
		}
	}
	if !review {
		return out
	}
	for fp, stored := range s.stored {
		switch e := s.crashes.Entry(fp); {
		case len(e.Crashes)+len(e.Cleared) == 0:
			out = append(out, write{entry: poison.Entry{Fingerprint: fp}, delete: true})
		case !includes(stored, poison.Entry{Cleared: e.Cleared}):
			out = append(out, write{entry: e})
		}
	}
	return out
}

// includes reports whether stored has all crashes of e, and all that e has cleared
// as cleared.
func includes(stored, e poison.Entry) bool {
	has := func(list []poison.Crash, id string) bool {
		for _, c := range list {
			if c.ID == id {
				return true
			}
		}
		return false
	}
	for _, c := range e.Crashes {
		if !has(stored.Crashes, c.ID) {
			return false
		}
	}
	for _, c := range e.Cleared {
		if !has(stored.Cleared, c.ID) {
			return false
		}
	}
	return true
}
