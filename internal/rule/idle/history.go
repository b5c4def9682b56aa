package idle

import (
	"math"
	"time"
)

const (
	hoursPerDay = 24
	// maxRanks is the number of replicas of a model that have a histogram of
	// their own; the last one also serves all further replicas.
	maxRanks = 4
	// minDayWeight is the least weight of a new day in the moving averages of
	// an hour.
	minDayWeight = 0.25
	// minRecurrenceShare is the share of days with a request in an hour from
	// which the request counts as recurring, minRecurrenceDays the number of
	// days that must have been observed.
	minRecurrenceShare = 0.7
	minRecurrenceDays  = 3
	// windowDeviations is half the width, in mean absolute deviations, of the
	// window around the mean time in which a recurring request is expected.
	// minDeviationSeconds allows for a deviation measured over few days.
	windowDeviations    = 2.0
	minDeviationSeconds = 10.0
	// minHazard and maxHazard limit the factor by which the share of days with
	// a request in an hour changes the hazard rate.
	minHazard = 0.25
	maxHazard = 4
	// maxMissedDays limits the days without a call that are added to the
	// averages; more of them change nothing further.
	maxMissedDays = 31
)

type (
	// hourStats are the statistics of the first requests in one hour of the
	// day.
	hourStats struct {
		// dayShare is the moving average of the share of days with a request.
		dayShare float32
		// seenToday is set after the first request of the current day.
		seenToday bool
		// mean and deviation (mean absolute deviation) of the first request's
		// time, in seconds from the start of the hour.
		mean, deviation float32
		// days with a request.
		days int
	}

	// history is the history of one model.
	history struct {
		busyReplicas int
		// idleSince and idleTimes are indexed by rank.
		idleSince [maxRanks]time.Time
		idleTimes [maxRanks]histogram
		hours     [hoursPerDay]hourStats
		// day is the start of the current day in UTC, days the number of
		// completed days.
		day  time.Time
		days int
	}
)

// recordBusy records that n replicas are busy from now on.
func (h *history) recordBusy(now time.Time, n int) {
	h.closeDays(now)
	n = min(n, maxRanks)
	for r := h.busyReplicas; r < n; r++ {
		if !h.idleSince[r].IsZero() {
			h.idleTimes[r].add(max(now.Sub(h.idleSince[r]), 0).Seconds())
		}
	}
	for r := n; r < h.busyReplicas; r++ {
		h.idleSince[r] = now
	}
	if n > 0 {
		h.recordRequest(now)
	}
	h.busyReplicas = n
}

// recordRequest records a request in the hour of now.
func (h *history) recordRequest(now time.Time) {
	t := now.UTC()
	stats := &h.hours[t.Hour()]
	if stats.seenToday {
		return
	}
	stats.seenToday = true
	second := float32(t.Sub(t.Truncate(time.Hour)).Seconds())
	stats.days++
	weight := max(1/float32(stats.days), minDayWeight)
	if stats.days > 1 {
		stats.deviation += weight * (float32(math.Abs(float64(second-stats.mean))) - stats.deviation)
	}
	stats.mean += weight * (second - stats.mean)
}

// closeDays adds the days that have ended by now to the averages.
func (h *history) closeDays(now time.Time) {
	day := now.UTC().Truncate(24 * time.Hour)
	if h.day.IsZero() {
		h.day = day
	}
	for n := 0; h.day.Before(day) && n < maxMissedDays; n++ {
		h.days++
		weight := max(1/float32(h.days), minDayWeight)
		for i := range h.hours {
			stats := &h.hours[i]
			v := float32(0)
			if stats.seenToday {
				v = 1
			}
			stats.dayShare += weight * (v - stats.dayShare)
			stats.seenToday = false
		}
		h.day = h.day.Add(24 * time.Hour)
	}
	if h.day.Before(day) {
		h.day = day
	}
}

// worthKeeping returns for how many more seconds the replica of the given rank
// should be kept. The hazard rate of requests is scaled by the share of days
// with a request in this hour relative to the average hour, within minHazard
// and maxHazard.
func (h *history) worthKeeping(now time.Time, rank int, age, miss float64) float64 {
	if h == nil {
		var none *histogram
		return none.worthKeeping(age, miss, 1)
	}
	h.closeDays(now)
	hazard := 1.0
	if h.days >= minRecurrenceDays {
		var sum float64
		for i := range h.hours {
			sum += float64(h.hours[i].dayShare)
		}
		const floor = 0.05 // requests are possible in an hour without any so far
		hazard = (float64(h.hours[now.UTC().Hour()].dayShare) + floor) / (sum/hoursPerDay + floor)
		hazard = min(max(hazard, minHazard), maxHazard)
	}
	return h.idleTimes[min(rank, maxRanks-1)].worthKeeping(age, miss, hazard)
}

// recurrence reports whether a replica with the given load time must be loaded
// or kept at now for a request that recurs at this time of day, and until when.
// It reports true only if the waits that this saves are worth more than the
// idle time.
func (h *history) recurrence(now time.Time, load time.Duration, waitPrice float64) (until time.Time, ok bool) {
	h.closeDays(now)
	if h.days < minRecurrenceDays {
		return time.Time{}, false
	}
	start := now.UTC().Truncate(time.Hour)
	// The first request of the next hour may require a load in this one.
	for d := range 2 {
		at := start.Add(time.Duration(d) * time.Hour)
		stats := &h.hours[at.Hour()]
		if stats.dayShare < minRecurrenceShare || stats.seenToday && !at.Before(h.day) && at.Before(h.day.Add(24*time.Hour)) {
			continue
		}
		halfWindow := windowDeviations * float64(max(stats.deviation, minDeviationSeconds))
		share := float64(stats.dayShare)
		if share*halfWindow+(1-share)*(load.Seconds()+2*halfWindow) > share*waitPrice*load.Seconds() {
			continue
		}
		mean := at.Add(time.Duration(float64(stats.mean) * float64(time.Second)))
		w := time.Duration(halfWindow * float64(time.Second))
		if until = mean.Add(w); !now.Before(mean.Add(-w-load)) && now.Before(until) {
			return until, true
		}
	}
	return time.Time{}, false
}
