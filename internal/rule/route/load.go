package route

import (
	"slices"
	"time"
)

// maxDeltas bounds the sends and ends remembered between two reports. Beyond
// it the oldest are forgotten, which the next report makes good.
const maxDeltas = 256

// deltas are this daemon's sends (+1) and ends (-1) on an upstream, in order
// of time, that its last report can't include.
type deltas struct {
	at  []time.Time
	by  []int8
	sum int
}

func (d *deltas) add(now time.Time, by int8) {
	if len(d.at) == maxDeltas {
		d.cut(maxDeltas / 2)
	}
	d.at, d.by, d.sum = append(d.at, now), append(d.by, by), d.sum+int(by)
}

// prune forgets what happened up to the time of a report.
func (d *deltas) prune(until time.Time) {
	n := 0
	for n < len(d.at) && !d.at[n].After(until) {
		n++
	}
	d.cut(n)
}

func (d *deltas) cut(n int) {
	for _, b := range d.by[:n] {
		d.sum -= int(b)
	}
	d.at = append(d.at[:0], d.at[n:]...)
	d.by = append(d.by[:0], d.by[n:]...)
}

// count updates the estimate of outstanding requests. This daemon's own
// requests in flight are a lower bound whatever the report says.
func (u *upstream) count() {
	u.outstanding = max(u.reported+u.deltas.sum, u.inFlight, 0)
}

// ewma moves an estimate a fifth of the way to a new sample; the first sample
// is taken as it is.
func ewma(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/5
}

// minSamples and minPeers are needed before a replica can be set aside, so
// that one odd request or a pair of replicas doesn't decide.
const (
	minSamples = 5
	minPeers   = 3
)

// judge sets p aside if its latency is far above the median of its peers. At
// most a third of a model's replicas are aside at once, because with more of
// them slow the cause lies elsewhere. After the time is up p starts with the
// median as its estimate, and is judged on new samples.
func (t *Table) judge(now time.Time, p *replica) {
	if p.samples < minSamples || now.Before(p.asideTo) {
		return
	}
	t.lats = t.lats[:0]
	aside := 0
	for _, q := range p.of.replicas {
		if q != p && q.samples >= minSamples {
			t.lats = append(t.lats, q.latency)
		}
		if q != p && now.Before(q.asideTo) {
			aside++
		}
	}
	if len(t.lats) < minPeers || (aside+1)*3 > len(p.of.replicas) {
		return
	}
	slices.Sort(t.lats)
	median := t.lats[len(t.lats)/2]
	if float64(p.latency) > t.s.SlowFactor*float64(median) {
		p.asideTo = now.Add(t.s.EjectionTime)
		p.latency, p.samples = median, 0
	}
}
