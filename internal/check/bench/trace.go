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
	// Request is a request of a trace. Times are in milliseconds, the deadline
	// relative to the arrival.
	Request struct {
		AtMS       int64         `json:"at-ms"`
		Daemon     int           `json:"daemon"`
		Model      int           `json:"model"`
		Adapter    int           `json:"adapter,omitempty"`
		Class      declare.Class `json:"class"`
		DeadlineMS int64         `json:"deadline-ms"`
		Tokens     int           `json:"tokens"`
	}

	// Fault is a fault that is active between two times.
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
		// measuredFromMS is when measuring starts. Earlier requests only give the
		// policies a usage history.
		measuredFromMS int64
	}

	// traceBuilder adds requests and faults to a trace.
	traceBuilder struct {
		trace      *Trace
		deployment Deployment
		rng        *rand.Rand
		args       map[string]float64
	}
)

const (
	secondMS       = 1000
	minuteMS       = 60_000
	hourMS         = 3_600_000
	dayMS          = 86_400_000
	secondsPerHour = 3600
)

// Traces returns all traces for a deployment.
func Traces(d Deployment, seed uint64) []*Trace {
	builders := []struct {
		name  string
		args  map[string]float64
		build func(*traceBuilder)
	}{
		{"first-request-bursts", map[string]float64{"minutes": 60, "bursts": 12, "models-in-burst": 12, "requests-in-burst": 72}, buildFirstRequestBursts},
		{"harvest-dawn", map[string]float64{"days": 6, "measured-from-day": 4, "models": 8, "requests-each": 60, "spread-minutes": 20}, buildHarvestDawn},
		{"mostly-idle-day", map[string]float64{"hours": 24, "sessions-a-day": 2, "requests-a-session": 8, "pause-seconds": 40}, buildMostlyIdleDay},
		{"overnight-renewals", map[string]float64{"hours": 10, "drafts": 1500, "urgent-an-hour": 120}, buildOvernightRenewals},
		{"slowed-store", map[string]float64{"minutes": 60, "bursts": 8, "models-in-burst": 3, "requests-in-burst": 12, "factor": 0.25}, buildSlowedStore},
		{"lost-host", map[string]float64{"minutes": 60, "requests-a-second": 3, "models": 10}, buildLostHost},
		{"lost-failure-domain", map[string]float64{"minutes": 60, "requests-a-second": 2.5, "models": 10}, buildLostFailureDomain},
		{"log-outage", map[string]float64{"minutes": 90, "requests-a-second": 1, "models": 16}, buildLogOutage},
	}
	var out []*Trace
	for i, v := range builders {
		t := &Trace{Name: v.name, Deployment: d.Name, Seed: seed, Arguments: v.args}
		b := &traceBuilder{trace: t, deployment: d, rng: rand.New(rand.NewPCG(seed, uint64(i))), args: v.args}
		v.build(b)
		sort.SliceStable(t.Requests, func(a, b int) bool { return t.Requests[a].AtMS < t.Requests[b].AtMS })
		out = append(out, t)
	}
	return out
}

const (
	urgentDeadlineMS = 60_000
	minUrgentTokens  = 40
	urgentTokenRange = 160
	minDraftTokens   = 300
	draftTokenRange  = 500
	draftDeadlineMS  = 8 * hourMS
	draftModels      = 3 // used by the drafts
	overnightModels  = 6 // used by the urgent requests of overnight-renewals
	harvestStartMS   = 5.5 * hourMS
	harvestStdDevMS  = 20_000
	burstLengthMS    = 2000
	// The trace is divided evenly between the bursts. A burst starts at this
	// share of its period, plus up to this range.
	burstEarliest, burstStartRange = 0.2, 0.3
	latestSession                  = 0.97         // start, as a share of the day
	quietEndMS                     = 2 * minuteMS // without new steady requests
)

// addUrgent adds an urgent request with 40 to 199 tokens and a deadline of 60 s.
func (b *traceBuilder) addUrgent(at float64, model int) {
	b.trace.Requests = append(b.trace.Requests, Request{
		AtMS: int64(at), Daemon: b.rng.IntN(b.deployment.Daemons), Model: model, Adapter: b.pickAdapter(model),
		Class: declare.Urgent, DeadlineMS: urgentDeadlineMS, Tokens: minUrgentTokens + b.rng.IntN(urgentTokenRange),
	})
}

// pickAdapter returns an adapter of model for half of the requests, and 0, which
// means none, for the others.
func (b *traceBuilder) pickAdapter(model int) int {
	if b.rng.IntN(2) == 0 {
		return 0
	}
	return 1 + (model+b.deployment.Models*b.rng.IntN(1+b.deployment.Adapters/b.deployment.Models))%b.deployment.Adapters
}

// addPoisson adds urgent requests as a Poisson process with the given rate per
// second. They go to the first n models, with a Zipf distribution: the k-th model
// gets 1/k of the requests of the first.
func (b *traceBuilder) addPoisson(from, to, rate float64, n int) {
	var sum float64
	for k := range n {
		sum += 1 / float64(k+1)
	}
	for t := from; ; {
		t += b.rng.ExpFloat64() / rate * secondMS
		if t >= to {
			return
		}
		k := 0
		for x := b.rng.Float64() * sum; k < n-1; k++ {
			if x -= 1 / float64(k+1); x <= 0 {
				break
			}
		}
		b.addUrgent(t, k)
	}
}

func buildFirstRequestBursts(b *traceBuilder) {
	b.trace.LengthMS = int64(b.args["minutes"]) * minuteMS
	b.addBursts(float64(b.trace.LengthMS))
}

// addBursts adds bursts of first requests. All requests of a burst arrive within
// two seconds, at all daemons.
func (b *traceBuilder) addBursts(lengthMS float64) {
	n := int(b.args["bursts"])
	for burst := range n {
		at := lengthMS * (float64(burst) + burstEarliest + burstStartRange*b.rng.Float64()) / float64(n)
		models := b.rng.Perm(b.deployment.Models)[:int(b.args["models-in-burst"])]
		for range int(b.args["requests-in-burst"]) {
			b.addUrgent(at+b.rng.Float64()*burstLengthMS, models[b.rng.IntN(len(models))])
		}
	}
}

// buildHarvestDawn gives the same models their first requests around 05:30 on each
// day, with a standard deviation of 20 s, and more requests in the minutes after.
func buildHarvestDawn(b *traceBuilder) {
	days := int(b.args["days"])
	b.trace.LengthMS = int64(days) * dayMS
	b.trace.measuredFromMS = int64(b.args["measured-from-day"]) * dayMS
	for d := range days {
		for k := range int(b.args["models"]) {
			first := float64(d*dayMS) + harvestStartMS + b.rng.NormFloat64()*harvestStdDevMS
			b.addUrgent(first, k)
			for range int(b.args["requests-each"]) - 1 {
				b.addUrgent(first+b.rng.Float64()*b.args["spread-minutes"]*minuteMS, k)
			}
		}
	}
}

// buildMostlyIdleDay gives each model a few sessions at random times, with pauses
// between the requests of a session.
func buildMostlyIdleDay(b *traceBuilder) {
	b.trace.LengthMS = dayMS
	for k := range b.deployment.Models {
		n := b.args["sessions-a-day"] * 2 / math.Sqrt(float64(k+1))
		for range 1 + int(n+b.rng.Float64()) {
			at := b.rng.Float64() * latestSession * dayMS
			for range 1 + b.rng.IntN(int(b.args["requests-a-session"])*2) {
				b.addUrgent(at, k)
				at += b.rng.ExpFloat64() * b.args["pause-seconds"] * secondMS
			}
		}
	}
}

// buildOvernightRenewals adds drafts that arrive in the first hour, have a deadline
// of eight hours, and share three models with urgent requests.
func buildOvernightRenewals(b *traceBuilder) {
	b.trace.LengthMS = int64(b.args["hours"]) * hourMS
	for range int(b.args["drafts"]) {
		k := b.rng.IntN(draftModels)
		b.trace.Requests = append(b.trace.Requests, Request{
			AtMS: int64(b.rng.Float64() * hourMS), Daemon: b.rng.IntN(b.deployment.Daemons), Model: k, Adapter: b.pickAdapter(k),
			Class: declare.Background, DeadlineMS: draftDeadlineMS, Tokens: minDraftTokens + b.rng.IntN(draftTokenRange),
		})
	}
	b.addPoisson(0, float64(b.trace.LengthMS), b.args["urgent-an-hour"]/secondsPerHour, overnightModels)
}

func buildSlowedStore(b *traceBuilder) {
	b.trace.LengthMS = int64(b.args["minutes"]) * minuteMS
	b.addBursts(float64(b.trace.LengthMS))
	b.trace.Faults = []Fault{{Kind: "store-slow", AtMS: b.trace.LengthMS / 6, UntilMS: b.trace.LengthMS * 2 / 3, Factor: b.args["factor"]}}
}

func buildLostHost(b *traceBuilder) {
	b.addSteadyLoad()
	b.trace.Faults = []Fault{{Kind: "engine-lost", AtMS: b.trace.LengthMS / 3, UntilMS: b.trace.LengthMS, Engine: 0}}
}

func buildLostFailureDomain(b *traceBuilder) {
	b.addSteadyLoad()
	b.trace.Faults = []Fault{{Kind: "domain-lost", AtMS: b.trace.LengthMS / 3, UntilMS: b.trace.LengthMS, Engine: 0}}
}

func buildLogOutage(b *traceBuilder) {
	b.addSteadyLoad()
	b.trace.Faults = []Fault{{Kind: "log-down", AtMS: b.trace.LengthMS / 3, UntilMS: b.trace.LengthMS * 2 / 3}}
}

// addSteadyLoad adds urgent requests at a constant rate, up to two minutes before
// the end of the trace.
func (b *traceBuilder) addSteadyLoad() {
	b.trace.LengthMS = int64(b.args["minutes"]) * minuteMS
	b.addPoisson(0, float64(b.trace.LengthMS)-quietEndMS, b.args["requests-a-second"], int(b.args["models"]))
}

// Encode writes t as JSON lines: a header, then the faults, then the requests.
func (t *Trace) Encode(w io.Writer) error {
	e := json.NewEncoder(w)
	if err := e.Encode(t); err != nil {
		return &WriteError{What: "trace " + t.Name, Cause: err}
	}
	for _, f := range t.Faults {
		if err := e.Encode(f); err != nil {
			return &WriteError{What: "trace " + t.Name, Cause: err}
		}
	}
	for _, r := range t.Requests {
		if err := e.Encode(r); err != nil {
			return &WriteError{What: "trace " + t.Name, Cause: err}
		}
	}
	return nil
}
