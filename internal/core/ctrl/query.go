package ctrl

import (
	"sort"
	"strings"

	"github.com/azurespan/azurespan/declare"
)

// HostOf returns the host part of a daemon's name.
func HostOf(daemon string) string {
	host, _, _ := strings.Cut(daemon, "/")
	return host
}

// Applied returns the offset of the last applied record.
func (s *State) Applied() uint64 { return s.applied }

// Version returns the version of the configuration in force, or 0 before the
// first publication.
func (s *State) Version() uint64 { return s.version }

// Operator returns the operator who published the version in force.
func (s *State) Operator() string { return s.operator }

// Config returns the configuration in force. It is shared and immutable.
func (s *State) Config() *declare.Index { return s.index }

// Owner returns the owner of an upstream; ok is false if it never had one.
func (s *State) Owner(upstream string) (o Ownership, ok bool) {
	o, ok = s.owners[upstream]
	return o, ok
}

// Grant returns the grant of k; ok is false if there is none.
func (s *State) Grant(k GrantKey) (g Grant, ok bool) {
	g, ok = s.grants[k.Upstream][k]
	return g, ok
}

// UpstreamGrants appends the grants of an upstream to dst in unspecified order
// and returns dst.
func (s *State) UpstreamGrants(dst []GrantKey, upstream string) []GrantKey {
	for k := range s.grants[upstream] {
		dst = append(dst, k)
	}
	return dst
}

// ModelGrants appends the grants of all versions of a model to dst, oldest
// first, and returns dst.
func (s *State) ModelGrants(dst []GrantKey, model string) []GrantKey {
	n := len(dst)
	if s.replicas[model] == 0 {
		return dst
	}
	for _, gs := range s.grants {
		for k := range gs {
			if k.Model == model {
				dst = append(dst, k)
			}
		}
	}
	sort.Slice(dst[n:], func(i, j int) bool {
		a, b := dst[n+i], dst[n+j]
		return s.grants[a.Upstream][a].GrantedAt < s.grants[b.Upstream][b].GrantedAt
	})
	return dst
}

// Surplus reports whether the configuration in force no longer allows the grant
// k: its model or version is no longer declared, or at least as many grants of
// the model as the replica limit are older than k.
func (s *State) Surplus(k GrantKey) bool {
	if _, ok := s.index.ReplicaBytes(k.Model, k.Version); !ok {
		return true
	}
	limit := s.index.Model(k.Model).Replicas
	if s.replicas[k.Model] <= limit {
		return false
	}
	for i, g := range s.ModelGrants(nil, k.Model) {
		if g == k {
			return i >= limit
		}
	}
	return false
}

// Replicas returns the number of grants of a model over all versions.
func (s *State) Replicas(model string) int { return s.replicas[model] }

// ReservedBytes returns the memory that the grants of an upstream reserve.
func (s *State) ReservedBytes(upstream string) int64 {
	var n int64
	for k, g := range s.grants[upstream] {
		n += s.grantBytes(k, g)
	}
	return n
}

// FormerOwners returns the replaced ownerships of an upstream whose loss has not
// been acknowledged. The slice is shared.
func (s *State) FormerOwners(upstream string) []FormerOwnership { return s.formerOwners[upstream] }

// CheckRelease returns Accepted if a release of k by the current owner would be
// accepted, and otherwise the reason for its rejection.
func (s *State) CheckRelease(k GrantKey) Reason {
	g, ok := s.Grant(k)
	if !ok {
		return NotGranted
	}
	u := s.index.Upstream(k.Upstream)
	if u != nil && !u.IgnoresFencing {
		return Accepted
	}
	for _, f := range s.formerOwners[k.Upstream] {
		if g.GrantedAt < f.LostAt {
			return FormerOwnerUnacknowledged
		}
	}
	return Accepted
}

// grantBytes returns the larger of the size reserved at the grant and the size
// in the configuration in force, because publishing a new size does not change
// what is loaded.
func (s *State) grantBytes(k GrantKey, g Grant) int64 {
	n, _ := s.index.ReplicaBytes(k.Model, k.Version)
	return max(n, g.Bytes)
}
