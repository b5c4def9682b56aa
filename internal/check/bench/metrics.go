package bench

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// outcome is served or the reason of a refusal.
	outcome string

	// coldSample is a request that met no loaded replica.
	coldSample struct {
		arrivedAt time.Duration
		model     int
		daemon    int
		tier      uint8
		wait      time.Duration // -1 while the request waits
	}

	// Metrics holds the results of one run. Times are in seconds.
	Metrics struct {
		Trace, Deployment, Policy string
		// Cold holds percentiles of the time that requests without a loaded
		// replica waited for one, and ColdBound those of the same requests under
		// the physical bound. A request that ended earlier counts with its wait
		// until then. The indices are p50, p95 and p99.
		Cold, ColdBound  [3]float64
		ColdCount        int
		FirstTokenP95    float64
		TokenIntervalP95 float64
		IdleHours        float64
		// LoadingHours is the part of IdleHours in which replicas were being
		// loaded or waited for the store.
		LoadingHours float64
		// IdleBound is the clairvoyant bound for IdleHours.
		IdleBound float64
		// UrgentFeasible counts feasible urgent requests, and UrgentOnTime those
		// of them that were served.
		UrgentFeasible, UrgentOnTime int
		Background                   int
		BackgroundDone               int
		Refused                      map[string]int
		// RefusedWithCapacity counts refusals of feasible requests while less
		// than 80% of the sequences and of the store's concurrency were in use.
		RefusedWithCapacity int
		Loads               int
		// MaxStoreLoads is the largest number of concurrent loads from the store.
		MaxStoreLoads int
		// Late counts requests that ended after their deadline.
		Late int

		measuredFrom    time.Duration
		openJobs        map[uint64]*job
		coldSamples     []*coldSample
		waitingByModel  map[int][]*coldSample
		sampleByJob     map[*job]*coldSample
		firstTokenTimes []time.Duration
		tokenIntervals  []time.Duration
	}
)

// Indices of the percentiles in Metrics.Cold and Metrics.ColdBound.
const (
	p50 = iota
	p95
	p99
)

const (
	served           outcome = ""
	deadlineExceeded outcome = "cut-at-deadline"
)

func newMetrics(t *Trace) *Metrics {
	return &Metrics{
		Trace: t.Name, Deployment: t.Deployment, Refused: map[string]int{}, measuredFrom: ms(t.measuredFromMS),
		openJobs: map[uint64]*job{}, waitingByModel: map[int][]*coldSample{}, sampleByJob: map[*job]*coldSample{},
	}
}

func (m *Metrics) recordArrival(j *job) {
	m.openJobs[j.id] = j
	if j.arrivedAt < m.measuredFrom {
		return
	}
	if j.Class == declare.Background {
		m.Background++
	} else if j.feasible {
		m.UrgentFeasible++
	}
}

// recordColdArrival begins the cold wait of j. tier is the nearest tier of the
// checkpoint.
func (m *Metrics) recordColdArrival(j *job, tier uint8) {
	s := &coldSample{arrivedAt: j.arrivedAt, model: j.Model, daemon: j.Daemon, tier: tier, wait: -1}
	m.waitingByModel[j.Model] = append(m.waitingByModel[j.Model], s)
	m.sampleByJob[j] = s
}

// recordColdReady ends the cold waits for a model at the daemons that reach the
// new replica.
func (m *Metrics) recordColdReady(model int, now time.Duration, reaches func(daemon int) bool) {
	m.waitingByModel[model] = slices.DeleteFunc(m.waitingByModel[model], func(s *coldSample) bool {
		if reaches(s.daemon) {
			m.recordColdWait(s, now)
			return true
		}
		return false
	})
}

func (m *Metrics) recordColdWait(s *coldSample, now time.Duration) {
	s.wait = now - s.arrivedAt
	if s.arrivedAt >= m.measuredFrom {
		m.coldSamples = append(m.coldSamples, s)
	}
}

// recordEnd counts the outcome of j. underloaded tells whether the deployment had
// free capacity at that time.
func (m *Metrics) recordEnd(j *job, now time.Duration, o outcome, underloaded bool) {
	delete(m.openJobs, j.id)
	// A request that ended during its cold wait counts with the wait until then,
	// unless it was refused on arrival. Leaving it out would favour a policy that
	// lets more requests fail.
	if s := m.sampleByJob[j]; s != nil {
		if s.wait < 0 {
			m.waitingByModel[j.Model] = slices.DeleteFunc(m.waitingByModel[j.Model], func(c *coldSample) bool { return c == s })
			if now > s.arrivedAt {
				m.recordColdWait(s, now)
			}
		}
		delete(m.sampleByJob, j)
	}
	if j.arrivedAt < m.measuredFrom {
		return
	}
	if now > j.deadline {
		m.Late++
	}
	switch {
	case o != served:
		m.Refused[string(o)]++
		if underloaded && j.feasible {
			m.RefusedWithCapacity++
		}
	case j.Class == declare.Background:
		m.BackgroundDone++
	case j.feasible:
		m.UrgentOnTime++
	}
}

func (m *Metrics) recordFirstToken(j *job, d time.Duration) {
	if j.arrivedAt >= m.measuredFrom && j.Class == declare.Urgent {
		m.firstTokenTimes = append(m.firstTokenTimes, d)
	}
}

func (m *Metrics) recordTokenInterval(j *job, d time.Duration) {
	if j.arrivedAt >= m.measuredFrom && j.Class == declare.Urgent {
		m.tokenIntervals = append(m.tokenIntervals, d)
	}
}

func (m *Metrics) recordLoad(now time.Duration) {
	if now >= m.measuredFrom {
		m.Loads++
	}
}

// computePercentiles computes the percentiles of the run and drops its samples.
// bound holds the waits under the physical bound.
func (m *Metrics) computePercentiles(bound []time.Duration) {
	var waits []time.Duration
	for _, s := range m.coldSamples {
		waits = append(waits, s.wait)
	}
	m.ColdCount = len(waits)
	for i, p := range [...]float64{p50: 0.5, p95: 0.95, p99: 0.99} {
		m.Cold[i], m.ColdBound[i] = percentile(waits, p), percentile(bound, p)
	}
	m.FirstTokenP95, m.TokenIntervalP95 = percentile(m.firstTokenTimes, 0.95), percentile(m.tokenIntervals, 0.95)
	m.openJobs, m.waitingByModel, m.sampleByJob, m.firstTokenTimes, m.tokenIntervals = nil, nil, nil, nil, nil
}

// percentile returns the nearest-rank percentile in seconds, 0 for no values.
func percentile(v []time.Duration, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(int(p*float64(len(s))), len(s)-1)].Seconds()
}
