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
	// Result holds the measurements of a run. Percentiles are in milliseconds.
	Result struct {
		// Requests is the number of requests sent, Answered that of those whose
		// answer was complete.
		Requests int `json:"requests"`
		Answered int `json:"answered"`
		// Skipped is the number of requests that were not sent because
		// Plan.Concurrency requests were in progress.
		Skipped int `json:"held-back"`
		// Refused counts refusals by their kind.
		Refused map[string]int `json:"refused"`
		// Errors counts wrong answers and broken connections by their cause.
		Errors map[string]int `json:"errors"`
		// Tokens is the number of tokens that arrived, including those of
		// incomplete answers.
		Tokens int64 `json:"tokens"`
		// Seconds is the time from the start of the run to the last answer.
		Seconds         float64     `json:"seconds"`
		TokensPerSecond float64     `json:"tokens-per-second"`
		FirstToken      Percentiles `json:"first-token-ms"`
		TokenGap        Percentiles `json:"token-gap-ms"`
		// FirstTokenTimes holds the first token times in ascending order.
		FirstTokenTimes []time.Duration `json:"-"`
	}

	// Percentiles are percentiles of a duration in milliseconds.
	Percentiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}

	// histogram counts durations in buckets. The bounds begin at 1 µs and grow
	// by the factor bucketGrowth.
	histogram struct {
		counts [buckets]int64
		total  int64
	}
)

const (
	bucketGrowth = 1.02
	// buckets is the number of buckets. The last bound is 1.02^1000 µs, which
	// is above 6 minutes.
	buckets = 1000
	// microsPerMilli is the number of microseconds in a millisecond.
	microsPerMilli = 1000
)

var logGrowth = math.Log(bucketGrowth)

// add counts d.
func (h *histogram) add(d time.Duration) {
	i := 0
	if d > time.Microsecond {
		i = int(math.Log(float64(d)/float64(time.Microsecond)) / logGrowth)
	}
	h.counts[min(i, buckets-1)]++
	h.total++
}

// quantile returns the lower bound of the bucket that holds the quantile q, in
// milliseconds, or 0 if h is empty.
func (h *histogram) quantile(q float64) float64 {
	left := int64(math.Ceil(q * float64(h.total)))
	for i, n := range h.counts {
		if left -= n; left <= 0 && h.total > 0 {
			if i == 0 {
				return 0
			}
			return math.Exp(float64(i)*logGrowth) / microsPerMilli
		}
	}
	return 0
}

// Quantile returns the quantile q of durations in ascending order, by nearest rank,
// in milliseconds. It returns 0 if there are none.
func Quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(ds)))) - 1
	return float64(ds[min(max(i, 0), len(ds)-1)]) / float64(time.Millisecond)
}

// Failed reports whether an answer was wrong or a connection broke.
func (r *Result) Failed() bool { return len(r.Errors) > 0 }

// WriteTable writes r as a human-readable table.
func (r *Result) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "requests          %d in %.1f s, %d answered, %d held back\n"+
		"tokens            %d, %.0f a second\n"+
		"first token, ms   p50 %.2f  p95 %.2f  p99 %.2f\n"+
		"token gap, ms     p50 %.3f  p95 %.3f  p99 %.3f\n"+
		"refused           %s\nerrors            %s\n",
		r.Requests, r.Seconds, r.Answered, r.Skipped, r.Tokens, r.TokensPerSecond,
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.TokenGap.P50, r.TokenGap.P95, r.TokenGap.P99,
		formatCounts(r.Refused), formatCounts(r.Errors))
	return err
}

// formatCounts returns the counts in m with their keys, in the order of the keys.
func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(out, ", ")
}
