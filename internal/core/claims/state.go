package claims

import (
	"maps"
	"slices"
	"time"
)

// Defaults for zero fields of Limits. MaxWindow is also the largest window.
const (
	MaxWindow    = 24 * time.Hour
	DefaultAhead = 5 * time.Minute
)

// bucket is the granularity, in milliseconds, with which old state is dropped.
const bucketMS = 60_000

type (
	// Limits bound the time of a key relative to the log time of its claim.
	Limits struct {
		// Window is how long before the log time the key may lie; zero
		// means MaxWindow.
		Window time.Duration
		// Ahead is how long after the log time the key may lie; zero means
		// DefaultAhead.
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

	// Reason says why a record had no effect; empty means that it had one.
	Reason string

	// Outcome is the result of applying one record.
	Outcome struct {
		Offset uint64
		Record Record
		Reason Reason
	}

	// Fold is the folded state of one stream. It is not safe for concurrent
	// use. See New.
	State struct {
		windowMS, maxAheadMS int64
		incomplete           bool
		startEnd             uint64
		applied              uint64
		firstTimeMS          int64
		logTimeMS            int64
		owner                Ownership
		keys                 map[Key]entry
		withdrawn            map[claimRef]struct{}
		expiry               map[int64]*expiryBucket
		expiredBefore        int64 // buckets below this number are dropped
	}

	entry struct {
		id        ID
		digest    Digest
		response  *StoredResponse
		uncertain bool
	}

	claimRef struct {
		key Key
		id  ID
	}

	expiryBucket struct {
		keys []Key
		refs []claimRef
	}
)

// Reasons for a record without effect.
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

// WindowFor returns the acceptance window for a log that keeps records for
// the given time: half of it, at most MaxWindow.
func WindowFor(retention time.Duration) time.Duration {
	return min(retention/2, MaxWindow)
}

// New returns the state before the first record of a reader that starts when
// the stream's oldest retained offset is oldest and the offset after its last
// record is end. A stream that never lost a record has oldest 1.
func New(l Limits, oldest, end uint64) *State {
	if l.Window <= 0 {
		l.Window = MaxWindow
	}
	if l.Ahead <= 0 {
		l.Ahead = DefaultAhead
	}
	f := &State{
		windowMS: l.Window.Milliseconds(), maxAheadMS: l.Ahead.Milliseconds(),
		incomplete: oldest > 1, startEnd: end,
		keys: map[Key]entry{}, withdrawn: map[claimRef]struct{}{}, expiry: map[int64]*expiryBucket{},
	}
	if oldest > 1 {
		f.applied = oldest - 1
	}
	return f
}

// Applied returns the offset of the last applied record.
func (f *State) Applied() uint64 { return f.applied }

// Now returns the highest log time seen, in Unix milliseconds, 0 for none.
func (f *State) LogTimeMS() int64 { return f.logTimeMS }

// Owner returns the current ownership. Its epoch is 0 if no ownership record
// was seen.
func (f *State) Owner() Ownership { return f.owner }

// Len returns the number of claimed keys held in memory.
func (f *State) Len() int { return len(f.keys) }

// Clone returns an independent copy of f.
func (f *State) Clone() *State {
	c := *f
	c.keys = maps.Clone(f.keys)
	c.withdrawn = maps.Clone(f.withdrawn)
	c.expiry = make(map[int64]*expiryBucket, len(f.expiry))
	for b, l := range f.expiry {
		c.expiry[b] = &expiryBucket{keys: slices.Clone(l.keys), refs: slices.Clone(l.refs)}
	}
	return &c
}

// Skip advances f past a log record that can't be decoded.
func (f *State) Skip(offset uint64, timeMS int64) {
	if offset > f.applied {
		f.advance(offset, timeMS)
	}
}

// Apply folds the records of the log record at offset, which has the log time
// timeMS, into f. It appends one Outcome for each record to dst and returns
// it. Log records are applied once, in order of their offsets.
func (f *State) Apply(dst []Outcome, offset uint64, timeMS int64, rs ...Record) []Outcome {
	late := offset <= f.applied
	if !late {
		f.advance(offset, timeMS)
	}
	for _, r := range rs {
		why := OutOfOrder
		if !late {
			why = f.applyRecord(offset, r)
		}
		dst = append(dst, Outcome{Offset: offset, Record: r, Reason: why})
	}
	return dst
}

func (f *State) applyRecord(offset uint64, r Record) Reason {
	switch r := r.(type) {
	case TakeOwnership:
		f.owner = Ownership{Daemon: r.Daemon, Epoch: offset, TimeMS: f.logTimeMS}
		return Accepted
	case Claim:
		return f.applyClaim(offset, r)
	case Done:
		return f.applyDone(r)
	case Withdraw:
		return f.applyWithdraw(r)
	default:
		return UnknownRecord
	}
}

func (f *State) advance(offset uint64, timeMS int64) {
	f.applied = offset
	if f.firstTimeMS == 0 {
		f.firstTimeMS = timeMS
	}
	if timeMS > f.logTimeMS {
		f.logTimeMS = timeMS
		f.dropExpired()
	}
}

// expired reports whether no claim of k can be valid from now on.
func (f *State) expired(k Key) bool { return k.TimeMS()+f.windowMS < f.logTimeMS }

func (f *State) applyClaim(offset uint64, r Claim) Reason {
	known := f.owner.Epoch != 0 || !f.incomplete
	switch {
	case f.expired(r.Key):
		return KeyExpired
	case r.Key.TimeMS() > f.logTimeMS+f.maxAheadMS:
		return KeyAhead
	case r.Epoch == 0 || known && r.Epoch != f.owner.Epoch:
		return StaleEpoch
	}
	if _, ok := f.withdrawn[claimRef{r.Key, r.ID}]; ok {
		return Withdrawn
	}
	if e, ok := f.keys[r.Key]; ok {
		switch {
		case e.id == r.ID:
			return Repeated
		case e.digest != r.Digest:
			return DigestMismatch
		}
		return AlreadyClaimed
	}
	maybeDropped := f.incomplete && offset < f.startEnd && r.Key.TimeMS()-f.maxAheadMS <= f.firstTimeMS
	f.keys[r.Key] = entry{id: r.ID, digest: r.Digest, uncertain: !known || maybeDropped}
	l := f.bucketOf(r.Key)
	l.keys = append(l.keys, r.Key)
	return Accepted
}

func (f *State) applyDone(r Done) Reason {
	if len(r.Body) > MaxBodyBytes || len(r.ContentType) > MaxContentTypeBytes {
		return TooLarge
	}
	e, ok := f.keys[r.Key]
	switch {
	case !ok || e.id != r.ID:
		return NotHolder
	case e.response != nil:
		return AlreadyDone
	}
	s := r.StoredResponse
	e.response = &s
	f.keys[r.Key] = e
	return Accepted
}

func (f *State) applyWithdraw(r Withdraw) Reason {
	switch {
	case f.expired(r.Key):
		return KeyExpired
	case r.Key.TimeMS() > f.logTimeMS+f.maxAheadMS:
		return KeyAhead
	}
	e, ok := f.keys[r.Key]
	holds := ok && e.id == r.ID
	switch {
	case holds && e.response != nil:
		return AlreadyDone
	case holds && e.uncertain:
		return Uncertain
	}
	ref := claimRef{r.Key, r.ID}
	if _, ok := f.withdrawn[ref]; ok {
		return Repeated
	}
	f.withdrawn[ref] = struct{}{}
	l := f.bucketOf(r.Key)
	l.refs = append(l.refs, ref)
	if holds {
		delete(f.keys, r.Key)
	}
	return Accepted
}

func (f *State) bucketOf(k Key) *expiryBucket {
	b := k.TimeMS() / bucketMS
	l := f.expiry[b]
	if l == nil {
		l = &expiryBucket{}
		f.expiry[b] = l
	}
	return l
}

// drop removes the state of buckets in which every key is expired.
func (f *State) dropExpired() {
	limit := (f.logTimeMS - f.windowMS) / bucketMS
	if limit <= f.expiredBefore {
		return
	}
	f.expiredBefore = limit
	for b, l := range f.expiry {
		if b >= limit {
			continue
		}
		for _, k := range l.keys {
			delete(f.keys, k)
		}
		for _, r := range l.refs {
			delete(f.withdrawn, r)
		}
		delete(f.expiry, b)
	}
}
