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

// memLog is an in-memory log that can be down, lose answers and drop records.
type memLog struct {
	mu          sync.Mutex
	records     []logsvc.Record
	oldest      uint64
	down        bool
	loseAnswers int  // number of appends whose answer is lost
	served      int  // records in all answers
	maxPage     int  // pages with more records fail as too large; 0 for no limit
	blockReads  bool // a read that waits ends with its context
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
	if m.loseAnswers > 0 {
		m.loseAnswers--
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
	blockReads := m.blockReads
	m.served += len(p.Records)
	tooLarge := m.maxPage > 0 && len(p.Records) > m.maxPage
	m.mu.Unlock()
	switch {
	case down:
		return logsvc.Page{}, errDown
	case tooLarge:
		return logsvc.Page{}, &logsvc.Error{Kind: logsvc.BadAnswer, Op: "read"}
	case len(p.Records) == 0 && wait > 0 && blockReads:
		<-ctx.Done()
		return logsvc.Page{}, ctx.Err()
	case len(p.Records) == 0 && wait > 0:
		pause.For(ctx, time.Millisecond)
	}
	return p, nil
}

// set calls f, which changes fields of m, under the lock.
func (m *memLog) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// peers answers from another Follower; nil means that there is no peer.
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

// startFollower runs a Follower of log until the test ends. from is its only
// peer, if not nil.
func startFollower(t *testing.T, log *memLog, from *Follower) *Follower {
	t.Helper()
	f := New(log, peers{from}, Settings{RetryDelay: time.Millisecond, PollWait: 10 * time.Millisecond})
	go func() { _ = f.Run(t.Context()) }()
	return f
}

func publish(t *testing.T, replaces uint64) record.Publish {
	t.Helper()
	var b bytes.Buffer
	must.NoError(t, (&declare.Deployment{Name: "test", FailureDomains: []string{"a"}}).Encode(&b))
	return record.Publish{Publication: "p", Operator: "op", Replaces: replaces, Config: b.Bytes()}
}

// waitUntil waits until cond holds for f.
func waitUntil(t *testing.T, f *Follower, cond func(applied uint64, ready bool) bool) {
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
			t.Fatal("the follower did not reach the expected state")
		}
	}
}

func version(f *Follower) (v uint64) {
	f.View(func(state *ctrl.State) { v = state.Version() })
	return v
}

// TestLostAppendAnswer guards against an append that fails although it took
// effect, or that takes effect twice.
func TestLostAppendAnswer(t *testing.T) {
	log := &memLog{loseAnswers: 2}
	f := startFollower(t, log, nil)
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	must.Eq(t, uint64(1), version(f))
	log.set(func() { log.down = true })
	_, err = f.Append(t.Context(), publish(t, 1))
	must.Eq(t, fault.LogUnavailable, fault.Of(err).Kind)
}

// TestRecordsFromPeers guards against a daemon that does not receive a new
// configuration, or can't start, while only it is partitioned from the log.
func TestRecordsFromPeers(t *testing.T) {
	log, cut := &memLog{}, &memLog{down: true}
	f := startFollower(t, log, nil)
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	g := startFollower(t, cut, f)
	waitUntil(t, g, func(applied uint64, _ bool) bool { return applied == 1 })
	_, err = f.Append(t.Context(), publish(t, 1))
	must.NoError(t, err)
	waitUntil(t, g, func(applied uint64, _ bool) bool { return applied == 2 })
	must.Eq(t, uint64(2), version(g))
}

// TestReachableAfterOutage guards against a log that counts as unreachable
// after an outage until the first read has waited for PollWait.
func TestReachableAfterOutage(t *testing.T) {
	log := &memLog{}
	f := startFollower(t, log, nil)
	logUp := func(want bool) func(uint64, bool) bool {
		return func(uint64, bool) bool { _, _, up := f.Status(); return up == want }
	}
	waitUntil(t, f, func(_ uint64, ready bool) bool { return ready })
	log.set(func() { log.down = true })
	waitUntil(t, f, logUp(false))
	log.set(func() { log.down, log.blockReads = false, true })
	waitUntil(t, f, logUp(true))
}

// TestDroppedRecords guards against a state that is built from the retained
// records alone although earlier ones were dropped, and against a daemon that
// can't start from a snapshot or a peer's state.
func TestDroppedRecords(t *testing.T) {
	log := &memLog{}
	f := startFollower(t, log, nil)
	for v := range uint64(4) {
		_, err := f.Append(t.Context(), publish(t, v))
		must.NoError(t, err)
	}
	log.set(func() { log.oldest = 3 })
	lost := startFollower(t, log, nil)
	must.Eq(t, uint64(0), version(lost))

	must.NoError(t, f.AppendSnapshot(t.Context()))
	_, err := f.Append(t.Context(), publish(t, 4))
	must.NoError(t, err)
	waitUntil(t, lost, func(applied uint64, ready bool) bool { return ready && applied == 6 })
	must.Eq(t, uint64(6), version(lost))

	log.set(func() { log.oldest = 7 })
	g := startFollower(t, log, f)
	waitUntil(t, g, func(applied uint64, ready bool) bool { return ready && applied == 6 })
	must.Eq(t, uint64(6), version(g))
}

// TestOlderStateIgnored guards against a configuration that is reverted by a
// peer's older state.
func TestOlderStateIgnored(t *testing.T) {
	log := &memLog{}
	f := startFollower(t, log, nil)
	_, err := f.Append(t.Context(), publish(t, 0))
	must.NoError(t, err)
	old, err := f.Snapshot()
	must.NoError(t, err)
	_, err = f.Append(t.Context(), publish(t, 1))
	must.NoError(t, err)
	must.NoError(t, f.installState(old))
	must.Eq(t, uint64(2), version(f))
}

// TestLargeRecords guards against a follower that makes no progress because a
// page exceeds the client's limit on the size of answers.
func TestLargeRecords(t *testing.T) {
	log := &memLog{}
	b, err := record.Encode(publish(t, 0))
	must.NoError(t, err)
	for range 100 {
		_, _, err := log.Append(t.Context(), StreamName, b)
		must.NoError(t, err)
	}
	log.set(func() { log.maxPage = 5 })
	f := startFollower(t, log, nil)
	waitUntil(t, f, func(applied uint64, ready bool) bool { return applied == 100 && ready })
}

// TestSnapshotDue guards against a stream with few records that are dropped
// before a snapshot covers them, and against a snapshot that makes another one
// due.
func TestSnapshotDue(t *testing.T) {
	log := &memLog{}
	f := startFollower(t, log, nil)
	waitUntil(t, f, func(_ uint64, ready bool) bool { return ready })
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
	log := &memLog{}
	f := startFollower(t, log, nil)
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
	for range maxRecentRecords + 10 {
		_, _, err := log.Append(t.Context(), StreamName, b)
		must.NoError(t, err)
	}
	waitUntil(t, f, func(applied uint64, _ bool) bool { return applied == maxRecentRecords+12 })
	must.Eq(t, uint64(13), f.RecentRecords(0).Oldest)
	replay()
}

// TestStartFromPeer guards against a starting daemon that reads a long stream
// although a peer has the state, and against one that can't start without a
// peer.
func TestStartFromPeer(t *testing.T) {
	log := &memLog{}
	b, err := record.Encode(record.HostGone{Host: "h"})
	must.NoError(t, err)
	pub, err := record.Encode(publish(t, 0))
	must.NoError(t, err)
	_, _, err = log.Append(t.Context(), StreamName, pub)
	must.NoError(t, err)
	for range 1000 {
		_, _, err := log.Append(t.Context(), StreamName, b)
		must.NoError(t, err)
	}
	ready := func(applied uint64, ready bool) bool { return applied == 1001 && ready }
	alone := startFollower(t, log, nil)
	waitUntil(t, alone, ready)
	before := 0
	log.set(func() { before = log.served })
	g := startFollower(t, log, alone)
	waitUntil(t, g, ready)
	log.set(func() { must.Less(t, pageRecords+1, log.served-before) })
	must.Eq(t, uint64(1), version(g))
}
