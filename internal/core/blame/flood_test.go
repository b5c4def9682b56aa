package blame

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/poison"
)

const (
	// namedParts is the number of parts that callers name within floodTime, in
	// requests of partsPerRequest each.
	namedParts      = 1_000_000
	partsPerRequest = 50
	floodTime       = time.Minute
)

// flood names n parts that no other request has, each in so many requests. It takes
// the time of the normal traffic into account: a millisecond for 17 parts.
func (f *fixture) flood(prefix string, n, times int, answered bool) {
	for i := range n {
		if i%17 == 0 {
			f.now = f.now.Add(time.Millisecond)
		}
		parts := []string{fmt.Sprint(prefix, i)}
		for range times {
			f.Sent(f.now, parts)
			if answered {
				f.Answered(f.now, parts, nil)
			}
		}
	}
}

// TestNamedPartsHidePopularOnes guards against a popular part that is quarantined,
// and with it every request of its route, because callers named so many other parts
// that its answers were forgotten.
func TestNamedPartsHidePopularOnes(t *testing.T) {
	for _, c := range []struct {
		times    int
		answered bool
	}{{1, false}, {1, true}, {2, true}, {5, true}} {
		f := newFixture(t)
		for range 20 {
			f.answer("first", "other")
		}
		f.flood("named", 20_000, c.times, c.answered)
		f.now = f.now.Add(2 * time.Second)
		f.Sent(f.now, []string{"one more"})
		for i := range dominantLimit {
			f.crash([]string{"first", fmt.Sprint("subject", i)})
		}
		must.False(t, f.quarantined("first"), must.Sprintf("%+v", c))
	}
}

// TestPopularPartsOutliveNamedOnes guards against a cache that drops the parts in use
// before those that were seen once or twice: with the uses of a part, the order in
// which candidates for quarantine are judged is lost.
func TestPopularPartsOutliveNamedOnes(t *testing.T) {
	f := newFixture(t)
	const rounds, parts = 40, 200
	for i := range rounds {
		for j := range parts {
			second := []string{"first", fmt.Sprint("second", j)}
			f.Sent(f.now, second)
			f.Answered(f.now, second, nil)
		}
		f.flood(fmt.Sprint("round", i, "."), maxParts/5, 1+i%2, true)
	}
	for j := range parts {
		u, ok := f.usage.GetEntryQuietly(poison.PartKey(fmt.Sprint("second", j)))
		must.True(t, ok)
		must.Eq(t, rounds, u.Value.sent)
	}
	u, ok := f.usage.GetEntryQuietly(poison.PartKey("first"))
	must.True(t, ok)
	must.Eq(t, rounds*parts, u.Value.sent)
}

// TestCrashingPartAmongNamedOnes guards against a part that crashes upstreams and is
// sent on because callers name so many other parts that nothing is known of it.
func TestCrashingPartAmongNamedOnes(t *testing.T) {
	f := newFixture(t)
	for range ambiguousLimit {
		f.answer("first", "other")
		f.flood("named", 20_000, 2, true)
		f.crash([]string{"first", "bad"})
		must.False(t, f.quarantined("first"))
	}
	f.answer("first", "other")
	f.now = f.now.Add(settleTime)
	must.True(t, f.quarantined("bad"))
	must.False(t, f.quarantined("first"))
}

// TestMillionNamedParts plays a minute in which callers name a million parts beside
// normal traffic, with and without a part that crashes upstreams. Three times, three
// upstreams crash one after the other while they run requests of a route with few
// requests. It guards against the quarantine of a part that crashes nothing, and
// against the faults that TestCrashingPartStorms names.
func TestMillionNamedParts(t *testing.T) {
	const (
		requests      = namedParts / partsPerRequest
		quietInterval = 500 * time.Millisecond
		waveInterval  = 15 * time.Second
		crashInterval = 200 * time.Millisecond
		waveCrashes   = 3
	)
	seeds, end := []uint64{0, 1}, floodTime
	if testing.Short() { // with the race detector, a whole day takes 100 s
		seeds, end = seeds[1:], waveInterval+contact
	}
	for _, seed := range seeds {
		s := newStorm(seed, 4, 12)
		s.bad = []string{"", "new"}[seed%2]
		s.end = end
		named, quiet, wrong := 0, 0, map[string]bool{}
		s.play(85, 1.5, func(at time.Duration) {
			for ; named < int((at+stormStep)*requests/floodTime); named++ {
				s.send(append([]string{fmt.Sprint("l", s.rng.IntN(3))}, namedBy(named)...))
			}
			if at%quietInterval == 0 {
				s.send([]string{"quiet", fmt.Sprint("subject", quiet)})
				quiet++
			}
			if inWave := at % waveInterval; at >= waveInterval && inWave%crashInterval == 0 && inWave < waveCrashes*crashInterval {
				s.crashUnder("quiet")
			}
			if at%exchangeDelay > 0 {
				return
			}
			for _, p := range []string{"quiet", "s", "l0", "l1", "l2", "t0", "t1", "t2"} {
				for _, tab := range s.tables {
					if part, _ := tab.Judge(s.now, Parts([]string{p})); part != "" {
						wrong[p] = true
					}
				}
			}
		})
		must.Eq(t, int(namedParts*end/floodTime), named*partsPerRequest)
		must.MapEmpty(t, wrong, must.Sprintf("seed %d: %d crashes, %d due to the part", seed, len(s.crashes), s.caused))
		s.check(t, seed)
	}
}

// crashUnder crashes the upstream to which a request with part has just been sent.
func (s *storm) crashUnder(part string) {
	s.attempt(&request{parts: []string{part, "crashed"}, daemon: s.rng.IntN(len(s.tables))})
	for i, u := range s.upstreams {
		if n := len(u.running); n > 0 && u.running[n-1].parts[0] == part {
			s.crash(i)
			return
		}
	}
}

// namedBy returns the parts that only one request has.
func namedBy(request int) []string {
	out := make([]string, partsPerRequest)
	for i := range out {
		out[i] = fmt.Sprintf("named%d.%d", request, i)
	}
	return out
}
