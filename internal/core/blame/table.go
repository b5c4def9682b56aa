package blame

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/maypok86/otter/v2"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// Table judges the attributes of requests. It is safe for concurrent use.
	Table struct {
		crashes *poison.Table

		mu sync.Mutex
		// usage holds the shared attributes of requests that this daemon has sent.
		// The least frequently used ones are dropped.
		usage *otter.Cache[string, *usage]
		// completedAt is when a request with an attribute that isn't shared was last
		// answered completely. The ones longest ago are dropped.
		completedAt *simplelru.LRU[string, time.Time]
		// forgottenAt is when the last of the answers to requests with attributes
		// that were dropped from usage was given.
		forgottenAt time.Time
		// firstSentAt is when the first request was sent.
		firstSentAt time.Time
		// suspects are the attributes that may be quarantined, as judged at rev.
		suspects *suspects
		// quarantined holds the ends of quarantines by key.
		quarantined map[string]time.Time
		// oneVersion holds the keys of quarantines at one version by that of their
		// attribute, whose requests are refused at any version: which one they run
		// at isn't known before one is chosen.
		oneVersion map[string]string
		// rev is the revision of crashes, and timesRev and droppedRev its other counts of
		// changes, as of which the candidates were judged.
		rev, timesRev, droppedRev uint64
		// dueAt is when all candidates that have changed are judged again in any case,
		// zero for never.
		dueAt time.Time
		// touched are the candidates whose usage has changed since then, and
		// allTouched is set if any may have.
		touched    map[*candidate]struct{}
		allTouched bool
		// begun counts the quarantines so far. One that is prolonged after its end counts
		// again.
		begun uint64
		// changes are the latest of quarantined that TakeChanges hasn't returned.
		changes []Change
	}

	// Change is the beginning or the end of the quarantine of an attribute, with the
	// evidence for it.
	Change struct {
		Key string
		// Until is the end of the quarantine, zero if the attribute no longer is in
		// quarantine.
		Until time.Time
		// Crashes are those in the attribute's history, Unexplained those of them
		// that no other quarantined attribute explains.
		Crashes, Unexplained int
		// Answered is set if a request with the attribute was answered here recently,
		// and Dominant if the attribute was involved in most crashes of its time.
		Answered, Dominant bool
	}

	// Known holds the crashes of shared attributes that were known at a moment, by key.
	Known map[string][]poison.Crash

	// usage is how this daemon has used a shared attribute.
	usage struct {
		// sent is the number of requests sent.
		sent int
		// answeredAt is when a request was last answered, or may have been.
		answeredAt time.Time
	}
)

const (
	// AnsweredAfter is how long an upstream must have been answering a request
	// to be taken as unharmed by it. An upstream that is crashed by a part ends
	// some 100 ms after it has begun to answer.
	AnsweredAfter = 500 * time.Millisecond
	// dominantLimit is the number of crashes from which an attribute is quarantined
	// with which no request has been answered here recently, if it is shared only if
	// it was involved in most crashes of its time. ambiguousLimit is the same for
	// others, of crashes that have been known for settleTime: until then, answers in
	// progress may clear an attribute that many requests have. The platform counts
	// repetitions of a request that are sent later than 3 s after the third crash,
	// and requests with a part of a prompt after the fifth one.
	dominantLimit  = 3
	ambiguousLimit = 5
	settleTime     = time.Second
	// sameCause is the time within which crashes count as one, unless they are those
	// of a request that nobody has had answered: a part crashes an upstream only once
	// it answers, while a lost network path or a wave of crashes breaks several
	// connections at once, those of a retry among them. The same request may crash
	// several upstreams at once if several callers send it.
	sameCause = 20 * time.Millisecond
	// dominanceMargin is added to the time between a part's first and last crash
	// for which it is compared with all crashes.
	dominanceMargin = time.Second
	// warmUp is the time from the first request until a daemon knows which parts
	// are answered.
	warmUp = 5 * time.Second
	// clearTime is the time after a crash within which some daemon answers a request
	// with an attribute that many have, and the others know: AnsweredAfter, and an
	// exchange with the holder and from it, 0.94 s at 320 daemons.
	clearTime = 2 * time.Second
	// probationAfter is the time after which an attribute that isn't clearly to blame
	// may be sent again, until the next crash: after a wave of crashes with
	// another cause, some rare parts have been involved in several.
	probationAfter = 10 * time.Second
	// recentAnswer is how long an attribute counts as answered recently.
	recentAnswer = time.Minute
	// maxParts is the number of shared attributes whose usage is kept: eight times the
	// parts that a daemon of the largest deployment is sent in recentAnswer
	// (docs/CAPACITY.md).
	maxParts = 8192
	// maxCompleted is the number of attributes of which the last complete answer is
	// kept. A request has up to five, ten while its service has several versions: those
	// of some 27, or 13, requests a second are kept for recentAnswer, and those of what
	// is polled more often in any case.
	maxCompleted = 8192
	// maxPartsPerRequest is the number of the first parts of a prompt that are
	// judged. Prompts have a few shared parts; a header has room for thousands, each
	// of which would get a history in a crash.
	maxPartsPerRequest = 64
	// maxChanges bounds the changes that TakeChanges returns.
	maxChanges = 64
)

// New returns a Table that judges by the histories in crashes.
func New(crashes *poison.Table) *Table {
	t := &Table{crashes: crashes, suspects: newSuspects(), quarantined: map[string]time.Time{}, oneVersion: map[string]string{}, touched: map[*candidate]struct{}{}}
	t.usage = otter.Must(&otter.Options[string, *usage]{
		MaximumSize: maxParts,
		// Otherwise uses aren't counted until half of the size is reached.
		InitialCapacity: maxParts,
		OnDeletion:      t.dropped,
		// In the caller's goroutine, which holds t.mu, so that the size is kept.
		Executor: func(fn func()) { fn() },
	})
	var err error
	if t.completedAt, err = simplelru.NewLRU[string, time.Time](maxCompleted, func(key string, _ time.Time) { t.touch(key) }); err != nil {
		panic(err) // the size is a positive constant
	}
	return t
}

// dropped records that the usage of an attribute was dropped. t.mu must be held.
func (t *Table) dropped(e otter.DeletionEvent[string, *usage]) {
	if at := e.Value.answeredAt; at.After(t.forgottenAt) {
		// An attribute that isn't known counts as answered then.
		t.forgottenAt, t.allTouched = at, true
	}
	t.touch(e.Key)
}

// touch records that the usage of an attribute has changed. t.mu must be held.
func (t *Table) touch(key string) {
	if c := t.suspects.byKey[key]; c != nil {
		t.touched[c] = struct{}{}
	}
}

// Sent records that a request with attributes is sent to an upstream.
func (t *Table) Sent(now time.Time, keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstSentAt.IsZero() {
		t.firstSentAt, t.allTouched = now, true
	}
	for _, k := range keys {
		if breadthOf(k) == shared {
			t.used(k).sent++
		}
	}
}

// used returns the usage of a shared attribute. That of one which isn't known counts as
// answered when any forgotten one was: it may be among them. t.mu must be held.
func (t *Table) used(key string) *usage {
	t.touch(key)
	u, ok := t.usage.GetIfPresent(key)
	if !ok {
		u = &usage{answeredAt: t.forgottenAt}
		t.usage.Set(key, u)
	}
	return u
}

// Crashed records that an upstream crashed while it ran a request with attributes, which
// it had been answering for the given time. An upstream that had been answering for
// AnsweredAfter may have been crashed by this very request, but not by what others have
// in common with it.
func (t *Table) Crashed(keys []string, c poison.Crash, answeredFor time.Duration) {
	for _, k := range keys {
		if answeredFor < AnsweredAfter || breadthOf(k) != shared {
			t.crashes.Observe(k, c)
		}
	}
}

// Known returns the crashes of shared attributes that are known when the answer to a
// request with them begins.
func (t *Table) Known(keys []string) Known {
	var out Known
	for _, k := range keys {
		if breadthOf(k) != shared {
			continue
		}
		if e := t.crashes.Entry(k); len(e.Crashes) > 0 {
			if out == nil {
				out = Known{}
			}
			out[k] = e.Crashes
		}
	}
	return out
}

// Answered records that a request with attributes has been answered, or for at least
// AnsweredAfter, and clears the shared ones of the crashes that were known when the
// answer began. It reports whether any crash was cleared.
func (t *Table) Answered(now time.Time, keys []string, known Known) bool {
	t.mu.Lock()
	for _, k := range keys {
		if breadthOf(k) != shared {
			continue
		}
		t.used(k).answeredAt = now
		if _, ok := t.quarantined[k]; ok {
			t.dueAt = now
		}
	}
	t.mu.Unlock()
	cleared := false
	for k, crashes := range known {
		cleared = t.crashes.ClearCrashes(k, crashes) || cleared
	}
	return cleared
}

// Completed records that a request with attributes has been answered completely, and
// clears those that aren't shared: upstreams run the request without harm. It returns
// the keys of the histories that had crashes.
func (t *Table) Completed(now time.Time, keys []string) (cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		if breadthOf(k) == shared {
			continue
		}
		t.completedAt.Add(k, now)
		t.touch(k)
		if t.crashes.Clear(k) {
			cleared = append(cleared, k)
		}
	}
	return cleared
}

// Judge returns the first of the keys whose attribute is quarantined at now and the time
// until the quarantine ends, or an empty key.
func (t *Table) Judge(now time.Time, keys []string) (key string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	for _, attribute := range keys {
		for _, k := range []string{attribute, t.oneVersion[attribute]} {
			if left := t.quarantined[k].Sub(now); left > 0 {
				t.crashes.Use(k)
				return k, left
			}
		}
	}
	return "", 0
}

// Quarantined reports whether the attribute with a key is quarantined.
func (t *Table) Quarantined(now time.Time, key string) bool {
	found, _ := t.Judge(now, []string{key})
	return found != ""
}

// Begun returns the number of quarantines that have begun until now. While it stays the same,
// an attribute that wasn't quarantined isn't.
func (t *Table) Begun(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	return t.begun
}

// QuarantinedKeys returns the keys for which Quarantined holds, in no order.
func (t *Table) QuarantinedKeys(now time.Time) (keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	for k, until := range t.quarantined {
		if now.Before(until) {
			t.crashes.Use(k)
			keys = append(keys, k)
		}
	}
	for attribute, k := range t.oneVersion {
		if now.Before(t.quarantined[k]) && !now.Before(t.quarantined[attribute]) {
			keys = append(keys, attribute)
		}
	}
	return keys
}

// Crashes returns the most crashes that are known of an attribute that requests have in
// common only if they are the same.
func (t *Table) Crashes(keys []string) (n int) {
	for _, k := range keys {
		if breadthOf(k) != shared {
			n = max(n, len(t.crashes.Entry(k).Crashes))
		}
	}
	return n
}

// Count returns the number of attributes that are quarantined at now: of parts of
// prompts, and of others.
func (t *Table) Count(now time.Time) (parts, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	for key, until := range t.quarantined {
		if !now.Before(until) {
			continue
		}
		if _, ok := poison.PartOf(key); ok {
			parts++
		} else {
			others++
		}
	}
	return parts, others
}
