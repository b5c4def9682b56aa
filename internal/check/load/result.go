package load

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

type (
	// Result holds what one run measured. Times are in milliseconds.
	Result struct {
		// Requests sent, and those of them whose whole answer arrived.
		Requests int `json:"requests"`
		Answered int `json:"answered"`
		// HeldBack requests were not sent because too many were in progress.
		Skipped int `json:"held-back"`
		// Refused counts refusals by their kind.
		Refused map[string]int `json:"refused"`
		// Errors counts wrong answers and broken connections by their cause.
		Errors map[string]int `json:"errors"`
		// Tokens that arrived, those of broken answers included.
		Tokens int64 `json:"tokens"`
		// Seconds from the first request to the last answer.
		Seconds         float64     `json:"seconds"`
		TokensPerSecond float64     `json:"tokens-per-second"`
		FirstToken      Percentiles `json:"first-token-ms"`
		TokenGap        Percentiles `json:"token-gap-ms"`
		// Firsts holds the first token times, ascending.
		FirstTokenTimes []time.Duration `json:"-"`
	}

	// Percentiles of a time, in milliseconds.
	Percentiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}

	// histogram counts times in buckets whose bounds grow by 2%, from 1 µs.
	histogram struct {
		counts [buckets]int64
		total  int64
	}
)

// buckets reach 1.02^1000 µs, which is above 6 minutes.
const buckets = 1000

var logStep = math.Log(1.02)

func (h *histogram) add(d time.Duration) {
	i := 0
	if d > time.Microsecond {
		i = int(math.Log(float64(d)/float64(time.Microsecond)) / logStep)
	}
	h.counts[min(i, buckets-1)]++
	h.total++
}

// quantile returns the lower bound of the bucket with the quantile q, in
// milliseconds.
func (h *histogram) quantile(q float64) float64 {
	left := int64(math.Ceil(q * float64(h.total)))
	for i, n := range h.counts {
		if left -= n; left <= 0 && h.total > 0 {
			if i == 0 {
				return 0
			}
			return math.Exp(float64(i)*logStep) / 1000
		}
	}
	return 0
}

// Quantile returns the quantile q of ascending times, by nearest rank, in
// milliseconds; 0 without times.
func Quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(ds)))) - 1
	return float64(ds[min(max(i, 0), len(ds)-1)]) / float64(time.Millisecond)
}

// Failed reports whether an answer was wrong or broken.
func (r *Result) Failed() bool { return len(r.Errors) > 0 }

// Table writes r for people.
func (r *Result) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "requests          %d in %.1f s, %d answered, %d held back\n"+
		"tokens            %d, %.0f a second\n"+
		"first token, ms   p50 %.2f  p95 %.2f  p99 %.2f\n"+
		"token gap, ms     p50 %.3f  p95 %.3f  p99 %.3f\n"+
		"refused           %s\nerrors            %s\n",
		r.Requests, r.Seconds, r.Answered, r.Skipped, r.Tokens, r.TokensPerSecond,
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.TokenGap.P50, r.TokenGap.P95, r.TokenGap.P99,
		counts(r.Refused), counts(r.Errors))
	return err
}

func counts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(out, ", ")
}
