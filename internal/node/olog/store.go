package olog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/node/eras"
	"github.com/azurespan/azurespan/internal/node/feed"
)

type (
	// Topic is the keyed topic of the log that holds origins.
	Topic interface {
		// Newest returns the newest record of each key.
		Newest(ctx context.Context) (*feed.Page, error)
		// Put writes a record. An empty value deletes the key.
		Put(ctx context.Context, key string, value []byte) error
	}

	// Holder is what a Store needs to know of the holder, the daemon that all
	// others are in contact with.
	Holder interface {
		// Holds reports whether this daemon is the holder.
		Holds() bool
		// LastReply returns the time of the holder's last reply to this daemon.
		LastReply() time.Time
		// Origin asks the holder for the origin of a stream. It returns false if
		// the holder doesn't know it.
		Origin(ctx context.Context, id uint64) (origin.Stream, bool, error)
		// VersionState returns what this daemon has decided about versions as
		// the holder, false if it isn't or doesn't know what the former one has.
		VersionState() (origin.State, bool)
		// VersionStateWritten records that the log has a state.
		VersionStateWritten(s origin.State)
	}

	// Store keeps a table of origins and the topic up to date with each other. It
	// is safe for concurrent use.
	Store struct {
		host   string
		topic  Topic
		table  *origin.Table
		holder Holder
		eras   *eras.Tracker
		// boot is a clock that counts suspensions of the machine.
		now, boot func() time.Time

		// reading is held during a read of the topic.
		reading chan struct{}

		mu sync.Mutex
		// readAt is when the last successful read of the topic began.
		readAt time.Time
		// uncertain is set from a failed call to the next read: the log may have
		// come back from a copy, without what was written last.
		uncertain bool
		// era is the newest known one of the log. returned is set from then until
		// the topic has been read in it, rewriting from there until this daemon has
		// written what it lacks.
		era                 int64
		returned, rewriting bool
		// stored holds the versions in the topic by host and service, as far as
		// they are known.
		stored map[string]map[string][]string
		// states are the records of states in the topic by host, as far as they are
		// known.
		states map[string]*versionState
		// slot is the number of the next record of streams, and position that up
		// to which the table's streams are written.
		slot, position int
		// lastKey and lastValue are the last record of streams that was written, and
		// wroteAt is when.
		lastKey   string
		lastValue []byte
		wroteAt   time.Time
		// holds is set while this daemon is the holder, writes while it writes.
		holds, writes bool
	}

	// record is the value of a record. Streams are by service and version.
	record struct {
		Versions map[string][]string `json:"versions,omitempty"`
		// KeepsVersions is set by hosts that begin streams only at open versions.
		KeepsVersions bool                           `json:"keeps-versions,omitempty"`
		Streams       map[string]map[string][]uint64 `json:"streams,omitempty"`
		State         *versionState                  `json:"state,omitempty"`
	}
)

const (
	// writeInterval is the interval at which new streams are written, if there are
	// any. A stream can't be resumed if all daemons that know of it end sooner.
	writeInterval = 60 * time.Millisecond
	// slots is the number of records of streams of one host.
	slots = int(origin.Retention / writeInterval)
	// contactTTL is the age of the holder's last reply from which a daemon writes
	// itself.
	contactTTL = 1500 * time.Millisecond
	// rereadInterval is the interval at which the holder reads the topic. It finds
	// versions that hosts have written that are gone since.
	rereadInterval = time.Minute
	// maxStreams bounds the streams of one record; one takes up to 21 bytes, and a
	// record has at most 256 KB on the platform.
	maxStreams = 10000
	// undecidedInterval is the interval at which a daemon reads the topic that neither
	// the holder nor the topic has told at which versions streams may begin.
	undecidedInterval = time.Second
	// minRetryDelay is the delay after a failed call. It doubles with each further
	// failure up to maxRetryDelay, since refused calls cost as well.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxRetryShift bounds the doublings of minRetryDelay.
	maxRetryShift = 5
	// versionsKey is the last part of the key of a record of versions.
	versionsKey = "versions"
)

// New returns the Store of the daemon named host, whose log is followed by tracker.
func New(host string, topic Topic, table *origin.Table, holder Holder, tracker *eras.Tracker, now, boot func() time.Time) *Store {
	return &Store{host: host, topic: topic, table: table, holder: holder, eras: tracker, now: now, boot: boot, reading: make(chan struct{}, 1), stored: map[string]map[string][]string{}, states: map[string]*versionState{}}
}

// Table returns the table of origins.
func (s *Store) Table() *origin.Table { return s.table }

// Run reads the topic and then writes it until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		err := s.step(ctx)
		if err == nil {
			failures = 0
			pause.For(ctx, writeInterval)
			continue
		}
		event.OriginsStored.Log("cause", err.Error())
		delay := min(minRetryDelay<<min(failures, maxRetryShift), maxRetryDelay)
		failures++
		pause.For(ctx, delay/2+rand.N(delay/2))
	}
	return ctx.Err()
}

// step reads the topic and writes it, both if that is due.
func (s *Store) step(ctx context.Context) error {
	now := s.now()
	holds := s.holder.Holds()
	writes := holds || now.Sub(s.holder.LastReply()) > contactTTL
	if s.beginStep(now, holds, writes) {
		if err := s.Refresh(ctx); err != nil {
			return err
		}
		now = s.now()
	}
	if !writes {
		return nil
	}
	err := s.writeVersions(ctx, now, holds)
	if err == nil && holds {
		err = s.writeState(ctx)
	}
	if err == nil {
		err = s.writeStreams(ctx, now)
	}
	if err != nil {
		s.mu.Lock()
		s.uncertain = true
		s.mu.Unlock()
	}
	return err
}

// beginStep records whether this daemon writes, and reports whether it has to read
// first. A daemon that begins to write can't know what the former writer has written,
// and writes all streams again. A holder reads what the former one has decided.
func (s *Store) beginStep(now time.Time, holds, writes bool) (read bool) {
	_, decides := s.holder.VersionState()
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.readAt)
	begins := holds && !decides || !s.holds && age > contactTTL
	undecided := s.table.Undecided() && age > undecidedInterval
	read = s.readAt.IsZero() || undecided || writes && s.returned || holds && (begins || s.uncertain || age > rereadInterval)
	if writes && !s.writes {
		s.position = 0
	}
	s.holds, s.writes = holds, writes
	return read
}

// writeVersions writes the versions of all services if the topic lacks some. The
// holder also removes those that have expired.
func (s *Store) writeVersions(ctx context.Context, now time.Time, holds bool) error {
	versions := s.table.Versions(now)
	s.mu.Lock()
	missing, expired := s.compare(versions, holds)
	own := s.stored[s.host]
	s.mu.Unlock()
	if missing || holds && !includes(versions, own) {
		value, err := json.Marshal(record{Versions: versions, KeepsVersions: true})
		if err != nil {
			return merry.Wrap(err)
		}
		if err := s.topic.Put(ctx, s.host+"/"+versionsKey, value); err != nil {
			return err
		}
		event.OriginsStored.Log("key", s.host+"/"+versionsKey, "services", len(versions))
		s.mu.Lock()
		s.stored[s.host] = versions
		s.countRewritten()
		s.mu.Unlock()
	}
	if !holds {
		return nil
	}
	for _, host := range expired {
		if err := s.topic.Put(ctx, host+"/"+versionsKey, nil); err != nil {
			return err
		}
		event.OriginsStored.Log("key", host+"/"+versionsKey, "deleted", true)
		s.mu.Lock()
		delete(s.stored, host)
		s.mu.Unlock()
	}
	return nil
}

// compare returns the other hosts whose records have versions beside the given ones, and
// reports whether the topic lacks one of the versions. For the holder, which removes the
// records of those hosts, their versions don't count. s.mu must be held.
func (s *Store) compare(versions map[string][]string, holds bool) (missing bool, expired []string) {
	kept := make([]map[string][]string, 0, len(s.stored))
	for host, stored := range s.stored {
		beside := host != s.host && !includes(versions, stored)
		if beside {
			expired = append(expired, host)
		}
		if !beside || !holds {
			kept = append(kept, stored)
		}
	}
	for service, vs := range versions {
		for _, v := range vs {
			if !slices.ContainsFunc(kept, func(stored map[string][]string) bool { return slices.Contains(stored[service], v) }) {
				return true, expired
			}
		}
	}
	return false, expired
}

// includes reports whether all has each version of some.
func includes(all, some map[string][]string) bool {
	for service, vs := range some {
		for _, v := range vs {
			if !slices.Contains(all[service], v) {
				return false
			}
		}
	}
	return true
}

// writeStreams writes the streams that began since the last record.
func (s *Store) writeStreams(ctx context.Context, now time.Time) error {
	s.mu.Lock()
	position, slot := s.position, s.slot
	s.mu.Unlock()
	streams, next := s.table.Since(now, position, maxStreams)
	if len(streams) > 0 {
		rec := record{Streams: map[string]map[string][]uint64{}}
		for _, st := range streams {
			if rec.Streams[st.Service] == nil {
				rec.Streams[st.Service] = map[string][]uint64{}
			}
			rec.Streams[st.Service][st.Version] = append(rec.Streams[st.Service][st.Version], st.ID)
		}
		value, err := json.Marshal(rec)
		if err != nil {
			return merry.Wrap(err)
		}
		key := s.host + "/" + strconv.Itoa(slot)
		err = s.topic.Put(ctx, key, value)
		var status *feed.StatusError
		if err != nil && errors.As(err, &status) {
			return err
		}
		// A call without a response may be done later, and must not replace a
		// newer record then.
		s.mu.Lock()
		s.slot = (slot + 1) % slots
		if err == nil {
			s.lastKey, s.lastValue, s.wroteAt = key, value, s.now()
			s.countRewritten()
		}
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.position == position {
		s.position = next
	}
	s.rewriting = s.rewriting && len(streams) == maxStreams
	return nil
}

// Refresh reads the topic into the table, unless a read that began after the call has
// done so.
func (s *Store) Refresh(ctx context.Context) error {
	asked := s.now()
	select {
	case s.reading <- struct{}{}:
	case <-ctx.Done():
		return merry.Wrap(ctx.Err())
	}
	defer func() { <-s.reading }()
	s.mu.Lock()
	done := s.readAt.After(asked)
	s.mu.Unlock()
	if done {
		return nil
	}
	began, beganBoot := s.now(), s.boot()
	p, err := s.topic.Newest(ctx)
	var end logpos.Position
	if p != nil {
		end = p.End
	}
	if err = s.eras.Observe("origins", end, err); err != nil {
		return err
	}
	s.apply(began, beganBoot, p)
	return nil
}

// apply takes over the newest records, which were read from began on, a time of the clock
// that doesn't count suspensions, and beganBoot of the one that does.
func (s *Store) apply(began, beganBoot time.Time, p *feed.Page) {
	var streams []origin.Stream
	versions := map[string][]string{}
	stored := map[string]map[string][]string{}
	states, fresh := map[string]*versionState{}, true
	lastSlot, lastOffset := -1, logpos.Position(-1)
	var last []byte
	s.mu.Lock()
	lastKey := s.lastKey
	s.mu.Unlock()
	for _, r := range p.Records {
		if r.Key == lastKey {
			last = r.Value
		}
		if len(r.Value) == 0 {
			continue
		}
		var rec record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			event.RegisterEntryIgnored.Log("topic", "origins", "key", r.Key, "offset", r.Offset, "cause", err.Error())
			continue
		}
		host, part := r.Key, ""
		if i := strings.LastIndexByte(r.Key, '/'); i >= 0 {
			host, part = r.Key[:i], r.Key[i+1:]
		}
		if part == versionsKey {
			stored[host], fresh = rec.Versions, fresh && rec.KeepsVersions
			for service, vs := range rec.Versions {
				versions[service] = append(versions[service], vs...)
			}
			continue
		}
		if part == stateKey && rec.State != nil {
			states[host] = rec.State
			continue
		}
		if n, err := strconv.Atoi(part); err == nil && host == s.host && r.Offset > lastOffset {
			lastSlot, lastOffset = n, r.Offset
		}
		for service, byVersion := range rec.Streams {
			for v, ids := range byVersion {
				for _, id := range ids {
					streams = append(streams, origin.Stream{ID: id, Service: service, Version: v})
				}
			}
		}
	}
	s.table.Read(began, streams, versions)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.End.Era() < s.era {
		return // read before the return
	}
	s.era = p.End.Era() // the first one isn't noticed
	s.table.Store(began, beganBoot, joinStates(states, p.End.Era()), fresh)
	if s.readAt.IsZero() {
		// The records of the former process are overwritten last.
		s.slot = (lastSlot + 1) % slots
	}
	if s.lastKey != "" && s.lastKey == lastKey && s.wroteAt.Before(began) && !bytes.Equal(last, s.lastValue) {
		s.position = 0
		event.OriginsStored.Log("key", lastKey, "lost", true)
	}
	s.rewriting = s.rewriting || s.returned
	s.readAt, s.stored, s.states, s.uncertain, s.returned = began, stored, states, false, false
}
