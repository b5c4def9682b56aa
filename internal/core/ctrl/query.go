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
func (l *State) Applied() uint64 { return l.applied }

// Version returns the version in force, 0 before the first publication.
func (l *State) Version() uint64 { return l.version }

// Operator returns who published the version in force.
func (l *State) Operator() string { return l.operator }

// Config returns the configuration in force. It is shared and immutable.
func (l *State) Config() *declare.Index { return l.index }

// Owner returns the owner of an upstream; ok is false if it never had one.
func (l *State) Owner(upstream string) (o Ownership, ok bool) {
	o, ok = l.owners[upstream]
	return o, ok
}

// Grant returns the grant for k.
func (l *State) Grant(k GrantKey) (g Grant, ok bool) {
	g, ok = l.grants[k.Upstream][k]
	return g, ok
}

// GrantsOf appends the grants of an upstream to dst and returns it. The order
// is unspecified.
func (l *State) UpstreamGrants(dst []GrantKey, upstream string) []GrantKey {
	for k := range l.grants[upstream] {
		dst = append(dst, k)
	}
	return dst
}

// Holders appends the grants of a model, all versions, to dst and returns it,
// oldest first.
func (l *State) ModelGrants(dst []GrantKey, model string) []GrantKey {
	n := len(dst)
	if l.replicas[model] == 0 {
		return dst
	}
	for _, gs := range l.grants {
		for k := range gs {
			if k.Model == model {
				dst = append(dst, k)
			}
		}
	}
	sort.Slice(dst[n:], func(i, j int) bool {
		a, b := dst[n+i], dst[n+j]
		return l.grants[a.Upstream][a].GrantedAt < l.grants[b.Upstream][b].GrantedAt
	})
	return dst
}

// Surplus reports whether the configuration in force no longer allows the
// grant k: its model or version is not declared any more, or the replica
// limit is below the rank of the grant by age.
func (l *State) Surplus(k GrantKey) bool {
	if _, ok := l.index.ReplicaBytes(k.Model, k.Version); !ok {
		return true
	}
	limit := l.index.Model(k.Model).Replicas
	if l.replicas[k.Model] <= limit {
		return false
	}
	for i, h := range l.ModelGrants(nil, k.Model) {
		if h == k {
			return i >= limit
		}
	}
	return false
}

// Replicas returns the number of grants of a model over all versions.
func (l *State) Replicas(model string) int { return l.replicas[model] }

// Reserved returns the memory in bytes that the grants of an upstream reserve.
func (l *State) ReservedBytes(upstream string) int64 {
	var n int64
	for k, g := range l.grants[upstream] {
		n += l.grantBytes(k, g)
	}
	return n
}

// FormersOf returns the replaced owners of an upstream that have not
// acknowledged; the slice is shared.
func (l *State) FormerOwners(upstream string) []FormerOwnership { return l.formerOwners[upstream] }

// Releasable reports whether a release of k would be accepted from the
// current owner, and otherwise why not.
func (l *State) CheckRelease(k GrantKey) Reason {
	g, ok := l.Grant(k)
	if !ok {
		return NotGranted
	}
	u := l.index.Upstream(k.Upstream)
	if u != nil && !u.IgnoresFencing {
		return Accepted
	}
	for _, f := range l.formerOwners[k.Upstream] {
		if g.GrantedAt < f.LostAt {
			return FormerOwnerUnacknowledged
		}
	}
	return Accepted
}

// bytesOf returns the larger of what a grant reserved and what the
// configuration in force says, because a published change of size does not
// change what is loaded.
func (l *State) grantBytes(k GrantKey, g Grant) int64 {
	n, _ := l.index.ReplicaBytes(k.Model, k.Version)
	return max(n, g.Bytes)
}
