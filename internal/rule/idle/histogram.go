package idle

import "math"

const (
	// buckets is the number of buckets of a histogram. Bucket i ends at
	// firstEdgeSeconds × √2^i, so that the last edge is 25.7 hours.
	buckets          = 36
	firstEdgeSeconds = 0.5
	// decayPerGap is the factor by which each new gap reduces the weight of
	// the older ones, so that about the last 200 count.
	decayPerGap = 0.995
	// priorWeight is the weight, in gaps, of the prior distribution, which is
	// uniform over the logarithm of the idle time.
	priorWeight = 1.0
)

// histogram is an exponentially decaying histogram of idle times in seconds,
// called gaps.
type histogram struct {
	weight [buckets]float32
}

// edges are the upper edges of the buckets in seconds.
var edges = func() (e [buckets]float64) {
	for i := range e {
		e[i] = firstEdgeSeconds * math.Pow(math.Sqrt2, float64(i))
	}
	return e
}()

// add adds a gap.
func (g *histogram) add(seconds float64) {
	i := 0
	for i < buckets-1 && edges[i] < seconds {
		i++
	}
	for j := range g.weight {
		g.weight[j] *= decayPerGap
	}
	g.weight[i]++
}

// worthKeeping returns for how many more seconds a replica that has been idle
// for age seconds should be kept to minimise the expected cost. miss is the
// cost, in seconds, of a request that finds no replica. hazard multiplies the
// hazard rate of requests that the histogram gives. g may be nil.
func (g *histogram) worthKeeping(age, miss, hazard float64) float64 {
	if age >= edges[buckets-1] {
		return 0
	}
	mass := func(i int) float64 {
		m := priorWeight / buckets
		if g != nil {
			m += float64(g.weight[i])
		}
		return m
	}
	first := 0
	for edges[first] <= age {
		first++
	}
	// Only the part of the first bucket beyond age counts.
	low := 0.0
	if first > 0 {
		low = edges[first-1]
	}
	part := mass(first) * (edges[first] - age) / (edges[first] - low)
	rest := part
	for i := first + 1; i < buckets; i++ {
		rest += mass(i)
	}
	// survival is the share of the gaps longer than age that are also longer
	// than an edge. Keeping the replica up to an edge costs the area under the
	// survival function up to there, plus a miss for the gaps that are longer.
	best, bestCost := 0.0, miss
	area, from, left, survival := 0.0, age, rest, 1.0
	for i := first; i < buckets; i++ {
		if i == first {
			left -= part
		} else {
			left -= mass(i)
		}
		next := math.Pow(max(left, 0)/rest, hazard)
		area += (survival + next) / 2 * (edges[i] - from)
		if cost := area + next*miss; cost < bestCost {
			best, bestCost = edges[i]-age, cost
		}
		from, survival = edges[i], next
	}
	return best
}
