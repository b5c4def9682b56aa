package route

import (
	"slices"
	"time"
)

// maxDeltas bounds the changes remembered between two reports. Beyond it the
// oldest half is dropped; the next report corrects the estimate.
const maxDeltas = 256

// deltas holds the changes in requests running on an upstream (+1 for a request
// that this daemon sent, -1 for one that ended), in order of time, that the
// upstream's last report can't include.
type deltas struct {
	times   []time.Time
	changes []int8
	sum     int
}

func (d *deltas) add(now time.Time, change int8) {
	if len(d.times) == maxDeltas {
		d.dropOldest(maxDeltas / 2)
	}
	d.times, d.changes, d.sum = append(d.times, now), append(d.changes, change), d.sum+int(change)
}

// prune drops the changes up to the time of a report.
func (d *deltas) prune(until time.Time) {
	n := 0
	for n < len(d.times) && !d.times[n].After(until) {
		n++
	}
	d.dropOldest(n)
}

func (d *deltas) dropOldest(n int) {
	for _, change := range d.changes[:n] {
		d.sum -= int(change)
	}
	d.times = append(d.times[:0], d.times[n:]...)
	d.changes = append(d.changes[:0], d.changes[n:]...)
}

// updateOutstanding recomputes the estimate of outstanding requests. This
// daemon's own requests in flight are a lower bound whatever the report says.
func (u *upstream) updateOutstanding() {
	u.outstanding = max(u.reportedRequests+u.deltas.sum, u.inFlight, 0)
}

// ewmaDivisor is the inverse of the weight of a new sample in ewma.
const ewmaDivisor = 5

// ewma returns the exponentially weighted moving average after a new sample;
// the first sample is taken as it is.
func ewma(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/ewmaDivisor
}

const (
	// minSamples and minPeers are needed before a replica can be ejected, so
	// that a single outlier or a pair of replicas doesn't decide.
	minSamples = 5
	minPeers   = 3
	// maxEjectedDivisor is the inverse of the share of a model's replicas that
	// may be ejected at once. If more of them are slow, the cause is probably
	// not the replicas.
	maxEjectedDivisor = 3
)

// ejectIfSlow ejects p for a time if its latency is far above the median of its
// peers (outlier detection). After the ejection p starts with the median as its
// estimate and is compared again once it has new samples.
func (t *Table) ejectIfSlow(now time.Time, p *replica) {
	if p.samples < minSamples || now.Before(p.ejectedUntil) {
		return
	}
	t.latencies = t.latencies[:0]
	ejected := 0
	for _, q := range p.model.replicas {
		if q != p && q.samples >= minSamples {
			t.latencies = append(t.latencies, q.latency)
		}
		if q != p && now.Before(q.ejectedUntil) {
			ejected++
		}
	}
	if len(t.latencies) < minPeers || (ejected+1)*maxEjectedDivisor > len(p.model.replicas) {
		return
	}
	slices.Sort(t.latencies)
	median := t.latencies[len(t.latencies)/2]
	if float64(p.latency) > t.settings.SlowFactor*float64(median) {
		p.ejectedUntil = now.Add(t.settings.EjectionTime)
		p.latency, p.samples = median, 0
	}
}
