package claims

import (
	"maps"
	"slices"
	"time"
)

// Defaults for zero fields of Limits. WindowFor returns at most MaxWindow.
const (
	MaxWindow    = 24 * time.Hour
	DefaultAhead = 5 * time.Minute
)

// bucketMS is the width in milliseconds of the key-time buckets in which expired
// state is dropped.
const bucketMS = 60_000

type (
	// Limits bound the time of a key relative to the log time of its claim.
	Limits struct {
		// Window is the largest time that the key may be behind the log
		// time; zero means MaxWindow.
		Window time.Duration
		// Ahead is the largest time that the key may be ahead of the log
		// time; zero means DefaultAhead.
		Ahead time.Duration
	}

	// Ownership is the right of Daemon to append claims.
	Ownership struct {
		Daemon string
		// Epoch is the offset of the ownership record, 0 if none was seen.
		Epoch uint64
		// TimeMS is the log time of the ownership record.
		TimeMS int64
	}

	// Reason states why a record was rejected; empty means that it was
	// accepted.
	Reason string

	// Outcome is the result of applying one record.
	Outcome struct {
		Offset uint64
		Record Record
		Reason Reason
	}

	// State is the state of one stream after its applied records. It is not
	// safe for concurrent use. See New.
	State struct {
		windowMS, maxAheadMS int64
		// incomplete is set if retention had dropped records before the first
		// one that was applied.
		incomplete    bool
		startEnd      uint64 // offset after the stream's end when the reader started
		applied       uint64
		firstTimeMS   int64 // log time of the first applied record
		logTimeMS     int64 // highest log time seen
		owner         Ownership
		keys          map[Key]entry
		withdrawn     map[claimRef]struct{}
		expiry        map[int64]*expiryBucket // by key time / bucketMS
		expiredBefore int64                   // lower bucket numbers are dropped
	}

	// entry is the claim that holds a key.
	entry struct {
		id       ID
		digest   Digest
		response *StoredResponse
		// uncertain is set if a dropped record may invalidate the claim.
		uncertain bool
	}

	// claimRef identifies a withdrawn claim.
	claimRef struct {
		key Key
		id  ID
	}

	// expiryBucket lists the state that expires together.
	expiryBucket struct {
		keys []Key
		refs []claimRef
	}
)

// Reasons for a rejected record. Accepted is the absence of one.
const (
	Accepted       Reason = ""
	OutOfOrder     Reason = "out-of-order"
	UnknownRecord  Reason = "unknown-record"
	StaleEpoch     Reason = "stale-epoch"
	KeyExpired     Reason = "key-expired"
	KeyAhead       Reason = "key-ahead"
	AlreadyClaimed Reason = "already-claimed"
	DigestMismatch Reason = "digest-mismatch"
	Repeated       Reason = "repeated"
	Withdrawn      Reason = "withdrawn"
	NotHolder      Reason = "not-holder"
	AlreadyDone    Reason = "already-done"
	Uncertain      Reason = "uncertain"
	TooLarge       Reason = "too-large"
)

// WindowFor returns the acceptance window for a log with the given retention:
// half of the retention, at most MaxWindow.
func WindowFor(retention time.Duration) time.Duration {
	return min(retention/2, MaxWindow)
}

// New returns the initial state of a reader that starts when the stream's
// oldest retained offset is oldest and the offset after its last record is end.
// In a stream from which no record was dropped, oldest is 1.
func New(l Limits, oldest, end uint64) *State {
	if l.Window <= 0 {
		l.Window = MaxWindow
	}
	if l.Ahead <= 0 {
		l.Ahead = DefaultAhead
	}
	s := &State{
		windowMS: l.Window.Milliseconds(), maxAheadMS: l.Ahead.Milliseconds(),
		incomplete: oldest > 1, startEnd: end,
		keys: map[Key]entry{}, withdrawn: map[claimRef]struct{}{}, expiry: map[int64]*expiryBucket{},
	}
	if oldest > 1 {
		s.applied = oldest - 1
	}
	return s
}

// Applied returns the offset of the last applied record.
func (s *State) Applied() uint64 { return s.applied }

// LogTimeMS returns the highest log time seen in Unix milliseconds, or 0 if no
// record was seen.
func (s *State) LogTimeMS() int64 { return s.logTimeMS }

// Owner returns the current ownership, with epoch 0 if no ownership record was
// seen.
func (s *State) Owner() Ownership { return s.owner }

// Len returns the number of claimed keys in memory.
func (s *State) Len() int { return len(s.keys) }

// Clone returns an independent copy of s.
func (s *State) Clone() *State {
	c := *s
	c.keys = maps.Clone(s.keys)
	c.withdrawn = maps.Clone(s.withdrawn)
	c.expiry = make(map[int64]*expiryBucket, len(s.expiry))
	for n, b := range s.expiry {
		c.expiry[n] = &expiryBucket{keys: slices.Clone(b.keys), refs: slices.Clone(b.refs)}
	}
	return &c
}

// Skip advances s past a log record that can't be decoded.
func (s *State) Skip(offset uint64, timeMS int64) {
	if offset > s.applied {
		s.advance(offset, timeMS)
	}
}

// Apply applies the records of the log record at offset, which has the log time
// timeMS, to s. It appends one Outcome for each record to dst and returns dst.
// Each log record must be applied once, in order of the offsets; at an offset
// that was applied before, every record is rejected as OutOfOrder.
func (s *State) Apply(dst []Outcome, offset uint64, timeMS int64, rs ...Record) []Outcome {
	outOfOrder := offset <= s.applied
	if !outOfOrder {
		s.advance(offset, timeMS)
	}
	for _, r := range rs {
		reason := OutOfOrder
		if !outOfOrder {
			reason = s.applyRecord(offset, r)
		}
		dst = append(dst, Outcome{Offset: offset, Record: r, Reason: reason})
	}
	return dst
}

func (s *State) applyRecord(offset uint64, r Record) Reason {
	switch r := r.(type) {
	case TakeOwnership:
		s.owner = Ownership{Daemon: r.Daemon, Epoch: offset, TimeMS: s.logTimeMS}
		return Accepted
	case Claim:
		return s.applyClaim(offset, r)
	case Done:
		return s.applyDone(r)
	case Withdraw:
		return s.applyWithdraw(r)
	default:
		return UnknownRecord
	}
}

func (s *State) advance(offset uint64, timeMS int64) {
	s.applied = offset
	if s.firstTimeMS == 0 {
		s.firstTimeMS = timeMS
	}
	if timeMS > s.logTimeMS {
		s.logTimeMS = timeMS
		s.dropExpired()
	}
}

// expired reports whether k is older than the window, so that no later claim of
// k can be valid.
func (s *State) expired(k Key) bool { return k.TimeMS()+s.windowMS < s.logTimeMS }

func (s *State) applyClaim(offset uint64, r Claim) Reason {
	epochKnown := s.owner.Epoch != 0 || !s.incomplete
	switch {
	case s.expired(r.Key):
		return KeyExpired
	case r.Key.TimeMS() > s.logTimeMS+s.maxAheadMS:
		return KeyAhead
	case r.Epoch == 0 || epochKnown && r.Epoch != s.owner.Epoch:
		return StaleEpoch
	}
	if _, ok := s.withdrawn[claimRef{r.Key, r.ID}]; ok {
		return Withdrawn
	}
	if e, ok := s.keys[r.Key]; ok {
		switch {
		case e.id == r.ID:
			return Repeated
		case e.digest != r.Digest:
			return DigestMismatch
		}
		return AlreadyClaimed
	}
	earlierClaimPossible := s.incomplete && offset < s.startEnd && r.Key.TimeMS()-s.maxAheadMS <= s.firstTimeMS
	s.keys[r.Key] = entry{id: r.ID, digest: r.Digest, uncertain: !epochKnown || earlierClaimPossible}
	b := s.bucketOf(r.Key)
	b.keys = append(b.keys, r.Key)
	return Accepted
}

func (s *State) applyDone(r Done) Reason {
	if len(r.Body) > MaxBodyBytes || len(r.ContentType) > MaxContentTypeBytes {
		return TooLarge
	}
	e, ok := s.keys[r.Key]
	switch {
	case !ok || e.id != r.ID:
		return NotHolder
	case e.response != nil:
		return AlreadyDone
	}
	response := r.StoredResponse
	e.response = &response
	s.keys[r.Key] = e
	return Accepted
}

func (s *State) applyWithdraw(r Withdraw) Reason {
	switch {
	case s.expired(r.Key):
		return KeyExpired
	case r.Key.TimeMS() > s.logTimeMS+s.maxAheadMS:
		return KeyAhead
	}
	e, ok := s.keys[r.Key]
	holds := ok && e.id == r.ID
	switch {
	case holds && e.response != nil:
		return AlreadyDone
	case holds && e.uncertain:
		return Uncertain
	}
	ref := claimRef{r.Key, r.ID}
	if _, ok := s.withdrawn[ref]; ok {
		return Repeated
	}
	s.withdrawn[ref] = struct{}{}
	b := s.bucketOf(r.Key)
	b.refs = append(b.refs, ref)
	if holds {
		delete(s.keys, r.Key)
	}
	return Accepted
}

func (s *State) bucketOf(k Key) *expiryBucket {
	n := k.TimeMS() / bucketMS
	b := s.expiry[n]
	if b == nil {
		b = &expiryBucket{}
		s.expiry[n] = b
	}
	return b
}

// dropExpired removes the state in buckets in which every key is expired.
func (s *State) dropExpired() {
	limit := (s.logTimeMS - s.windowMS) / bucketMS
	if limit <= s.expiredBefore {
		return
	}
	s.expiredBefore = limit
	for n, b := range s.expiry {
		if n >= limit {
			continue
		}
		for _, k := range b.keys {
			delete(s.keys, k)
		}
		for _, r := range b.refs {
			delete(s.withdrawn, r)
		}
		delete(s.expiry, n)
	}
}
