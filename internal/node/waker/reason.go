package waker

import (
	"strconv"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/rule/place"
)

// explain describes the reasons of a placement for logs and decision records.
func explain(l place.Load, q Request) string {
	s := "checkpoint " + l.Tier.String()
	if l.NeedsGrant {
		s += ", new grant"
	}
	if n := len(l.Evict); n > 0 {
		s += ", evicts " + strconv.Itoa(n)
	}
	if q.Extra {
		s += ", all replicas are busy"
	}
	return s
}

// refusalFault returns the fault for a placement that the policy refused.
func refusalFault(d place.Refuse, q Request) error {
	kind := fault.NoCapacity
	switch d.Reason {
	case place.ReplicaElsewhere, place.ReplicaLimit:
		kind = fault.ReplicaElsewhere
	case place.LogUnavailable:
		kind = fault.LogUnavailable
	case place.NoUpstream:
		kind = fault.UpstreamUnavailable
	case place.TooLate:
		kind = fault.DeadlineUnreachable
	case place.NoMemory:
	}
	return fault.New(kind, "no replica of %s@%s can be loaded: %s", q.Model, q.Version, d.Reason)
}
