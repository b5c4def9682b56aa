package blame

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/azurespan/azurespan/internal/core/poison"
)

// traffic counts what daemons tell the holder and the holder a daemon.
type traffic struct {
	told, news           int
	toldBytes, newsBytes int
	// mostNews is the most that one daemon was told at once.
	mostNews int
}

// partOfCommons is the index in commons of requests with a part that crashes upstreams.
const partOfCommons = 8

// heapKB returns the memory in use after a collection.
func heapKB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 10)
}

// gobBytes returns the size of entries in a message.
func gobBytes(b *testing.B, entries []poison.Entry) int {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(entries); err != nil {
		b.Fatal(err)
	}
	return buf.Len()
}

// BenchmarkFleetHistories plays 30 s of the largest deployment (docs/CAPACITY.md): 320
// daemons, 600 upstreams and 1,800 requests a second. The upstreams of one failure
// domain crash within 4 s, and a part of prompts crashes others. Requests have all
// attributes.
func BenchmarkFleetHistories(b *testing.B) {
	const (
		daemons, upstreams, rate = 320, 600, 1800
		waveTime, waveCrashes    = 4 * time.Second, 75
	)
	for range b.N {
		before := heapKB()
		s := newStorm(1, daemons, upstreams)
		s.bad = "not a part of any prompt"
		bad := commons(s)[partOfCommons].bad
		s.exchangeDelay = 960 * time.Millisecond // the syncer's at this size
		var sent traffic
		s.observe = func(told bool, entries []poison.Entry) {
			if len(entries) == 0 {
				return
			}
			if told {
				sent.told += len(entries)
				sent.toldBytes += gobBytes(b, entries)
				return
			}
			sent.news += len(entries)
			sent.newsBytes += gobBytes(b, entries)
			sent.mostNews = max(sent.mostNews, len(entries))
		}
		crashed := 0
		s.playRequests(rate, 1.5, bad, func(at time.Duration) {
			for ; at >= stormStart && crashed < min(waveCrashes, int(waveCrashes*(at-stormStart)/waveTime)); crashed++ {
				s.crash(crashed)
			}
		})
		histories, parts := 0, 0
		for _, t := range s.tables {
			histories, parts = max(histories, len(t.crashes.Recent(s.now))), max(parts, t.usage.EstimatedSize())
		}
		b.ReportMetric(float64(len(s.crashes)), "crashes")
		b.ReportMetric(float64(len(s.tables[0].crashes.Recent(s.now))), "holder-histories")
		b.ReportMetric(float64(histories), "most-histories")
		b.ReportMetric(float64(parts), "most-parts")
		b.ReportMetric((heapKB()-before)/daemons, "KB/daemon")
		b.ReportMetric(float64(sent.told), "told")
		b.ReportMetric(float64(sent.toldBytes)/(1<<10), "told-KB")
		b.ReportMetric(float64(sent.news)/(daemons-1), "news/daemon")
		b.ReportMetric(float64(sent.newsBytes)/(1<<10)/(daemons-1), "news-KB/daemon")
		b.ReportMetric(float64(sent.mostNews), "most-news")
		runtime.KeepAlive(s)
	}
}

// BenchmarkFullTable reports the memory of a table with as many parts and histories as
// it keeps. Half of the histories have one crash and half as many as are kept of one.
func BenchmarkFullTable(b *testing.B) {
	const named, crashes = 20_000, 24
	for range b.N {
		before := heapKB()
		crashTable := poison.New(poison.Settings{}, 1)
		t := New(crashTable)
		now := time.Unix(100, 0)
		for i := range named {
			t.Sent(now, Parts([]string{fmt.Sprintf("%016x", i)}))
		}
		b.ReportMetric(heapKB()-before, "parts-KB")
		b.ReportMetric(float64(t.usage.EstimatedSize()), "parts")
		middle := heapKB()
		for i := range named {
			for c := range 1 + (i&1)*(crashes-1) {
				crashTable.Observe(poison.PartKey(fmt.Sprintf("%016x", i)), poison.Crash{ID: fmt.Sprintf("upstream-%d@%d", c, 1_000_000), At: now.Add(time.Duration(c))})
			}
		}
		b.ReportMetric(heapKB()-middle, "histories-KB")
		b.ReportMetric(float64(len(crashTable.Recent(now))), "histories")
		runtime.KeepAlive(t)
	}
}
