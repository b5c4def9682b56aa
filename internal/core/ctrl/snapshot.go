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

// Error returns the cause's text.
func (e *SnapshotError) Error() string { return "ledger: snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Snapshot returns l as JSON. Equal states give equal bytes.
func (l *State) Snapshot() ([]byte, error) {
	s := snapshot{
		Applied: l.applied, Version: l.version, Operator: l.operator,
		Config: l.rawConfig, Owners: l.owners, FormerOwners: l.formerOwners,
	}
	for _, gs := range l.grants {
		for k, g := range gs {
			s.Grants = append(s.Grants, grantEntry{Upstream: k.Upstream, Model: k.Model, Version: k.Version, Grant: g})
		}
	}
	sort.Slice(s.Grants, func(i, j int) bool { return s.Grants[i].GrantedAt < s.Grants[j].GrantedAt })
	b, err := json.Marshal(s)
	if err != nil {
		return nil, &SnapshotError{Cause: err}
	}
	return b, nil
}

// Restore returns the Ledger in a snapshot.
func Restore(b []byte) (*State, error) {
	var s snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, &SnapshotError{Cause: err}
	}
	l := New()
	l.applied, l.version, l.operator, l.rawConfig = s.Applied, s.Version, s.Operator, s.Config
	if len(s.Config) > 0 {
		d, err := declare.Decode(s.Config)
		if err != nil {
			return nil, &SnapshotError{Cause: err}
		}
		l.index = declare.NewIndex(d)
	}
	for u, o := range s.Owners {
		l.owners[u] = o
	}
	for u, fs := range s.FormerOwners {
		l.formerOwners[u] = fs
	}
	for _, g := range s.Grants {
		if l.grants[g.Upstream] == nil {
			l.grants[g.Upstream] = map[GrantKey]Grant{}
		}
		l.grants[g.Upstream][GrantKey{Upstream: g.Upstream, Model: g.Model, Version: g.Version}] = g.Grant
		l.replicas[g.Model]++
	}
	return l, nil
}

// Clone returns an independent copy of l. It shares the configuration, which
// is immutable.
func (l *State) Clone() *State {
	c := *l
	c.owners = maps.Clone(l.owners)
	c.replicas = maps.Clone(l.replicas)
	c.formerOwners = make(map[string][]FormerOwnership, len(l.formerOwners))
	for u, fs := range l.formerOwners {
		c.formerOwners[u] = slices.Clone(fs)
	}
	c.grants = make(map[string]map[GrantKey]Grant, len(l.grants))
	for u, gs := range l.grants {
		c.grants[u] = maps.Clone(gs)
	}
	return &c
}
