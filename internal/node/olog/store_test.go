package olog

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/node/feed"
	"github.com/azurespan/azurespan/internal/rule/opener"
)

type (
	// testTopic is a keyed topic that several daemons share.
	testTopic struct {
		records map[string]feed.Record
		end     logpos.Position
		reads   int
		writes  int
		err     error
	}

	// daemon is a Store with its table. It implements Holder.
	daemon struct {
		*Store
		table     *origin.Table
		clock     *time.Time
		holds     bool
		lastReply time.Time
		// opener decides while the daemon is the holder, and seen are the versions in
		// the register.
		opener   *opener.Opener
		tenureAt time.Time
		seen     []string
		// other is the holder that the daemon asks, nil for none, and asked counts
		// the questions.
		other *daemon
		asked int
		// deafFor is the number of questions that fail before the holder is reached.
		deafFor int
	}
)

var errUnavailable = errors.New("unavailable")

func (t *testTopic) Newest(context.Context) (*feed.Page, error) {
	t.reads++
	p := &feed.Page{Next: t.end, End: t.end}
	for _, r := range t.records {
		p.Records = append(p.Records, r)
	}
	return p, t.err
}

func (t *testTopic) Put(_ context.Context, key string, value []byte) error {
	if t.err != nil {
		return t.err
	}
	t.writes++
	t.records[key] = feed.Record{Key: key, Value: value, Offset: t.end}
	t.end++
	return nil
}

func (d *daemon) Holds() bool          { return d.holds }
func (d *daemon) LastReply() time.Time { return d.lastReply }

func (d *daemon) Origin(_ context.Context, id uint64) (origin.Stream, bool, error) {
	if d.other == nil {
		return origin.Stream{}, false, errUnavailable
	}
	if d.asked++; d.asked <= d.deafFor {
		return origin.Stream{}, false, errUnavailable
	}
	s, ok := d.other.table.Origin(id)
	return s, ok, nil
}

// newDaemon returns a daemon that has just started, with a current view of a register
// of the given versions.
func newDaemon(topic *testTopic, host string, clock *time.Time, versions ...string) *daemon {
	d := &daemon{table: origin.New(time.Second), clock: clock}
	now := func() time.Time { return *clock }
	d.Store = New(host, topic, d.table, d, nil, now, now)
	d.see(versions...)
	return d
}

// see records that the register, as this daemon knows it, has the given versions.
func (d *daemon) see(versions ...string) {
	d.seen = versions
	for _, v := range versions {
		d.table.Registered(*d.clock, "s", v)
	}
}

// VersionState decides as the loader does: all registered versions serve.
func (d *daemon) VersionState() (origin.State, bool) {
	if !d.holds {
		return origin.State{}, false
	}
	if d.opener == nil {
		d.opener, d.tenureAt = opener.New(*d.clock, d.table.TTL()), *d.clock
	}
	if s, readAt, fresh := d.table.Stored(); !d.opener.Resumed() && !readAt.Before(d.tenureAt) {
		d.opener.Resume(*d.clock, s, fresh)
	}
	for _, v := range d.seen {
		d.opener.Serve(*d.clock, "s", v)
	}
	d.opener.Update(*d.clock)
	s, rev := d.opener.State()
	if rev > 0 {
		d.table.Hold(*d.clock, *d.clock, origin.Revision{Fence: 1, Rev: rev}, &s)
	}
	return s, rev > 0
}

func (d *daemon) VersionStateWritten(s origin.State) { d.opener.Written(*d.clock, s) }

// only returns the version of all streams of the service that may be resumed, by what the
// log has now.
func (d *daemon) only(t *testing.T) (string, bool) {
	t.Helper()
	*d.clock = d.clock.Add(time.Millisecond)
	must.NoError(t, d.Refresh(context.Background()))
	return d.table.Only(*d.clock, *d.clock, "s")
}

// run lets the daemon do what is due, the first read included.
func (d *daemon) run(t *testing.T) {
	t.Helper()
	for range 2 {
		must.NoError(t, d.step(context.Background()))
	}
}

func (d *daemon) version(t *testing.T, id uint64) string {
	t.Helper()
	must.NoError(t, d.Refresh(context.Background()))
	s, _ := d.table.Origin(id)
	return s.Version
}

func newSite() (*testTopic, *time.Time) {
	now := time.Unix(1000, 0)
	return &testTopic{records: map[string]feed.Record{}}, &now
}

// TestStartedDaemonFindsStreams guards against a daemon that has just started and
// doesn't know at which version a stream began, after all former daemons have ended.
func TestStartedDaemonFindsStreams(t *testing.T) {
	topic, now := newSite()
	holder := newDaemon(topic, "a", now, "v1", "v2")
	holder.holds = true
	holder.run(t)
	holder.table.Begin(*now, origin.Stream{ID: 1, Service: "s", Version: "v2"})
	// Another daemon's streams, as it tells them.
	holder.table.Learn(*now, []origin.Stream{{ID: 2, Service: "s", Version: "v1"}})
	holder.run(t)
	started := newDaemon(topic, "a", now, "v1")
	must.Eq(t, "v2", started.version(t, 1))
	must.Eq(t, "v1", started.version(t, 2))
	must.Eq(t, "", started.version(t, 3))
	// All upstreams of v2 are gone, but streams that began there may be resumed.
	_, only := started.table.Only(*now, *now, "s")
	must.False(t, only)
}

// TestDaemonOutOfContactWrites guards against streams that no other daemon can know,
// because they began at a daemon that isn't in contact with the holder; and against
// writes of every daemon while the holder writes for all.
func TestDaemonOutOfContactWrites(t *testing.T) {
	topic, now := newSite()
	d := newDaemon(topic, "b", now, "v1", "v2")
	d.lastReply = *now
	d.run(t)
	d.table.Begin(*now, origin.Stream{ID: 1, Service: "s", Version: "v1"})
	d.run(t)
	must.Eq(t, 0, topic.writes)
	*now = now.Add(2 * contactTTL)
	d.table.Begin(*now, origin.Stream{ID: 2, Service: "s", Version: "v2"})
	d.run(t)
	other := newDaemon(topic, "c", now, "v1", "v2")
	// The holder may have ended before it wrote what it was told.
	must.Eq(t, "v1", other.version(t, 1))
	must.Eq(t, "v2", other.version(t, 2))
}

// TestSingleVersionCostsNothing guards against a write for each stream, or a read for
// each one that is resumed, while a service has one version.
func TestSingleVersionCostsNothing(t *testing.T) {
	topic, now := newSite()
	d := newDaemon(topic, "a", now, "v1")
	d.holds = true
	for i := range 200 {
		d.see("v1")
		d.table.Begin(*now, origin.Stream{ID: uint64(i), Service: "s", Version: "v1"})
		d.run(t)
		*now = now.Add(writeInterval)
	}
	// What is registered, and what the holder has decided.
	must.Eq(t, 2, topic.writes)
	must.Eq(t, 1, topic.reads)
	v, only := newDaemon(topic, "b", now, "v1").only(t)
	must.True(t, only)
	must.Eq(t, "v1", v)
}

// TestRecordsCoverRetention guards against streams that are overwritten in the log
// while they may still be resumed, also after a restart of the writer, and against a
// topic that grows without end.
func TestRecordsCoverRetention(t *testing.T) {
	topic, now := newSite()
	var d *daemon
	id := uint64(0)
	for i := range 5 * slots {
		if i%(2*slots) == slots/2 {
			d = nil // a restart
		}
		if d == nil {
			d = newDaemon(topic, "a", now, "v1", "v2")
			d.holds = true
			d.run(t)
		}
		d.see("v1", "v2")
		id++
		d.table.Begin(*now, origin.Stream{ID: id, Service: "s", Version: fmt.Sprint("v", 1+id%2)})
		must.NoError(t, d.step(context.Background()))
		*now = now.Add(writeInterval)
	}
	// Those of streams, the versions and the state.
	must.LessEq(t, slots+2, len(topic.records))
	reader := newDaemon(topic, "b", now, "v1", "v2")
	for known := id; known > id-uint64(slots)+2; known-- {
		must.Eq(t, fmt.Sprint("v", 1+known%2), reader.version(t, known), must.Sprint(id-known))
	}
}

// TestExpiredVersionsAreRemoved guards against a service that counts as one of several
// versions for ever, because a daemon that is gone has recorded one.
func TestExpiredVersionsAreRemoved(t *testing.T) {
	topic, now := newSite()
	former := newDaemon(topic, "a", now, "v1", "v2")
	former.holds = true
	former.run(t)
	d := newDaemon(topic, "b", now, "v2")
	d.holds = true
	for range 2 * int(origin.Retention/time.Second) {
		d.see("v2")
		d.run(t)
		*now = now.Add(time.Second)
	}
	v, only := newDaemon(topic, "c", now, "v2").only(t)
	must.True(t, only)
	must.Eq(t, "v2", v)
}

// TestLogOutage guards against streams that are lost because the log was unavailable as
// they began, and against a daemon that takes what it knows for all while it can't read.
func TestLogOutage(t *testing.T) {
	topic, now := newSite()
	d := newDaemon(topic, "a", now, "v1", "v2")
	d.holds = true
	d.run(t)
	topic.err = errUnavailable
	d.table.Begin(*now, origin.Stream{ID: 1, Service: "s", Version: "v2"})
	must.ErrorIs(t, d.step(context.Background()), errUnavailable)
	started := newDaemon(topic, "b", now, "v1")
	must.ErrorIs(t, started.Refresh(context.Background()), errUnavailable)
	_, only := started.table.Only(*now, *now, "s")
	must.False(t, only)
	topic.err = nil
	d.run(t)
	must.Eq(t, "v2", started.version(t, 1))
}

// TestRecordSize bounds the bytes of a record at the size that azurespan is designed
// for: 1,800 streams a second of one service with two versions.
func TestRecordSize(t *testing.T) {
	const perSecond, maxBytesPerStream, recordBytes = 1800, 22, 256 << 10
	topic, now := newSite()
	d := newDaemon(topic, "a", now, "v1", "v2")
	d.holds = true
	d.run(t)
	perWrite := perSecond * int(writeInterval/time.Millisecond) / 1000
	for i := range perWrite {
		d.table.Begin(*now, origin.Stream{ID: uint64(1)<<62 + uint64(i), Service: "s", Version: fmt.Sprint("v", 1+i%2)})
	}
	d.run(t)
	largest := 0
	for _, r := range topic.records {
		largest = max(largest, len(r.Value))
	}
	t.Logf("%d streams in %d bytes", perWrite, largest)
	must.LessEq(t, perWrite*maxBytesPerStream, largest)
	must.LessEq(t, recordBytes, maxStreams*maxBytesPerStream)
}

// blockedTopic is a topic whose reads get no response until their context ends.
type blockedTopic struct {
	testTopic
	began chan struct{}
}

func (t *blockedTopic) Newest(ctx context.Context) (*feed.Page, error) {
	t.began <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestRefreshEndsWithItsContext guards against callers that wait for a read of the log
// by another one, for longer than they allow, while the log doesn't respond.
func TestRefreshEndsWithItsContext(t *testing.T) {
	_, now := newSite()
	topic := &blockedTopic{began: make(chan struct{})}
	d := newDaemon(&topic.testTopic, "a", now, "v1")
	d.Store.topic = topic
	ctx, stop := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- d.step(ctx) }()
	<-topic.began
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	second := make(chan error, 1)
	go func() { second <- d.Refresh(ended) }()
	select {
	case err := <-second:
		must.ErrorIs(t, err, context.Canceled)
	case <-time.After(5 * time.Second):
		t.Error("the second call waits for the read of the first one")
	}
	stop()
	must.ErrorIs(t, <-first, context.Canceled)
}

// lateTopic is a topic on which a write may get no response and be done later.
type lateTopic struct {
	testTopic
	lose bool
	late []func()
}

func (t *lateTopic) Put(ctx context.Context, key string, value []byte) error {
	if t.lose {
		t.late = append(t.late, func() { _ = t.testTopic.Put(ctx, key, value) })
		return context.DeadlineExceeded
	}
	return t.testTopic.Put(ctx, key, value)
}

// TestLateWrite guards against a write without a response that is done seconds later and
// replaces a newer record, so that the streams of that one are lost.
func TestLateWrite(t *testing.T) {
	_, now := newSite()
	topic := &lateTopic{testTopic: testTopic{records: map[string]feed.Record{}}}
	d := newDaemon(&topic.testTopic, "a", now, "v1", "v2")
	d.Store.topic = topic
	d.holds = true
	d.run(t)
	topic.lose = true
	d.table.Begin(*now, origin.Stream{ID: 1, Service: "s", Version: "v1"})
	must.ErrorIs(t, d.step(context.Background()), context.DeadlineExceeded)
	topic.lose = false
	d.table.Begin(*now, origin.Stream{ID: 2, Service: "s", Version: "v2"})
	d.run(t)
	for _, do := range topic.late {
		do()
	}
	started := newDaemon(&topic.testTopic, "b", now, "v1")
	must.Eq(t, "v1", started.version(t, 1))
	must.Eq(t, "v2", started.version(t, 2))
}

// TestRecordOfGoneHostIsRemoved guards against a version that counts as served for ever,
// so that daemons that start refuse streams: it was recorded by a daemon that was out of
// contact with the holder and has never become the holder itself.
func TestRecordOfGoneHostIsRemoved(t *testing.T) {
	topic, now := newSite()
	holder := newDaemon(topic, "a", now, "v1")
	holder.holds = true
	holder.run(t)
	apart := newDaemon(topic, "b", now, "v1", "v2")
	apart.run(t)
	// The holder never sees v2, which has gone when contact is back; "b" is gone as well.
	for range 5 * int(origin.Retention/time.Second) {
		*now = now.Add(time.Second)
		holder.see("v1")
		must.NoError(t, holder.step(context.Background()))
	}
	started := newDaemon(topic, "c", now, "v1")
	_, only := started.only(t)
	must.True(t, only)
}

// TestNewHolderKnowsTheTopic guards against a holder that doesn't record a version
// because it takes a record for present that a former holder has removed.
func TestNewHolderKnowsTheTopic(t *testing.T) {
	topic, now := newSite()
	former := newDaemon(topic, "a", now, "v1", "v2")
	former.holds = true
	former.run(t)
	next := newDaemon(topic, "b", now, "v1")
	next.lastReply = *now
	next.run(t)
	for range 2 * int(origin.Retention/time.Second) {
		*now = now.Add(time.Second)
		former.see("v1")
		former.run(t)
		next.see("v1")
		next.lastReply = *now
		next.run(t)
	}
	next.holds = true
	next.see("v1", "v2")
	next.run(t)
	next.run(t)
	started := newDaemon(topic, "c", now, "v1")
	v, only := started.only(t)
	must.True(t, only)
	must.Eq(t, "v1", v)
	state, _, _ := started.table.Stored()
	must.Eq(t, []string{"v1", "v2"}, state.Announced["s"])
	for range 15 {
		*now = now.Add(time.Second)
		next.see("v1", "v2")
		next.run(t)
	}
	_, only = started.only(t)
	must.False(t, only, must.Sprint("v2 is open"))
}

// TestRestoredLog guards against streams that no other daemon can resume, because the
// log has come back from a copy without the records of the last seconds.
func TestRestoredLog(t *testing.T) {
	topic, now := newSite()
	d := newDaemon(topic, "a", now, "v1", "v2")
	d.holds = true
	d.run(t)
	copied := maps.Clone(topic.records)
	for id := range uint64(10) {
		*now = now.Add(writeInterval)
		d.table.Begin(*now, origin.Stream{ID: id, Service: "s", Version: "v2"})
		must.NoError(t, d.step(context.Background()))
	}
	topic.err = errUnavailable
	*now = now.Add(writeInterval)
	d.table.Begin(*now, origin.Stream{ID: 10, Service: "s", Version: "v2"})
	must.ErrorIs(t, d.step(context.Background()), errUnavailable)
	topic.records, topic.err = copied, nil
	*now = now.Add(writeInterval)
	d.run(t)
	started := newDaemon(topic, "b", now, "v1")
	for id := range uint64(11) {
		must.Eq(t, "v2", started.version(t, id), must.Sprint("stream ", id))
	}
}

// TestLostHolderCostsNoReads guards against reads of all daemons at once when the holder
// is lost, or after an outage of the log without a holder.
func TestLostHolderCostsNoReads(t *testing.T) {
	topic, now := newSite()
	var daemons []*daemon
	for i := range 33 {
		d := newDaemon(topic, fmt.Sprint("d", i), now, "v1", "v2")
		d.lastReply = *now
		d.table.Hold(*now, *now, origin.Revision{Fence: 1, Rev: 1}, &origin.State{Complete: true})
		d.run(t)
		daemons = append(daemons, d)
	}
	must.Eq(t, 33, topic.reads)
	for i := range 20 {
		*now = now.Add(time.Second)
		topic.err = nil
		if i%4 == 2 {
			topic.err = errUnavailable
		}
		for j, d := range daemons {
			d.table.Begin(*now, origin.Stream{ID: uint64(100*i + j), Service: "s", Version: "v1"})
			_ = d.step(context.Background()) // fails in the outage
		}
	}
	must.Eq(t, 33, topic.reads)
}

// putHook is a topic that calls before during each write.
type putHook struct {
	testTopic
	before func()
}

func (t *putHook) Put(ctx context.Context, key string, value []byte) error {
	t.before()
	return t.testTopic.Put(ctx, key, value)
}

// TestLossIsSeenDuringWrite guards against records that a restored log has lost, and that
// aren't written again because the search for an origin finds that out during a write.
func TestLossIsSeenDuringWrite(t *testing.T) {
	_, now := newSite()
	topic := &putHook{testTopic: testTopic{records: map[string]feed.Record{}}, before: func() {}}
	d := newDaemon(&topic.testTopic, "a", now, "v1", "v2")
	d.Store.topic = topic
	d.holds = true
	d.run(t)
	for id := range uint64(2) {
		*now = now.Add(writeInterval)
		d.table.Begin(*now, origin.Stream{ID: id, Service: "s", Version: "v2"})
		d.run(t)
		topic.before = func() {
			clear(topic.records)
			*now = now.Add(writeInterval)
			must.NoError(t, d.Refresh(context.Background()))
			topic.before = func() {}
		}
	}
	*now = now.Add(writeInterval)
	d.run(t)
	started := newDaemon(&topic.testTopic, "b", now, "v1")
	for id := range uint64(2) {
		must.Eq(t, "v2", started.version(t, id), must.Sprint("stream ", id))
	}
}

// TestVersionsStayInTopic guards against a moment in which the topic lacks versions that
// are served, because the holder removes a former holder's record before it writes its own.
func TestVersionsStayInTopic(t *testing.T) {
	topic, now := newSite()
	former := newDaemon(topic, "a", now, "v1", "v2", "v3")
	former.holds = true
	former.run(t)
	d := newDaemon(topic, "b", now, "v1", "v2")
	d.holds = true
	for range 2 * int(origin.Retention/time.Second) {
		*now = now.Add(time.Second)
		d.see("v1", "v2")
		must.NoError(t, d.step(context.Background()))
		started := newDaemon(topic, "c", now, "v1")
		_, only := started.only(t)
		must.False(t, only)
	}
}

// TestContactRegained guards against a daemon that refuses streams because it was out of
// contact with the holder and the log and reads neither again, and against reads of the
// log by a daemon that hears from the holder.
func TestContactRegained(t *testing.T) {
	topic, now := newSite()
	holder := newDaemon(topic, "h", now, "v1")
	holder.holds = true
	holder.run(t)
	d := newDaemon(topic, "a", now, "v1")
	d.lastReply = *now
	d.run(t)
	reads := topic.reads
	state, _ := holder.VersionState()
	for range 300 {
		d.table.Hold(*now, *now, origin.Revision{Fence: 1, Rev: 1}, &state)
		d.lastReply = *now
		must.NoError(t, d.step(context.Background()))
		*now = now.Add(writeInterval)
	}
	must.Eq(t, reads, topic.reads)
	topic.err = errUnavailable
	_, only := d.table.Only(*now, now.Add(time.Second), "s")
	must.True(t, only)
	*now = now.Add(time.Minute)
	_, only = d.table.Only(*now, now.Add(time.Second), "s")
	must.False(t, only)
	// Either the holder or the log will do.
	d.table.Hold(*now, *now, origin.Revision{Fence: 1, Rev: 1}, nil)
	_, only = d.table.Only(*now, now.Add(time.Second), "s")
	must.True(t, only)
	*now = now.Add(time.Minute)
	topic.err = nil
	_, only = d.only(t)
	must.True(t, only)
}
