package dedup

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/claims"
)

// eventTimeout bounds waits for something that must happen. No test expects it
// to pass.
const eventTimeout = 20 * time.Second

// start returns a running Server that reads and appends through link.
func start(t *testing.T, link *memLink, daemon string) *Server {
	t.Helper()
	k := New(Settings{
		Daemon: daemon, Limits: claims.Limits{Window: time.Hour}, PollWait: 20 * time.Millisecond,
		AppendTimeout: 100 * time.Millisecond, MinBackoff: time.Millisecond, MaxBackoff: 4 * time.Millisecond,
		MinRetakeDelay: time.Millisecond, MaxRetakeDelay: 2 * time.Millisecond,
	}, link, rand.Reader)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- k.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return k
}

// timeoutContext returns a context that ends after d or with the test.
func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func newKey(now time.Time) string { return ulid.MustNew(ulid.Timestamp(now), rand.Reader).String() }

func partitionOf(t *testing.T, key string) int {
	k, err := claims.ParseKey(key)
	must.NoError(t, err)
	return k.Partition()
}

// take waits until k owns the partition of key.
func take(t *testing.T, k *Server, key string) {
	t.Helper()
	must.NoError(t, k.TakeOwnership(timeoutContext(t, eventTimeout), partitionOf(t, key)))
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func claim(t *testing.T, k *Server, now time.Time, key string, digest byte) (Decision, error) {
	return k.Claim(timeoutContext(t, eventTimeout), now, ClaimArgs{Key: key, Digest: claims.Digest{digest}, Daemon: "h/9"})
}

// requireFault fails the test if err is not a fault with kind and run.
func requireFault(t *testing.T, err error, kind fault.Kind, run fault.Run) {
	t.Helper()
	var f *fault.Fault
	must.True(t, errors.As(err, &f), must.Sprintf("error %v", err))
	must.Eq(t, kind, f.Kind, must.Sprint(f))
	must.Eq(t, run, f.Run, must.Sprint(f))
}

// TestLifecycle guards against a second grant of a key in any state of its
// claim, and against a refusal with the wrong kind or run statement.
func TestLifecycle(t *testing.T) {
	l := newMemLog()
	now := l.advance(0)
	k := start(t, l.link(), "h/1")
	key := newKey(now)
	_, err := claim(t, k, now, key, 1)
	must.True(t, IsNotOwner(err))
	take(t, k, key)
	d, err := claim(t, k, now, key, 1)
	must.NoError(t, err)
	must.Eq(t, Granted, d.State)
	again, err := k.Claim(timeoutContext(t, eventTimeout), now, ClaimArgs{Key: key, Digest: claims.Digest{1}, ID: d.ID})
	must.NoError(t, err)
	must.Eq(t, d, again)
	_, err = claim(t, k, now, key, 1)
	requireFault(t, err, fault.KeyInProgress, fault.RunUnknown)
	_, err = claim(t, k, now, key, 2)
	requireFault(t, err, fault.KeyMismatch, fault.RunUnknown)

	must.NoError(t, k.Withdraw(timeoutContext(t, eventTimeout), now, WithdrawArgs{Key: key, ID: d.ID}))
	_, err = k.Claim(timeoutContext(t, eventTimeout), now, ClaimArgs{Key: key, Digest: claims.Digest{1}, ID: d.ID})
	must.Error(t, err)
	d, err = claim(t, k, now, key, 2)
	must.NoError(t, err)
	must.NoError(t, k.Done(timeoutContext(t, eventTimeout), now, DoneArgs{Key: key, ID: d.ID, Answer: claims.StoredResponse{Status: 201, Body: []byte("ok")}}))
	eventually(t, "the answer is not replayed", func() bool {
		r, err := claim(t, k, now, key, 2)
		return err == nil && r.State == Replayed && r.Answer.Status == 201
	})
	requireFault(t, k.Withdraw(timeoutContext(t, eventTimeout), now, WithdrawArgs{Key: key, ID: d.ID}), fault.BadRequest, fault.RunNo)
	_, err = claim(t, k, now, key, 1)
	requireFault(t, err, fault.KeyMismatch, fault.RunNo)

	for text, want := range map[string]fault.Kind{"x": fault.BadRequest, newKey(now.Add(10 * time.Minute)): fault.BadRequest, newKey(now.Add(-2 * time.Hour)): fault.KeyExpired} {
		if text != "x" {
			take(t, k, text)
		}
		_, err := claim(t, k, now, text, 1)
		run := fault.RunNo
		if want == fault.KeyExpired {
			run = fault.RunUnknown
		}
		requireFault(t, err, want, run)
		var b bytes.Buffer
		must.NoError(t, gob.NewEncoder(&b).Encode(Reply{Refusal: NewRefusal(err)}))
		var r Reply
		must.NoError(t, gob.NewDecoder(&b).Decode(&r))
		requireFault(t, r.Refusal.Err(), want, run)
	}
}

// TestBatches guards against one log call per claim under load, instead of one
// per batch.
func TestBatches(t *testing.T) {
	l := newMemLog()
	link := l.link()
	now := l.advance(0)
	k := start(t, link, "h/1")
	key := newKey(now)
	take(t, k, key)
	var keys []string
	for len(keys) < 300 {
		if other := newKey(now); partitionOf(t, other) == partitionOf(t, key) {
			keys = append(keys, other)
		}
	}
	before := l.appendCount()
	gate := make(chan struct{})
	link.set(func(l *memLink) { l.gate = gate })
	for len(link.entered) > 0 {
		<-link.entered
	}
	var wg sync.WaitGroup
	var granted atomic.Int32
	for _, key := range keys {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if d, err := claim(t, k, now, key, 1); err == nil && d.State == Granted {
				granted.Add(1)
			}
		}()
	}
	p := k.partitions[partitionOf(t, key)]
	eventually(t, "claims do not wait together", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.pendingClaims) == len(keys)
	})
	link.set(func(l *memLink) { l.gate = nil })
	close(gate)
	wg.Wait()
	must.Eq(t, int32(len(keys)), granted.Load())
	// The first append may hold one claim, the others hold full batches. A gated
	// append that timed out is repeated.
	must.Less(t, 20, l.appendCount()-before)
}

// TestLogDown guards against a claim that is granted without a record, against a
// refusal that waits although nothing was appended, and against a key that stays
// blocked after the log's outage.
func TestLogDown(t *testing.T) {
	l := newMemLog()
	link := l.link()
	now := l.advance(0)
	k := start(t, link, "h/1")
	key := newKey(now)
	take(t, k, key)
	link.set(func(l *memLink) { l.down = true })
	_, err := claim(t, k, now, key, 1)
	requireFault(t, err, fault.LogUnavailable, fault.RunNo)
	link.set(func(l *memLink) { l.down = false })
	eventually(t, "the key is not granted after the outage", func() bool {
		d, err := claim(t, k, now, key, 1)
		return err == nil && d.State == Granted
	})
}

// TestLostReply guards against a key that stays blocked, or a request that is
// refused, only because the reply to an append was lost.
func TestLostReply(t *testing.T) {
	l := newMemLog()
	link := l.link()
	now := l.advance(0)
	k := start(t, link, "h/1")
	key := newKey(now)
	take(t, k, key)
	link.set(func(l *memLink) { l.loseReply = true })
	d, err := claim(t, k, now, key, 1)
	must.NoError(t, err)
	must.Eq(t, Granted, d.State)
}

// TestAbandoned guards against a grant after the refusal of a claim whose append
// had an unknown result, and against a key that stays blocked by such a claim,
// also if the claim's record takes effect after its withdrawal.
func TestAbandoned(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%v", late), func(t *testing.T) {
			l := newMemLog()
			link := l.link()
			now := l.advance(0)
			k := start(t, link, "h/1")
			key := newKey(now)
			take(t, k, key)
			id, err := claims.NewID(now.UnixMilli(), rand.Reader)
			must.NoError(t, err)
			a := ClaimArgs{Key: key, Digest: claims.Digest{1}, ID: id}
			link.set(func(l *memLink) { l.loseReply, l.readDown, l.delay = !late, true, late })
			_, err = k.Claim(timeoutContext(t, 60*time.Millisecond), now, a)
			requireFault(t, err, fault.LogUnavailable, fault.RunNo)
			_, err = k.Claim(timeoutContext(t, eventTimeout), now, a)
			requireFault(t, err, fault.LogUnavailable, fault.RunNo)
			link.set(func(l *memLink) { l.loseReply, l.readDown, l.delay = false, false, false })
			var d Decision
			eventually(t, "the key is not free after the withdrawal", func() bool {
				d, err = claim(t, k, now, key, 1)
				return err == nil
			})
			must.Eq(t, Granted, d.State)
			must.NotEq(t, id, d.ID)
			link.release()
			_, err = claim(t, k, now, key, 1)
			requireFault(t, err, fault.KeyInProgress, fault.RunUnknown)
			_, err = k.Claim(timeoutContext(t, eventTimeout), now, a)
			must.Error(t, err)
		})
	}
}

// TestPausedOwner guards against a grant by a former owner whose append is
// delayed past the takeover.
func TestPausedOwner(t *testing.T) {
	l := newMemLog()
	link := l.link()
	now := l.advance(0)
	a, b := start(t, link, "h/1"), start(t, l.link(), "h/2")
	key := newKey(now)
	take(t, a, key)
	for len(link.entered) > 0 {
		<-link.entered
	}
	gate := make(chan struct{})
	link.set(func(l *memLink) { l.gate, l.readDown = gate, true })
	type result struct {
		d   Decision
		err error
	}
	got := make(chan result)
	a.partitionFor(t, key).mu.Lock()
	a.partitionFor(t, key).readable = true
	a.partitionFor(t, key).mu.Unlock()
	go func() {
		d, err := claim(t, a, now, key, 1)
		got <- result{d, err}
	}()
	r, paused := result{}, false
	select {
	case <-link.entered:
		paused = true
	case r = <-got: // the failed read was seen first, and the claim refused
	}
	take(t, b, key)
	d, err := claim(t, b, now, key, 1)
	must.NoError(t, err)
	must.Eq(t, Granted, d.State)
	a.Assign([]string{"h/2"})
	link.set(func(l *memLink) { l.gate, l.readDown = nil, false })
	close(gate)
	if paused {
		r = <-got
	}
	must.Error(t, r.err)
	eventually(t, "the former owner does not stop", func() bool {
		_, err := claim(t, a, now, key, 1)
		return IsNotOwner(err)
	})
}

// partitionFor returns the partition of key.
func (s *Server) partitionFor(t *testing.T, key string) *partition {
	return s.partitions[partitionOf(t, key)]
}

// TestRetention guards against a second grant of a key whose claim record was
// dropped, both by an owner that missed records and by a new owner.
func TestRetention(t *testing.T) {
	l := newMemLog()
	link := l.link()
	now := l.advance(0)
	a := start(t, link, "h/1")
	key := newKey(now)
	take(t, a, key)
	_, err := claim(t, a, now, key, 1)
	must.NoError(t, err)
	link.set(func(l *memLink) { l.readDown = true })
	now = l.advance(2*time.Hour + time.Minute)
	l.drop()
	a.Assign([]string{"h/2"})
	b := start(t, l.link(), "h/2")
	take(t, b, key)
	_, err = claim(t, b, now, key, 1)
	requireFault(t, err, fault.KeyExpired, fault.RunUnknown)
	fresh := key
	for partitionOf(t, fresh) != partitionOf(t, key) || fresh == key {
		fresh = newKey(now)
	}
	d, err := claim(t, b, now, fresh, 1)
	must.NoError(t, err)
	must.Eq(t, Granted, d.State)
	now = l.advance(2*time.Hour + time.Minute)
	l.drop()
	link.set(func(l *memLink) { l.readDown = false })
	eventually(t, "the owner that missed records does not stop", func() bool {
		_, err := claim(t, a, now, key, 1)
		return IsNotOwner(err)
	})
	b.Assign([]string{"h/1"})
	take(t, a, key)
	for _, old := range []string{key, fresh} {
		_, err = claim(t, a, now, old, 1)
		requireFault(t, err, fault.KeyExpired, fault.RunUnknown)
	}
}

// TestPreferredOwner guards against an assignment that depends on the order of
// the names, is uneven, or moves partitions between daemons that did not change.
func TestPreferredOwner(t *testing.T) {
	all := []string{"h1/1", "h2/1", "h3/1", "h4/1"}
	count := map[string]int{}
	for p := range claims.Partitions {
		o := PreferredOwner(p, all)
		count[o]++
		must.Eq(t, o, PreferredOwner(p, []string{"h4/1", "h3/1", "h2/1", "h1/1"}))
		if o != "h4/1" {
			must.Eq(t, o, PreferredOwner(p, all[:3]))
		}
	}
	for _, d := range all {
		must.Between(t, 5, count[d], 32)
	}
	must.Eq(t, "", PreferredOwner(0, nil))
}
