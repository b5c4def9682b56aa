package qlog

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/blame"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/node/feed"
)

// platformCountsAfter is the time after the third crash from which the platform
// counts further sends of a request (contact time of the first deployments).
const platformCountsAfter = 3 * time.Second

var start = time.Unix(1_000_000, 0)

// fakeTopic is a keyed topic in memory.
type fakeTopic struct {
	mu      sync.Mutex
	records []feed.Record
	// failing makes all calls fail.
	failing bool
	puts    int
}

func (f *fakeTopic) page(from logpos.Position) (*feed.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return nil, &feed.StatusError{Status: 503}
	}
	end := logpos.Position(len(f.records))
	return &feed.Page{Records: append([]feed.Record(nil), f.records[min(from, end):]...), Next: end, End: end}, nil
}

func (f *fakeTopic) Newest(context.Context) (*feed.Page, error) { return f.page(0) }

func (f *fakeTopic) Read(_ context.Context, from logpos.Position, _ time.Duration) (*feed.Page, error) {
	return f.page(from)
}

func (f *fakeTopic) Put(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if f.failing {
		return &feed.StatusError{Status: 503}
	}
	f.records = append(f.records, feed.Record{Key: key, Value: value, Offset: logpos.Position(len(f.records))})
	return nil
}

// daemon is a Store with its table; it implements Holder.
type daemon struct {
	*Store
	topic     *fakeTopic
	holds     bool
	lastReply time.Time
	at        time.Time
}

func (d *daemon) Holds() bool          { return d.holds }
func (d *daemon) LastReply() time.Time { return d.lastReply }

// newDaemon returns a daemon in contact with the holder that has read the topic.
func newDaemon(t *testing.T, topic *fakeTopic, id uint64) *daemon {
	d := &daemon{topic: topic, at: start, lastReply: start}
	crashes := poison.New(poison.Settings{Retention: time.Minute}, id)
	d.Store = New(fmt.Sprint("h", id), topic, crashes, blame.New(crashes), d, nil, nil, func() time.Time { return d.at })
	d.read(t)
	return d
}

// read reads the whole topic.
func (d *daemon) read(t *testing.T) {
	t.Helper()
	p, err := d.topic.Newest(t.Context())
	must.NoError(t, err)
	d.Replace(d.at, p)
}

func (d *daemon) quarantined() bool {
	verdict, _ := d.crashes.Judge(d.at, "f")
	return verdict == poison.Quarantined
}

// observe records crashes of the request "f".
func (d *daemon) observe(n int) {
	for i := range n {
		d.observeOn(fmt.Sprint("u", i))
	}
}

// observeOn records a crash of an upstream by the request "f".
func (d *daemon) observeOn(upstream string) {
	d.crashes.Observe("f", poison.Crash{ID: upstream, At: d.at})
}

// TestQuarantineIsStored guards against a request that all daemons forget when
// they lose power at once, and against one that a daemon without contact with the
// holder doesn't learn of.
func TestQuarantineIsStored(t *testing.T) {
	topic := &fakeTopic{}
	a := newDaemon(t, topic, 1)
	a.observe(1)
	must.NoError(t, a.writeDue(t.Context()))
	must.Eq(t, 0, topic.puts) // the holder passes on a suspect
	a.observe(3)
	must.NoError(t, a.writeDue(t.Context()))
	must.NoError(t, a.writeDue(t.Context()))
	must.Eq(t, 1, topic.puts)
	b := newDaemon(t, topic, 2)
	must.True(t, b.quarantined())
	// What was read is not written again, even by a holder.
	b.holds = true
	b.read(t)
	must.NoError(t, b.writeDue(t.Context()))
	must.Eq(t, 1, topic.puts)
}

// TestSuspectsWithoutHolder guards against a request that crashes one upstream at
// each of several daemons, none of which has enough crashes to refuse it, while no
// holder adds them up.
func TestSuspectsWithoutHolder(t *testing.T) {
	topic := &fakeTopic{}
	var daemons []*daemon
	for i := range uint64(3) {
		d := newDaemon(t, topic, i+1)
		d.lastReply = start.Add(-time.Hour)
		d.observeOn(fmt.Sprint("u", i))
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		must.NoError(t, d.writeDue(t.Context()))
		must.NoError(t, d.writeDue(t.Context()))
	}
	must.Eq(t, len(daemons), topic.puts)
	for _, d := range daemons {
		d.read(t)
		must.True(t, d.quarantined())
	}
}

// TestRestartKeepsRecord guards against a restarted daemon that overwrites its
// record, which only it had written, with less than that held.
func TestRestartKeepsRecord(t *testing.T) {
	topic := &fakeTopic{}
	a := newDaemon(t, topic, 1)
	a.observe(3)
	must.NoError(t, a.writeDue(t.Context()))
	again := newDaemon(t, topic, 1)
	for _, u := range []string{"u7", "u8", "u9"} {
		again.crashes.Observe("g", poison.Crash{ID: u, At: start})
	}
	must.NoError(t, again.writeDue(t.Context()))
	topic.records = topic.records[1:]
	must.True(t, newDaemon(t, topic, 2).quarantined())
}

// TestFailedWriteIsRepeated guards against a quarantine that isn't stored because
// the log was away when it began.
func TestFailedWriteIsRepeated(t *testing.T) {
	topic := &fakeTopic{}
	a := newDaemon(t, topic, 1)
	a.observe(3)
	topic.failing = true
	must.Error(t, a.writeDue(t.Context()))
	topic.failing = false
	must.NoError(t, a.writeDue(t.Context()))
	must.True(t, newDaemon(t, topic, 2).quarantined())
}

// TestRetryDelay guards against hundreds of refused calls while the log is away (290
// on figtray-coop-grown trouble-3 in 6 s), and against a delay that overflows.
func TestRetryDelay(t *testing.T) {
	must.Eq(t, minRetryDelay, retryDelay(0))
	must.Eq(t, 2*minRetryDelay, retryDelay(1))
	must.Eq(t, maxRetryDelay, retryDelay(1000))
}

// TestReadTimes guards against a daemon that reads the topic although the holder
// tells it of changes, and against one that learns of a quarantine without a
// holder only after the platform counts its sends.
func TestReadTimes(t *testing.T) {
	d := newDaemon(t, &fakeTopic{}, 1)
	for _, c := range []struct {
		name      string
		holds     bool
		lastReply time.Duration
		want      time.Duration
	}{
		{name: "holder", holds: true, want: holderReadInterval},
		{name: "in contact", lastReply: 10 * time.Second, want: 10*time.Second + contactTTL},
		{name: "contact just lost", lastReply: 0, want: contactTTL},
		{name: "without a holder", lastReply: -time.Hour, want: soloReadInterval},
	} {
		d.holds, d.lastReply = c.holds, start.Add(c.lastReply)
		must.Eq(t, c.want, d.readDelay(start), must.Sprint(c.name))
	}
	must.Less(t, platformCountsAfter, contactTTL+soloReadInterval+minRetryDelay+checkInterval)
}

// TestHolderReviews guards against a stored quarantine that is missing after the
// log came back from an older copy, and against one that stays in the log for good.
func TestHolderReviews(t *testing.T) {
	topic := &fakeTopic{}
	a := newDaemon(t, topic, 1)
	a.observe(3)
	must.NoError(t, a.writeDue(t.Context()))
	holder := newDaemon(t, topic, 2)
	holder.holds = true
	topic.records = nil
	must.NoError(t, holder.writeDue(t.Context()))
	must.SliceEmpty(t, topic.records) // not read since
	holder.read(t)
	must.NoError(t, holder.writeDue(t.Context()))
	must.Len(t, 1, topic.records)
	holder.at = start.Add(2 * time.Minute)
	holder.read(t)
	must.NoError(t, holder.writeDue(t.Context()))
	must.Len(t, 2, topic.records)
	must.SliceEmpty(t, topic.records[1].Value)
	holder.read(t)
	must.NoError(t, holder.writeDue(t.Context()))
	must.Len(t, 2, topic.records)
}

// TestClearIsStored guards against a request that completes and is refused again
// after a restart, because the log only has its crashes.
func TestClearIsStored(t *testing.T) {
	topic := &fakeTopic{}
	a := newDaemon(t, topic, 1)
	a.observe(3)
	must.NoError(t, a.writeDue(t.Context()))
	a.crashes.Clear("f")
	a.holds = true
	a.read(t)
	must.False(t, a.quarantined())
	must.NoError(t, a.writeDue(t.Context()))
	must.False(t, newDaemon(t, topic, 2).quarantined())
}

// TestUnreadableRecord guards against a record of another writer that keeps the
// others from being read.
func TestUnreadableRecord(t *testing.T) {
	topic := &fakeTopic{}
	must.NoError(t, topic.Put(t.Context(), "x", []byte("{")))
	a := newDaemon(t, topic, 1)
	a.observe(3)
	must.NoError(t, a.writeDue(t.Context()))
	must.True(t, newDaemon(t, topic, 2).quarantined())
}

// TestRecordFormat guards against a stored form that a daemon of another version
// can't read. UPDATE_GOLDEN=1 rewrites the file.
func TestRecordFormat(t *testing.T) {
	entries := []poison.Entry{{
		Fingerprint: "f",
		Crashes:     []poison.Crash{{ID: "u1@7", At: time.UnixMilli(1_700_000_000_123), Progress: true}},
		Cleared:     []poison.Crash{{ID: "u0@6", At: time.UnixMilli(1_700_000_000_000)}},
	}}
	b, err := encode(entries)
	must.NoError(t, err)
	file := filepath.Join("testdata", "record.json")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(file, append(b, '\n'), 0o644))
	}
	want, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, string(want), string(b)+"\n")
	got, err := decode(want)
	must.NoError(t, err)
	must.Eq(t, entries, got)
}

// TestRecordsAreBounded guards against records that grow with every request that callers
// send to a crashing upstream, and against losing the newest histories.
func TestRecordsAreBounded(t *testing.T) {
	const histories = 3 * maxHistories
	topic := &fakeTopic{}
	d := newDaemon(t, topic, 1)
	d.lastReply = d.at.Add(-time.Minute) // without a holder, suspects are written
	for i := range histories {
		d.at = d.at.Add(10 * time.Millisecond)
		d.crashes.Observe(fmt.Sprintf("%032x", i), poison.Crash{ID: fmt.Sprint("u", i), At: d.at})
	}
	must.NoError(t, d.writeDue(t.Context()))
	last := topic.records[len(topic.records)-1]
	must.LessEq(t, 256<<10, len(last.Value), must.Sprint("a record has at most 256 KB on the platform"))
	must.MapLen(t, 1, d.stored)
	must.Len(t, maxHistories, d.stored[d.host])
	must.Eq(t, fmt.Sprintf("%032x", histories-1), d.stored[d.host][maxHistories-1].Fingerprint)
	d.read(t)
	must.Len(t, maxHistories, d.stored[d.host])
}
