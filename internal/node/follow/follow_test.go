package follow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/check/trace"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

// memLog is a log in memory that can be down, lose answers and drop records.
type memLog struct {
	mu      sync.Mutex
	records []logsvc.Record
	oldest  uint64
	down    bool
	lose    int
	served  int  // records in all answers
	large   int  // pages with more records fail as too large
	patient bool // a read that waits ends with its context
}

var errDown = &logsvc.Error{Kind: logsvc.Outage, Op: "test"}

func (m *memLog) Append(_ context.Context, _ string, data ...[]byte) (uint64, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, 0, errDown
	}
	first := uint64(len(m.records) + 1)
	for _, d := range data {
		m.records = append(m.records, logsvc.Record{Offset: uint64(len(m.records) + 1), TimeMS: 1, Data: d})
	}
	if m.lose > 0 {
		m.lose--
		return 0, 0, &logsvc.Error{Kind: logsvc.Unreachable, Op: "append", Ambiguous: true}
	}
	return first, 1, nil
}

func (m *memLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (logsvc.Page, error) {
	m.mu.Lock()
	p := logsvc.Page{Oldest: max(m.oldest, 1), End: uint64(len(m.records) + 1)}
	down := m.down
	for _, r := range m.records {
		if r.Offset >= max(from, p.Oldest) && len(p.Records) < limit {
			p.Records = append(p.Records, r)
		}
	}
	patient := m.patient
	m.served += len(p.Records)
	tooLarge := m.large > 0 && len(p.Records) > m.large
	m.mu.Unlock()
	switch {
	case down:
		return logsvc.Page{}, errDown
	case tooLarge:
		return logsvc.Page{}, &logsvc.Error{Kind: logsvc.BadAnswer, Op: "read"}
	case len(p.Records) == 0 && wait > 0 && patient:
		<-ctx.Done()
		return logsvc.Page{}, ctx.Err()
	case len(p.Records) == 0 && wait > 0:
		pause.For(ctx, time.Millisecond)
	}
	return p, nil
}

func (m *memLog) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// peers answers from another follower, nil for none.
type peers struct{ f *Follower }

func (p peers) Records(_ context.Context, from uint64) (logsvc.Page, error) {
	if p.f == nil {
		return logsvc.Page{}, errors.ErrUnsupported
	}
	return p.f.RecentRecords(from), nil
}

func (p peers) State(context.Context) ([]byte, error) {
	if p.f == nil {
		return nil, errors.ErrUnsupported
	}
	return p.f.Snapshot()
}

func start(t *testing.T, l *memLog, from *Follower) *Follower {
	t.Helper()
	f := New(l, peers{from}, Settings{RetryDelay: time.Millisecond, PollWait: 10 * time.Millisecond})
	go func() { _ = f.Run(t.Context()) }()
	return f
}

func publish(t *testing.T, replaces uint64) record.Publish {
	t.Helper()
	var b bytes.Buffer
	must.NoError(t, (&declare.Deployment{Name: "test", FailureDomains: []string{"a"}}).Encode(&b))
	return record.Publish{Publication: "p", Operator: "op", Replaces: replaces, Config: b.Bytes()}
}

// until waits until cond holds for the follower.
func until(t *testing.T, f *Follower, cond func(applied uint64, ready bool) bool) {
	t.Helper()
	for {
		changed := f.Changed()
		if applied, ready, _ := f.Status(); cond(applied, ready) {
			return
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("the follower did not get there")
		}
	}
}

func version(f *Follower) (v uint64) {
	f.View(func(l *ctrl.State) { v = l.Version() })
	return v
}

// TestLostAnswer guards against an append that is given up although it took
// effect, or that takes effect twice.
func TestLostAnswer(t *testing.T) {
	l := &memLog{lose: 2}
	f := start(t, l, nil)
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	must.Eq(t, uint64(1), version(f))
	l.set(func() { l.down = true })
	_, err = f.Append(t.Context(), publish(t, 1))
	must.Eq(t, fault.LogUnavailable, fault.Of(err).Kind)
}

// TestFromPeers guards against a daemon that hears nothing of a publication,
// or can't start, while only it is cut off from the log.
func TestFromPeers(t *testing.T) {
	l, cut := &memLog{}, &memLog{down: true}
	f := start(t, l, nil)
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	g := start(t, cut, f)
	until(t, g, func(applied uint64, _ bool) bool { return applied == 1 })
	_, err = f.Append(t.Context(), publish(t, 1))
	must.NoError(t, err)
	until(t, g, func(applied uint64, _ bool) bool { return applied == 2 })
	must.Eq(t, uint64(2), version(g))
}

// TestReachableAfterOutage guards against a log that counts as unreachable
// after an outage until the first read has waited its full time.
func TestReachableAfterOutage(t *testing.T) {
	l := &memLog{}
	f := start(t, l, nil)
	logUp := func(want bool) func(uint64, bool) bool {
		return func(uint64, bool) bool { _, _, up := f.Status(); return up == want }
	}
	until(t, f, func(_ uint64, ready bool) bool { return ready })
	l.set(func() { l.down = true })
	until(t, f, logUp(false))
	l.set(func() { l.down, l.patient = false, true })
	until(t, f, logUp(true))
}

// TestDroppedRecords guards against a fold that starts after the retained
// records without a snapshot, and against one that can't start with one.
func TestDroppedRecords(t *testing.T) {
	l := &memLog{}
	f := start(t, l, nil)
	for v := range uint64(4) {
		_, err := f.Append(t.Context(), publish(t, v))
		must.NoError(t, err)
	}
	l.set(func() { l.oldest = 3 })
	lost := start(t, l, nil)
	must.Eq(t, uint64(0), version(lost))

	must.NoError(t, f.AppendSnapshot(t.Context()))
	_, err := f.Append(t.Context(), publish(t, 4))
	must.NoError(t, err)
	until(t, lost, func(applied uint64, ready bool) bool { return ready && applied == 6 })
	must.Eq(t, uint64(6), version(lost))

	l.set(func() { l.oldest = 7 })
	g := start(t, l, f)
	until(t, g, func(applied uint64, ready bool) bool { return ready && applied == 6 })
	must.Eq(t, uint64(6), version(g))
}

// TestOlderState guards against a peer's older state that makes a
// configuration revert.
func TestOlderState(t *testing.T) {
	l := &memLog{}
	f := start(t, l, nil)
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	old, err := f.Snapshot()
	must.NoError(t, err)
	_, err = f.Append(t.Context(), publish(t, 1))
	must.NoError(t, err)
	must.NoError(t, f.install(old))
	must.Eq(t, uint64(2), version(f))
}

// TestLargeRecords guards against a follower that never gets past a page that
// exceeds the client's bound.
func TestLargeRecords(t *testing.T) {
	l := &memLog{}
	b, err := record.Encode(publish(t, 0))
	must.NoError(t, err)
	for range 100 {
		_, _, err := l.Append(t.Context(), Stream, b)
		must.NoError(t, err)
	}
	l.set(func() { l.large = 5 })
	f := start(t, l, nil)
	until(t, f, func(applied uint64, ready bool) bool { return applied == 100 && ready })
}

// TestSnapshotDue guards against a quiet stream whose records are dropped
// before a snapshot covers them, and against endless snapshots of snapshots.
func TestSnapshotDue(t *testing.T) {
	l := &memLog{}
	f := start(t, l, nil)
	until(t, f, func(_ uint64, ready bool) bool { return ready })
	now := time.UnixMilli(1).Add(2 * time.Hour)
	must.False(t, f.SnapshotDue(now))
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	must.True(t, f.SnapshotDue(now))
	must.NoError(t, f.AppendSnapshot(t.Context()))
	must.False(t, f.SnapshotDue(now))
	_, err = f.Append(t.Context(), publish(t, 1))
	must.NoError(t, err)
	must.True(t, f.SnapshotDue(now))
	must.False(t, f.SnapshotDue(time.UnixMilli(1).Add(time.Minute)))
}

// TestRecording guards against a recording that does not replay, from the start
// of the stream and after older records were dropped.
func TestRecording(t *testing.T) {
	l := &memLog{}
	f := start(t, l, nil)
	replay := func() {
		t.Helper()
		base, outcomes, err := f.Recording()
		must.NoError(t, err)
		var b bytes.Buffer
		must.NoError(t, trace.Record(&b, base, outcomes))
		must.NoError(t, trace.Replay(&b, io.Discard))
	}
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	_, err = f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	replay()
	b, err := record.Encode(record.HostGone{Host: "h"})
	must.NoError(t, err)
	for range keepRecent + 10 {
		_, _, err := l.Append(t.Context(), Stream, b)
		must.NoError(t, err)
	}
	until(t, f, func(applied uint64, _ bool) bool { return applied == keepRecent+12 })
	must.Eq(t, uint64(13), f.RecentRecords(0).Oldest)
	replay()
}

// TestLongStream guards against a starting daemon that reads a long stream
// although a peer has the state, and against one that can't start without a
// peer.
func TestLongStream(t *testing.T) {
	l := &memLog{}
	b, err := record.Encode(record.HostGone{Host: "h"})
	must.NoError(t, err)
	pub, err := record.Encode(publish(t, 0))
	must.NoError(t, err)
	_, _, err = l.Append(t.Context(), Stream, pub)
	must.NoError(t, err)
	for range 1000 {
		_, _, err := l.Append(t.Context(), Stream, b)
		must.NoError(t, err)
	}
	ready := func(applied uint64, ready bool) bool { return applied == 1001 && ready }
	alone := start(t, l, nil)
	until(t, alone, ready)
	before := 0
	l.set(func() { before = l.served })
	g := start(t, l, alone)
	until(t, g, ready)
	l.set(func() { must.Less(t, pageMax+1, l.served-before) })
	must.Eq(t, uint64(1), version(g))
}
