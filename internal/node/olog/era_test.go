package olog

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/node/feed"
)

// drill takes the topic back to a copy.
func (t *testTopic) drill(tt *testing.T, copied map[string]feed.Record) {
	tt.Helper()
	end, err := logpos.New(t.end.Era()+1, 0)
	must.NoError(tt, err)
	t.records, t.end = copied, end
}

// TestWritesLostVersionsAndStreamsAgain guards against a writer that takes what the
// log has lost for written: a daemon that has just started wouldn't know of a version
// that is no longer registered, and refuse the streams that it began.
func TestWritesLostVersionsAndStreamsAgain(t *testing.T) {
	topic, now := newSite()
	a := newDaemon(topic, "a", now, "v1", "v2")
	a.holds = true
	a.run(t)
	a.table.Begin(*now, origin.Stream{ID: 7, Service: "s", Version: "v1"})
	must.NoError(t, a.step(context.Background()))
	before := len(topic.records)
	must.Greater(t, 1, before)

	topic.drill(t, map[string]feed.Record{})
	loss := a.NoticeEra(*now, 1)
	must.Greater(t, 1, loss.Records)
	*now = now.Add(writeInterval)
	must.NoError(t, a.step(context.Background()))
	must.Eq(t, before, len(topic.records))
	b := newDaemon(topic, "b", now, "v2")
	must.Eq(t, "v1", b.version(t, 7))
	writes := topic.writes
	*now = now.Add(writeInterval)
	must.NoError(t, a.step(context.Background()))
	must.Eq(t, writes, topic.writes)
}

// TestCompleteCopy guards against versions that are written again although the copy
// has them. The holder's state is, since it names the era in which it is known to be
// complete.
func TestCompleteCopy(t *testing.T) {
	topic, now := newSite()
	a := newDaemon(topic, "a", now, "v1")
	a.holds = true
	a.run(t)
	writes := topic.writes
	topic.drill(t, topic.records)
	a.NoticeEra(*now, 1)
	*now = now.Add(writeInterval)
	must.NoError(t, a.step(context.Background()))
	must.Eq(t, writes+1, topic.writes)
	for range 3 {
		must.NoError(t, a.step(context.Background()))
	}
	must.Eq(t, writes+1, topic.writes)
}

// TestStateOfFirstEra guards against a state that is never complete because the log's first
// era isn't the one in which the writer takes it to be.
func TestStateOfFirstEra(t *testing.T) {
	topic, now := newSite()
	topic.drill(t, topic.records)
	topic.drill(t, topic.records)
	a := newDaemon(topic, "a", now, "v1")
	a.holds = true
	a.run(t)
	v, only := newDaemon(topic, "b", now, "v1").only(t)
	must.True(t, only)
	must.Eq(t, "v1", v)
}

// TestStateOfAnOlderEra guards against a daemon that takes the state in a copy for all
// that was decided until the log was lost.
func TestStateOfAnOlderEra(t *testing.T) {
	topic, now := newSite()
	a := newDaemon(topic, "a", now, "v1")
	a.holds = true
	a.run(t)
	topic.drill(t, topic.records)
	b := newDaemon(topic, "b", now, "v1")
	_, only := b.only(t)
	must.False(t, only)
	a.NoticeEra(*now, 1)
	a.run(t)
	v, only := b.only(t)
	must.True(t, only)
	must.Eq(t, "v1", v)
}

// TestReadOfAnOlderEraIsIgnored guards against a read that was answered before the
// return, whose records are taken for written.
func TestReadOfAnOlderEraIsIgnored(t *testing.T) {
	topic, now := newSite()
	a := newDaemon(topic, "a", now, "v1")
	a.holds = true
	a.run(t)
	p, err := topic.Newest(context.Background())
	must.NoError(t, err)
	topic.drill(t, map[string]feed.Record{})
	a.NoticeEra(*now, 1)
	a.apply(*now, *now, p)
	*now = now.Add(time.Second)
	must.NoError(t, a.step(context.Background()))
	must.Eq(t, 2, len(topic.records), must.Sprint("versions and state"))
}
