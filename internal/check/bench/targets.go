package bench

import (
	"fmt"
	"strings"
)

// Targets (design). They are fixed before a run and not adjusted to results.
const (
	targetCold      = 1.2   // times the physical bound, p99
	targetColdFixed = 0.5   // times fixed-keep-alive, p99
	targetIdle      = 1.25  // times the clairvoyant bound, the Cooperative only
	targetUrgent    = 0.999 // of the feasible urgent requests
)

// Target is one comparison of azurespan's result with a target.
type Target struct {
	Deployment string  `json:"deployment"`
	Trace      string  `json:"trace"`
	Name       string  `json:"target"`
	Value      float64 `json:"value"`
	Limit      float64 `json:"limit"`
	Met        bool    `json:"met"`
	// Cause holds the figures that explain a target that isn't met.
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
		most := func(name string, v, limit float64) { add(name, v, limit, v <= limit) }
		if m.ColdBound[2] > 0 {
			most("cold-start-p99-to-bound", m.Cold[2]/m.ColdBound[2], targetCold)
		}
		if f := fixed[[2]string{m.Deployment, m.Trace}]; f != nil && f.Cold[2] > 0 {
			most("cold-start-p99-to-fixed-keep-alive", m.Cold[2]/f.Cold[2], targetColdFixed)
		}
		if m.Deployment == "cooperative" && m.IdleBound > 0 {
			most("idle-accelerator-hours-to-bound", m.IdleHours/m.IdleBound, targetIdle)
		}
		if m.Urgent > 0 {
			v := float64(m.UrgentOnTime) / float64(m.Urgent)
			add("urgent-on-time", v, targetUrgent, v >= targetUrgent)
		}
		most("not-ended-by-deadline", float64(m.Late), 0)
		most("refused-under-80-percent", float64(m.RefusedUnder), 0)
	}
	return out
}

// cause states the figures behind a missed target.
func cause(name string, m, fixed *Metrics) string {
	switch name {
	case "cold-start-p99-to-fixed-keep-alive":
		s := fmt.Sprintf("the physical bound itself is %.2f of fixed-keep-alive's", m.ColdBound[2]/fixed.Cold[2])
		if n := fixed.Refused[string(cutAtDeadline)]; n > 0 {
			s += fmt.Sprintf(", whose waits end at the deadline for %d requests", n)
		}
		return s
	case "cold-start-p99-to-bound":
		return fmt.Sprintf("%.2f s against %.2f s, with up to %d loads from the store at once", m.Cold[2], m.ColdBound[2], m.StoreMost)
	case "idle-accelerator-hours-to-bound":
		return fmt.Sprintf("%.2f of %.2f h are loads and their waits for the store, which the bound doesn't have", m.LoadingHours, m.IdleHours)
	default:
		return reasons(m.Refused)
	}
}

// TargetText returns the number of targets met and a line for each missed one.
func TargetText(ts []Target) string {
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
