package pacer

import "time"

const (
	// lower and raise change the concurrency: a slow store loses 30% of its
	// places at most every adjustEvery, and wins a tenth for each fast load.
	lower       = 0.7
	raise       = 0.1
	adjustEvery = 5 * time.Second
	// fastFactor times the best duration still is fast.
	fastFactor = 1.2
	// drift lets the best duration follow a store that became slower for
	// good, by 1% for each load.
	drift = 1.01
)

// speed learns from durations of loads how many places the store has.
type speed struct {
	start   time.Duration
	perByte float64 // seconds, the best seen
	limit   int
	factor  float64 // share of limit in use
	slow    float64
	ratio   float64 // of recent durations to the best, averaged
	changed time.Time
	mean    time.Duration
}

func newSpeed(s Settings) speed {
	const typical = 16 << 30 // bytes of a checkpoint, until one was loaded
	v := speed{start: s.LoadLatency, perByte: 1 / s.BytesPerSecond, limit: s.Limits.StoreLoadsAtOnce, factor: 1, slow: s.SlowFactor, ratio: 1}
	v.mean = v.expect(typical)
	return v
}

// expect returns the duration of a load at full speed.
func (v *speed) expect(bytes int64) time.Duration {
	return v.start + time.Duration(float64(bytes)*v.perByte*float64(time.Second))
}

// places returns the number of loads at once, at least 1.
func (v *speed) places() int { return max(int(float64(v.limit)*v.factor+1e-9), 1) }

func (v *speed) observe(now time.Time, bytes int64, took time.Duration) {
	v.mean += (took - v.mean) / 4
	if bytes <= 0 {
		return
	}
	ratio := took.Seconds() / v.expect(bytes).Seconds()
	v.ratio += 0.3 * (ratio - v.ratio)
	v.perByte *= drift
	if rate := (took - v.start).Seconds() / float64(bytes); rate > 0 {
		v.perByte = min(v.perByte, rate)
	}
	switch {
	case v.ratio > v.slow && now.Sub(v.changed) >= adjustEvery:
		v.factor = max(v.factor*lower, 1/float64(v.limit))
		v.changed = now
	case v.ratio < fastFactor:
		v.factor = min(v.factor+raise, 1)
	}
}
