package pacer

import "time"

const (
	// decreaseFactor multiplies the concurrency on a slow store, at most once
	// per decreaseInterval; increaseStep is the share of the configured limit
	// that is added for each fast load.
	decreaseFactor   = 0.7
	increaseStep     = 0.1
	decreaseInterval = 5 * time.Second
	// fastFactor is the multiple of the best duration below which loads count
	// as fast.
	fastFactor = 1.2
	// bestDrift multiplies the best duration per byte at each load, so that it
	// follows a store that has become slower permanently.
	bestDrift = 1.01
	// meanDivisor is the inverse of the weight of a new sample in the mean
	// duration; slowdownWeight is that of a new sample in the slowdown.
	meanDivisor    = 4
	slowdownWeight = 0.3
	// roundingSlack keeps a product that is an integer from being truncated to
	// the next lower one.
	roundingSlack = 1e-9
)

// storeSpeed estimates the number of concurrent loads that the weight store can
// serve from the durations of loads.
type storeSpeed struct {
	latency            time.Duration
	bestSecondsPerByte float64 // of the fastest load
	maxSlots           int
	usedShare          float64 // of maxSlots
	slowFactor         float64
	slowdown           float64 // moving average of duration / best duration
	reducedAt          time.Time
	meanDuration       time.Duration // moving average
}

func newStoreSpeed(s Settings) storeSpeed {
	const typicalBytes = 16 << 30 // assumed checkpoint size until one was loaded
	v := storeSpeed{latency: s.LoadLatency, bestSecondsPerByte: 1 / s.BytesPerSecond, maxSlots: s.Limits.StoreLoadsAtOnce, usedShare: 1, slowFactor: s.SlowFactor, slowdown: 1}
	v.meanDuration = v.expectedDuration(typicalBytes)
	return v
}

// expectedDuration returns the duration of a load at full speed.
func (v *storeSpeed) expectedDuration(bytes int64) time.Duration {
	return v.latency + time.Duration(float64(bytes)*v.bestSecondsPerByte*float64(time.Second))
}

// slots returns the number of concurrent loads, at least 1.
func (v *storeSpeed) slots() int { return max(int(float64(v.maxSlots)*v.usedShare+roundingSlack), 1) }

// observe records the duration of a load and adapts the concurrency.

func (v *storeSpeed) observe(now time.Time, bytes int64, took time.Duration) {
	v.meanDuration += (took - v.meanDuration) / meanDivisor
	if bytes <= 0 {
		return
	}
	ratio := took.Seconds() / v.expectedDuration(bytes).Seconds()
	v.slowdown += slowdownWeight * (ratio - v.slowdown)
	v.bestSecondsPerByte *= bestDrift
	if secondsPerByte := (took - v.latency).Seconds() / float64(bytes); secondsPerByte > 0 {
		v.bestSecondsPerByte = min(v.bestSecondsPerByte, secondsPerByte)
	}
	switch {
	case v.slowdown > v.slowFactor && now.Sub(v.reducedAt) >= decreaseInterval:
		v.usedShare = max(v.usedShare*decreaseFactor, 1/float64(v.maxSlots))
		v.reducedAt = now
	case v.slowdown < fastFactor:
		v.usedShare = min(v.usedShare+increaseStep, 1)
	}
}
