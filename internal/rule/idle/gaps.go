package idle

import "math"

const (
	// buckets of a histogram; bucket i ends at firstEdge × √2^i seconds, so
	// that the last edge is 25.7 hours.
	buckets   = 36
	firstEdge = 0.5
	// forget is the weight that older gaps keep at each new one, which makes
	// about the last 200 count.
	forget = 0.995
	// prior is the weight of the assumption, in gaps, that idle times are
	// spread evenly over the logarithm of time.
	prior = 1.0
)

// gaps is a histogram of idle times in seconds.
type gaps struct {
	weight [buckets]float32
}

// edges are the upper ends of the buckets in seconds.
var edges = func() (e [buckets]float64) {
	for i := range e {
		e[i] = firstEdge * math.Pow(math.Sqrt2, float64(i))
	}
	return e
}()

func (g *gaps) add(seconds float64) {
	i := 0
	for i < buckets-1 && edges[i] < seconds {
		i++
	}
	for j := range g.weight {
		g.weight[j] *= forget
	}
	g.weight[i]++
}

// worthKeeping returns for how many seconds more a replica that has been idle
// for age seconds is worth keeping, if a request that finds none costs miss
// seconds. hazard multiplies the rate of requests that the histogram gives. g
// may be nil.
func (g *gaps) worthKeeping(age, miss, hazard float64) float64 {
	if age >= edges[buckets-1] {
		return 0
	}
	mass := func(i int) float64 {
		m := prior / buckets
		if g != nil {
			m += float64(g.weight[i])
		}
		return m
	}
	first := 0
	for edges[first] <= age {
		first++
	}
	// Only the part of the first bucket beyond age remains.
	low := 0.0
	if first > 0 {
		low = edges[first-1]
	}
	part := mass(first) * (edges[first] - age) / (edges[first] - low)
	rest := part
	for i := first + 1; i < buckets; i++ {
		rest += mass(i)
	}
	// The share of gaps that outlast each edge, given that they outlast age.
	// Keeping up to an edge costs the area under that share plus the misses
	// that remain.
	best, bestCost := 0.0, miss
	area, from, left, survives := 0.0, age, rest, 1.0
	for i := first; i < buckets; i++ {
		if i == first {
			left -= part
		} else {
			left -= mass(i)
		}
		next := math.Pow(max(left, 0)/rest, hazard)
		area += (survives + next) / 2 * (edges[i] - from)
		if cost := area + next*miss; cost < bestCost {
			best, bestCost = edges[i]-age, cost
		}
		from, survives = edges[i], next
	}
	return best
}
