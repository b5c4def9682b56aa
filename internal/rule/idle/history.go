package idle

import (
	"math"
	"time"
)

const (
	// ranks is the number of replicas of a model with a histogram each; the
	// last one stands for all further replicas.
	ranks = 4
	// dayWeight is the least weight of a new day in the hours' averages.
	dayWeight = 0.25
	// strongShare of days with a request in an hour, over at least
	// strongDays, makes it a recurrence.
	strongShare = 0.7
	strongDays  = 3
	// around bounds the time of a recurring request to this many mean
	// deviations around its mean; minDeviation in seconds allows for a mean
	// deviation measured from few days.
	around       = 2.0
	minDeviation = 10.0
)

type (
	// hour is the recurrence of first requests in one hour of the day.
	hour struct {
		share float32 // of days with a request
		seen  bool    // today
		// mean and deviation of the first request's second in the hour.
		mean, deviation float32
		days            int // with a request
	}

	// history is what is known about one model.
	history struct {
		busyNow   int
		idleSince [ranks]time.Time
		gaps      [ranks]gaps
		hours     [24]hour
		day       time.Time
		days      int
	}
)

func (h *history) busy(now time.Time, n int) {
	h.roll(now)
	n = min(n, ranks)
	for r := h.busyNow; r < n; r++ {
		if !h.idleSince[r].IsZero() {
			h.gaps[r].add(max(now.Sub(h.idleSince[r]), 0).Seconds())
		}
	}
	for r := n; r < h.busyNow; r++ {
		h.idleSince[r] = now
	}
	if n > 0 {
		h.note(now)
	}
	h.busyNow = n
}

// note records a request in the hour of now.
func (h *history) note(now time.Time) {
	t := now.UTC()
	o := &h.hours[t.Hour()]
	if o.seen {
		return
	}
	o.seen = true
	second := float32(t.Sub(t.Truncate(time.Hour)).Seconds())
	o.days++
	a := max(1/float32(o.days), dayWeight)
	if o.days > 1 {
		o.deviation += a * (float32(math.Abs(float64(second-o.mean))) - o.deviation)
	}
	o.mean += a * (second - o.mean)
}

// roll closes the days that have ended by now. More than a month without a
// call changes nothing further.
func (h *history) roll(now time.Time) {
	day := now.UTC().Truncate(24 * time.Hour)
	if h.day.IsZero() {
		h.day = day
	}
	for n := 0; h.day.Before(day) && n < 31; n++ {
		h.days++
		a := max(1/float32(h.days), dayWeight)
		for i := range h.hours {
			o := &h.hours[i]
			v := float32(0)
			if o.seen {
				v = 1
			}
			o.share += a * (v - o.share)
			o.seen = false
		}
		h.day = h.day.Add(24 * time.Hour)
	}
	if h.day.Before(day) {
		h.day = day
	}
}

// worthKeeping returns for how many seconds more the replica of the given rank
// is worth keeping. Requests count as more or less likely by the share of days
// with one in this hour, compared with the average hour, up to a factor 4.
func (h *history) worthKeeping(now time.Time, rank int, age, miss float64) float64 {
	if h == nil {
		var none *gaps
		return none.worthKeeping(age, miss, 1)
	}
	h.roll(now)
	hazard := 1.0
	if h.days >= strongDays {
		var sum float64
		for i := range h.hours {
			sum += float64(h.hours[i].share)
		}
		const floor = 0.05 // an hour without requests so far isn't impossible
		hazard = (float64(h.hours[now.UTC().Hour()].share) + floor) / (sum/24 + floor)
		hazard = min(max(hazard, 0.25), 4)
	}
	return h.gaps[min(rank, ranks-1)].worthKeeping(age, miss, hazard)
}

// recurs reports whether now is within load of the time of day at which a
// first request comes on most days, and until when to wait for it. It holds
// only if the waits that this saves are worth the idle time.
func (h *history) recurs(now time.Time, load time.Duration, price float64) (until time.Time, ok bool) {
	h.roll(now)
	if h.days < strongDays {
		return time.Time{}, false
	}
	start := now.UTC().Truncate(time.Hour)
	for d := range 2 { // the next hour's first request may need a load in this one
		at := start.Add(time.Duration(d) * time.Hour)
		o := &h.hours[at.Hour()]
		if o.share < strongShare || o.seen && !at.Before(h.day) && at.Before(h.day.Add(24*time.Hour)) {
			continue
		}
		half := around * float64(max(o.deviation, minDeviation))
		share := float64(o.share)
		if share*half+(1-share)*(load.Seconds()+2*half) > share*price*load.Seconds() {
			continue
		}
		mean := at.Add(time.Duration(float64(o.mean) * float64(time.Second)))
		w := time.Duration(half * float64(time.Second))
		if until = mean.Add(w); !now.Before(mean.Add(-w-load)) && now.Before(until) {
			return until, true
		}
	}
	return time.Time{}, false
}
