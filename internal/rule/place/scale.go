package place

import (
	"math"
	"time"
)

// Backlog describes the requests for one model, for JustifiedReplicas.
type Backlog struct {
	// Waiting is the number of waiting requests, ArrivalsPerSecond the recent
	// arrival rate.
	Waiting           int
	ArrivalsPerSecond float64
	// ServiceTime is the mean time that a request occupies a sequence,
	// Sequences the number of sequences that one replica runs concurrently.
	ServiceTime time.Duration
	Sequences   int
	// LoadTime is the time until a new replica would serve.
	LoadTime time.Duration
	// Limit is the model's replica limit.
	Limit int
	// ColdStartWeight of the deployment, in [0, 1].
	ColdStartWeight float64
}

const (
	// targetUtilisation is the share of its sequences that a replica should
	// use on average, so that bursts find a free one.
	targetUtilisation = 0.8
	// minServiceSeconds is the least service time that is assumed.
	minServiceSeconds = 1e-3
)

// JustifiedReplicas returns the number of replicas that the backlog justifies:
// enough for the arrivals, and so many more that the waiting requests are
// served within about the load time of another replica. A waiting time of half
// the load time (weight 1) to twice the load time (weight 0) justifies the next
// replica. The result is 0 without requests and at most Limit.
func JustifiedReplicas(b Backlog) int {
	if b.Waiting == 0 && b.ArrivalsPerSecond <= 0 {
		return 0
	}
	perReplica := float64(max(b.Sequences, 1)) / max(b.ServiceTime.Seconds(), minServiceSeconds)
	n := max(math.Ceil(b.ArrivalsPerSecond/(perReplica*targetUtilisation)), 1)
	targetWait := b.LoadTime.Seconds() * math.Exp2(1-2*b.ColdStartWeight)
	if targetWait > 0 {
		// n replicas serve the backlog in Waiting / (n × perReplica) seconds.
		// The first Sequences requests start at once.
		queued := float64(b.Waiting) - n*float64(b.Sequences)
		if queued > 0 {
			n = max(n, math.Ceil(float64(b.Waiting)/(perReplica*targetWait+float64(b.Sequences))))
		}
	}
	return min(int(min(n, math.MaxInt32)), b.Limit)
}
