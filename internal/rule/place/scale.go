package place

import (
	"math"
	"time"
)

// Backlog describes the requests for one model, for Justified.
type Backlog struct {
	// Waiting requests, and ArrivalsPerSecond as measured lately.
	Waiting           int
	ArrivalsPerSecond float64
	// Service is the mean time of a request in a sequence, Sequences the
	// number that one replica runs at once.
	ServiceTime time.Duration
	Sequences   int
	// Load is the time until a new replica would serve.
	LoadTime time.Duration
	// Limit is the model's replica limit.
	Limit int
	// ColdStartWeight of the deployment, in [0, 1].
	ColdStartWeight float64
}

// utilisation is the share of its sequences that a replica should use on
// average, so that bursts find a free one.
const utilisation = 0.8

// Justified returns how many replicas the backlog justifies: enough for the
// arrivals, and so many more that the waiting requests don't take longer than
// a load takes to bring another replica. A waiting time of half a load (weight
// 1) to twice a load (weight 0) justifies the next replica. The result is 0
// without requests and at most Limit.
func JustifiedReplicas(b Backlog) int {
	if b.Waiting == 0 && b.ArrivalsPerSecond <= 0 {
		return 0
	}
	perReplica := float64(max(b.Sequences, 1)) / max(b.ServiceTime.Seconds(), 1e-3)
	n := max(math.Ceil(b.ArrivalsPerSecond/(perReplica*utilisation)), 1)
	patience := b.LoadTime.Seconds() * math.Exp2(1-2*b.ColdStartWeight)
	if patience > 0 {
		// The backlog takes Waiting / (n × perReplica) with n replicas. The
		// first Sequences requests start at once.
		queued := float64(b.Waiting) - n*float64(b.Sequences)
		if queued > 0 {
			n = max(n, math.Ceil(float64(b.Waiting)/(perReplica*patience+float64(b.Sequences))))
		}
	}
	return min(int(min(n, math.MaxInt32)), b.Limit)
}
