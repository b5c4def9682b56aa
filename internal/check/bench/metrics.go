package bench

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	outcome string

	coldSample struct {
		at     time.Duration
		model  int
		daemon int
		tier   uint8
		wait   time.Duration
	}

	// Metrics are the results of one run. Times are seconds.
	Metrics struct {
		Trace, Deployment, Policy string
		// Cold waits of requests that met no loaded replica, and ColdBound
		// the same percentiles under the physical bound for these requests.
		// A request that ended before counts with its wait until then.
		Cold, ColdBound [3]float64 // p50, p95, p99
		ColdCount       int
		FirstP95        float64
		BetweenP95      float64
		IdleHours       float64
		// LoadingHours is the part of IdleHours in which replicas were being
		// loaded or waited for the store.
		LoadingHours float64
		// IdleBound is the clairvoyant one.
		IdleBound float64
		// Urgent requests that were feasible, and those that were served.
		Urgent, UrgentOnTime int
		Background           int
		BackgroundDone       int
		Refused              map[string]int
		// RefusedUnder counts refusals of feasible requests while less than
		// 80% of the sequences and of the store's places were in use.
		RefusedUnder int
		Loads        int
		// StoreMost is the largest number of loads from the store at once.
		StoreMost int
		// Late requests had no end by their deadline.
		Late int

		from     time.Duration
		live     map[uint64]*job
		cold     []*coldSample
		waiting  map[int][]*coldSample
		byJob    map[*job]*coldSample
		firsts   []time.Duration
		betweens []time.Duration
	}
)

const (
	served        outcome = ""
	cutAtDeadline outcome = "cut-at-deadline"
)

func newMetrics(t *Trace) *Metrics {
	return &Metrics{
		Trace: t.Name, Deployment: t.Deployment, Refused: map[string]int{}, from: ms(t.from),
		live: map[uint64]*job{}, waiting: map[int][]*coldSample{}, byJob: map[*job]*coldSample{},
	}
}

func (m *Metrics) offered(j *job) {
	m.live[j.id] = j
	if j.at < m.from {
		return
	}
	if j.Class == declare.Background {
		m.Background++
	} else if j.feasible {
		m.Urgent++
	}
}

func (m *Metrics) coldArrival(j *job, tier uint8) {
	s := &coldSample{at: j.at, model: j.Model, daemon: j.Daemon, tier: tier, wait: -1}
	m.waiting[j.Model] = append(m.waiting[j.Model], s)
	m.byJob[j] = s
}

// coldReady ends the cold waits for a model at the daemons that reach the new
// replica.
func (m *Metrics) coldReady(model int, now time.Duration, reaches func(daemon int) bool) {
	m.waiting[model] = slices.DeleteFunc(m.waiting[model], func(s *coldSample) bool {
		if reaches(s.daemon) {
			m.waited(s, now)
			return true
		}
		return false
	})
}

func (m *Metrics) waited(s *coldSample, now time.Duration) {
	s.wait = now - s.at
	if s.at >= m.from {
		m.cold = append(m.cold, s)
	}
}

func (m *Metrics) ended(j *job, now time.Duration, o outcome, under bool) {
	delete(m.live, j.id)
	// A request that ended while it waited for the load counts with the wait
	// until then, unless it was refused on arrival: leaving it out would
	// favour the policy that lets more requests fail.
	if s := m.byJob[j]; s != nil {
		if s.wait < 0 {
			m.waiting[j.Model] = slices.DeleteFunc(m.waiting[j.Model], func(c *coldSample) bool { return c == s })
			if now > s.at {
				m.waited(s, now)
			}
		}
		delete(m.byJob, j)
	}
	if j.at < m.from {
		return
	}
	if now > j.deadline {
		m.Late++
	}
	switch {
	case o != served:
		m.Refused[string(o)]++
		if under && j.feasible {
			m.RefusedUnder++
		}
	case j.Class == declare.Background:
		m.BackgroundDone++
	case j.feasible:
		m.UrgentOnTime++
	}
}

func (m *Metrics) first(j *job, d time.Duration) {
	if j.at >= m.from && j.Class == declare.Urgent {
		m.firsts = append(m.firsts, d)
	}
}

func (m *Metrics) between(j *job, d time.Duration) {
	if j.at >= m.from && j.Class == declare.Urgent {
		m.betweens = append(m.betweens, d)
	}
}

func (m *Metrics) loads(now time.Duration) {
	if now >= m.from {
		m.Loads++
	}
}

// finish computes the percentiles.
func (m *Metrics) finish(bound []time.Duration) {
	var waits []time.Duration
	for _, s := range m.cold {
		waits = append(waits, s.wait)
	}
	m.ColdCount = len(waits)
	for i, p := range []float64{0.5, 0.95, 0.99} {
		m.Cold[i], m.ColdBound[i] = percentile(waits, p), percentile(bound, p)
	}
	m.FirstP95, m.BetweenP95 = percentile(m.firsts, 0.95), percentile(m.betweens, 0.95)
	m.live, m.waiting, m.byJob, m.firsts, m.betweens = nil, nil, nil, nil, nil
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
