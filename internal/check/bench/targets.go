package bench

import (
	"fmt"
	"strings"
)

// Limits of the targets (design). They are fixed before a run and not adjusted to
// its results.
const (
	maxColdStartToBound = 1.2   // cold start p99 as a multiple of the physical bound's
	maxColdStartToFixed = 0.5   // cold start p99 as a multiple of fixed-keep-alive's
	maxIdleToBound      = 1.25  // idle hours as a multiple of the clairvoyant bound, the Cooperative only
	minUrgentOnTime     = 0.999 // share of the feasible urgent requests
)

// Target is the comparison of one result of azurespan with its limit.
type Target struct {
	Deployment string  `json:"deployment"`
	Trace      string  `json:"trace"`
	Name       string  `json:"target"`
	Value      float64 `json:"value"`
	Limit      float64 `json:"limit"`
	Met        bool    `json:"met"`
	// Cause holds the figures that explain a missed target.
	Cause string `json:"cause,omitempty"`
}

// Targets compares azurespan's results with the targets.
func Targets(ms []*Metrics) []Target {
	fixed := map[[2]string]*Metrics{}
	for _, m := range ms {
		if m.Policy == "fixed-keep-alive" {
			fixed[[2]string{m.Deployment, m.Trace}] = m
		}
	}
	var out []Target
	for _, m := range ms {
		if m.Policy != "azurespan" {
			continue
		}
		add := func(name string, v, limit float64, met bool) {
			t := Target{Deployment: m.Deployment, Trace: m.Trace, Name: name, Value: v, Limit: limit, Met: met}
			if !met {
				t.Cause = cause(name, m, fixed[[2]string{m.Deployment, m.Trace}])
			}
			out = append(out, t)
		}
		addMax := func(name string, v, limit float64) { add(name, v, limit, v <= limit) }
		if m.ColdBound[p99] > 0 {
			addMax("cold-start-p99-to-bound", m.Cold[p99]/m.ColdBound[p99], maxColdStartToBound)
		}
		if f := fixed[[2]string{m.Deployment, m.Trace}]; f != nil && f.Cold[p99] > 0 {
			addMax("cold-start-p99-to-fixed-keep-alive", m.Cold[p99]/f.Cold[p99], maxColdStartToFixed)
		}
		if m.Deployment == "cooperative" && m.IdleBound > 0 {
			addMax("idle-accelerator-hours-to-bound", m.IdleHours/m.IdleBound, maxIdleToBound)
		}
		if m.UrgentFeasible > 0 {
			v := float64(m.UrgentOnTime) / float64(m.UrgentFeasible)
			add("urgent-on-time", v, minUrgentOnTime, v >= minUrgentOnTime)
		}
		addMax("not-ended-by-deadline", float64(m.Late), 0)
		addMax("refused-under-80-percent", float64(m.RefusedWithCapacity), 0)
	}
	return out
}

// cause returns the figures that explain a missed target.
func cause(name string, m, fixed *Metrics) string {
	switch name {
	case "cold-start-p99-to-fixed-keep-alive":
		s := fmt.Sprintf("the physical bound itself is %.2f of fixed-keep-alive's", m.ColdBound[p99]/fixed.Cold[p99])
		if n := fixed.Refused[string(deadlineExceeded)]; n > 0 {
			s += fmt.Sprintf(", whose waits end at the deadline for %d requests", n)
		}
		return s
	case "cold-start-p99-to-bound":
		return fmt.Sprintf("%.2f s against %.2f s, with up to %d loads from the store at once", m.Cold[p99], m.ColdBound[p99], m.MaxStoreLoads)
	case "idle-accelerator-hours-to-bound":
		return fmt.Sprintf("%.2f of %.2f h are loads and their waits for the store, which the bound doesn't have", m.LoadingHours, m.IdleHours)
	default:
		return formatRefusals(m.Refused)
	}
}

// FormatTargets returns the number of targets met and a line for each missed
// target.
func FormatTargets(ts []Target) string {
	var b strings.Builder
	met := 0
	for _, t := range ts {
		if t.Met {
			met++
		}
	}
	fmt.Fprintf(&b, "targets met: %d of %d\n", met, len(ts))
	for _, t := range ts {
		if !t.Met {
			fmt.Fprintf(&b, "missed: %s %s %s is %.4g, target %.4g (%s)\n", t.Deployment, t.Trace, t.Name, t.Value, t.Limit, t.Cause)
		}
	}
	return b.String()
}
