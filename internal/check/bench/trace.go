package bench

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Request is one line of a trace. Times are milliseconds.
	Request struct {
		AtMS       int64         `json:"at-ms"`
		Daemon     int           `json:"daemon"`
		Model      int           `json:"model"`
		Adapter    int           `json:"adapter,omitempty"`
		Class      declare.Class `json:"class"`
		DeadlineMS int64         `json:"deadline-ms"`
		Tokens     int           `json:"tokens"`
	}

	// Fault is something that goes wrong between two times.
	Fault struct {
		// Kind is store-slow, engine-lost, domain-lost or log-down.
		Kind    string  `json:"fault"`
		AtMS    int64   `json:"at-ms"`
		UntilMS int64   `json:"until-ms,omitempty"`
		Factor  float64 `json:"factor,omitempty"`
		Engine  int     `json:"engine,omitempty"`
	}

	// Trace is a reproducible sequence of requests and faults.
	Trace struct {
		Name       string             `json:"trace"`
		Deployment string             `json:"deployment"`
		Seed       uint64             `json:"seed"`
		Arguments  map[string]float64 `json:"arguments"`
		LengthMS   int64              `json:"length-ms"`
		Requests   []Request          `json:"-"`
		Faults     []Fault            `json:"-"`
		// from is when measuring starts; earlier requests are history.
		from int64
	}

	maker struct {
		t    *Trace
		s    Size
		rng  *rand.Rand
		args map[string]float64
	}
)

const minute, hour, day = 60_000, 3_600_000, 86_400_000

// Traces returns all traces for a deployment.
func Traces(s Size, seed uint64) []*Trace {
	makers := []struct {
		name string
		args map[string]float64
		make func(*maker)
	}{
		{"first-request-bursts", map[string]float64{"minutes": 60, "bursts": 12, "models-in-burst": 12, "requests-in-burst": 72}, bursts},
		{"harvest-dawn", map[string]float64{"days": 6, "measured-from-day": 4, "models": 8, "requests-each": 60, "spread-minutes": 20}, dawn},
		{"mostly-idle-day", map[string]float64{"hours": 24, "sessions-a-day": 2, "requests-a-session": 8, "pause-seconds": 40}, idleDay},
		{"overnight-renewals", map[string]float64{"hours": 10, "drafts": 1500, "urgent-an-hour": 120}, overnight},
		{"slowed-store", map[string]float64{"minutes": 60, "bursts": 8, "models-in-burst": 3, "requests-in-burst": 12, "factor": 0.25}, slowed},
		{"lost-host", map[string]float64{"minutes": 60, "requests-a-second": 3, "models": 10}, lostHost},
		{"lost-failure-domain", map[string]float64{"minutes": 60, "requests-a-second": 2.5, "models": 10}, lostDomain},
		{"log-outage", map[string]float64{"minutes": 90, "requests-a-second": 1, "models": 16}, logOutage},
	}
	var out []*Trace
	for i, m := range makers {
		t := &Trace{Name: m.name, Deployment: s.Name, Seed: seed, Arguments: m.args}
		mk := &maker{t: t, s: s, rng: rand.New(rand.NewPCG(seed, uint64(i))), args: m.args}
		m.make(mk)
		sort.SliceStable(t.Requests, func(a, b int) bool { return t.Requests[a].AtMS < t.Requests[b].AtMS })
		out = append(out, t)
	}
	return out
}

// urgent adds an urgent request with 40 to 200 tokens and a deadline of 60 s.
func (m *maker) urgent(at float64, model int) {
	m.t.Requests = append(m.t.Requests, Request{
		AtMS: int64(at), Daemon: m.rng.IntN(m.s.Daemons), Model: model, Adapter: m.adapter(model),
		Class: declare.Urgent, DeadlineMS: 60_000, Tokens: 40 + m.rng.IntN(160),
	})
}

// adapter is that of model in half of the requests; 0 stands for none.
func (m *maker) adapter(model int) int {
	if m.rng.IntN(2) == 0 {
		return 0
	}
	return 1 + (model+m.s.Models*m.rng.IntN(1+m.s.Adapters/m.s.Models))%m.s.Adapters
}

// poisson adds urgent requests at rate a second over the first n models, the
// k-th of them used 1/k as much as the first.
func (m *maker) poisson(from, to, rate float64, n int) {
	var sum float64
	for k := range n {
		sum += 1 / float64(k+1)
	}
	for t := from; ; {
		t += m.rng.ExpFloat64() / rate * 1000
		if t >= to {
			return
		}
		k := 0
		for x := m.rng.Float64() * sum; k < n-1; k++ {
			if x -= 1 / float64(k+1); x <= 0 {
				break
			}
		}
		m.urgent(t, k)
	}
}

func bursts(m *maker) {
	m.t.LengthMS = int64(m.args["minutes"]) * minute
	m.burstsWithin(float64(m.t.LengthMS))
}

// burstsWithin adds bursts of first requests: all requests of one come within
// two seconds, at all daemons.
func (m *maker) burstsWithin(length float64) {
	n := int(m.args["bursts"])
	for b := range n {
		at := length * (float64(b) + 0.2 + 0.3*m.rng.Float64()) / float64(n)
		models := m.rng.Perm(m.s.Models)[:int(m.args["models-in-burst"])]
		for range int(m.args["requests-in-burst"]) {
			m.urgent(at+m.rng.Float64()*2000, models[m.rng.IntN(len(models))])
		}
	}
}

// dawn: each day the same models get their first requests around 05:30, with a
// deviation of 20 s, and then some for a while.
func dawn(m *maker) {
	days := int(m.args["days"])
	m.t.LengthMS = int64(days) * day
	m.t.from = int64(m.args["measured-from-day"]) * day
	for d := range days {
		for k := range int(m.args["models"]) {
			first := float64(d*day) + 5.5*hour + m.rng.NormFloat64()*20_000
			m.urgent(first, k)
			for range int(m.args["requests-each"]) - 1 {
				m.urgent(first+m.rng.Float64()*m.args["spread-minutes"]*minute, k)
			}
		}
	}
}

// idleDay: each model has few sessions at random times, with pauses between
// their requests.
func idleDay(m *maker) {
	m.t.LengthMS = day
	for k := range m.s.Models {
		n := m.args["sessions-a-day"] * 2 / math.Sqrt(float64(k+1))
		for range 1 + int(n+m.rng.Float64()) {
			at := m.rng.Float64() * 0.97 * day
			for range 1 + m.rng.IntN(int(m.args["requests-a-session"])*2) {
				m.urgent(at, k)
				at += m.rng.ExpFloat64() * m.args["pause-seconds"] * 1000
			}
		}
	}
}

// overnight: drafts come in the first hour, may wait for eight, and share
// three models with urgent requests.
func overnight(m *maker) {
	m.t.LengthMS = int64(m.args["hours"]) * hour
	for range int(m.args["drafts"]) {
		k := m.rng.IntN(3)
		m.t.Requests = append(m.t.Requests, Request{
			AtMS: int64(m.rng.Float64() * hour), Daemon: m.rng.IntN(m.s.Daemons), Model: k, Adapter: m.adapter(k),
			Class: declare.Background, DeadlineMS: 8 * hour, Tokens: 300 + m.rng.IntN(500),
		})
	}
	m.poisson(0, float64(m.t.LengthMS), m.args["urgent-an-hour"]/3600, 6)
}

func slowed(m *maker) {
	m.t.LengthMS = int64(m.args["minutes"]) * minute
	m.burstsWithin(float64(m.t.LengthMS))
	m.t.Faults = []Fault{{Kind: "store-slow", AtMS: m.t.LengthMS / 6, UntilMS: m.t.LengthMS * 2 / 3, Factor: m.args["factor"]}}
}

func lostHost(m *maker) {
	m.steady()
	m.t.Faults = []Fault{{Kind: "engine-lost", AtMS: m.t.LengthMS / 3, UntilMS: m.t.LengthMS, Engine: 0}}
}

func lostDomain(m *maker) {
	m.steady()
	m.t.Faults = []Fault{{Kind: "domain-lost", AtMS: m.t.LengthMS / 3, UntilMS: m.t.LengthMS, Engine: 0}}
}

func logOutage(m *maker) {
	m.steady()
	m.t.Faults = []Fault{{Kind: "log-down", AtMS: m.t.LengthMS / 3, UntilMS: m.t.LengthMS * 2 / 3}}
}

func (m *maker) steady() {
	m.t.LengthMS = int64(m.args["minutes"]) * minute
	m.poisson(0, float64(m.t.LengthMS)-2*minute, m.args["requests-a-second"], int(m.args["models"]))
}

// Encode writes t as JSON lines: a header, the faults, the requests.
func (t *Trace) Encode(w io.Writer) error {
	e := json.NewEncoder(w)
	if err := e.Encode(t); err != nil {
		return &OutputError{What: "trace " + t.Name, Cause: err}
	}
	for _, f := range t.Faults {
		if err := e.Encode(f); err != nil {
			return &OutputError{What: "trace " + t.Name, Cause: err}
		}
	}
	for _, r := range t.Requests {
		if err := e.Encode(r); err != nil {
			return &OutputError{What: "trace " + t.Name, Cause: err}
		}
	}
	return nil
}
