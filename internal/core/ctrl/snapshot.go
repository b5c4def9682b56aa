package ctrl

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/azurespan/azurespan/declare"
)

type (
	// SnapshotError reports a snapshot that can't be restored.
	SnapshotError struct{ Cause error }

	snapshot struct {
		Applied      uint64                       `json:"applied"`
		Version      uint64                       `json:"version"`
		Operator     string                       `json:"operator"`
		Config       []byte                       `json:"config"`
		Owners       map[string]Ownership         `json:"owners"`
		FormerOwners map[string][]FormerOwnership `json:"formers"`
		Grants       []grantEntry                 `json:"grants"`
	}

	grantEntry struct {
		Upstream string `json:"upstream"`
		Model    string `json:"model"`
		Version  string `json:"version"`
		Grant
	}
)

// Error returns the cause's text after a prefix.
func (e *SnapshotError) Error() string { return "ctrl: snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Snapshot returns s as JSON. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Applied: s.applied, Version: s.version, Operator: s.operator,
		Config: s.rawConfig, Owners: s.owners, FormerOwners: s.formerOwners,
	}
	for _, gs := range s.grants {
		for k, g := range gs {
			snap.Grants = append(snap.Grants, grantEntry{Upstream: k.Upstream, Model: k.Model, Version: k.Version, Grant: g})
		}
	}
	sort.Slice(snap.Grants, func(i, j int) bool { return snap.Grants[i].GrantedAt < snap.Grants[j].GrantedAt })
	b, err := json.Marshal(snap)
	if err != nil {
		return nil, &SnapshotError{Cause: err}
	}
	return b, nil
}

// Restore returns the State in a snapshot.
func Restore(b []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(b, &snap); err != nil {
		return nil, &SnapshotError{Cause: err}
	}
	s := New()
	s.applied, s.version, s.operator, s.rawConfig = snap.Applied, snap.Version, snap.Operator, snap.Config
	if len(snap.Config) > 0 {
		d, err := declare.Decode(snap.Config)
		if err != nil {
			return nil, &SnapshotError{Cause: err}
		}
		s.index = declare.NewIndex(d)
	}
	for u, o := range snap.Owners {
		s.owners[u] = o
	}
	for u, owners := range snap.FormerOwners {
		s.formerOwners[u] = owners
	}
	for _, g := range snap.Grants {
		if s.grants[g.Upstream] == nil {
			s.grants[g.Upstream] = map[GrantKey]Grant{}
		}
		s.grants[g.Upstream][GrantKey{Upstream: g.Upstream, Model: g.Model, Version: g.Version}] = g.Grant
		s.replicas[g.Model]++
	}
	return s, nil
}

// Clone returns an independent copy of s that shares the configuration, which is
// immutable.
func (s *State) Clone() *State {
	c := *s
	c.owners = maps.Clone(s.owners)
	c.replicas = maps.Clone(s.replicas)
	c.formerOwners = make(map[string][]FormerOwnership, len(s.formerOwners))
	for u, owners := range s.formerOwners {
		c.formerOwners[u] = slices.Clone(owners)
	}
	c.grants = make(map[string]map[GrantKey]Grant, len(s.grants))
	for u, gs := range s.grants {
		c.grants[u] = maps.Clone(gs)
	}
	return &c
}
