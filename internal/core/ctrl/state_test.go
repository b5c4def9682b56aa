package ctrl

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/record"
)

// newTestState returns a state with version 1 in force. Upstream u1 checks
// fencing numbers and u2 ignores them; each has memory for two replicas. Model m
// may have two replicas, model n one.
func newTestState(t *testing.T) *State {
	t.Helper()
	d := &declare.Deployment{
		Name: "test", FailureDomains: []string{"a"},
		Services: []declare.Service{{Name: "s", Kind: declare.ModelService}},
		Upstreams: []declare.Upstream{
			{Name: "u1", Service: "s", FailureDomain: "a", Address: "127.0.0.1:1", MemoryBytes: 200, Accelerators: 1},
			{Name: "u2", Service: "s", FailureDomain: "a", Address: "127.0.0.1:2", MemoryBytes: 200, Accelerators: 1, IgnoresFencing: true},
		},
		Models: []declare.Model{
			{Name: "m", Services: []string{"s"}, Version: "1", Versions: []declare.Version{{Name: "1", WeightBytes: 80}, {Name: "2", WeightBytes: 80}}, KVBytes: 20, Replicas: 2},
			{Name: "n", Services: []string{"s"}, Version: "1", Versions: []declare.Version{{Name: "1", WeightBytes: 80}}, KVBytes: 20, Replicas: 1},
		},
	}
	var b bytes.Buffer
	must.NoError(t, d.Encode(&b))
	s := New()
	must.Eq(t, Accepted, s.Apply(1, record.Publish{Publication: "p", Operator: "op", Config: b.Bytes()}).Reason)
	return s
}

// TestLimits guards against a grant that exceeds the replica or memory limit,
// for different owners and orders of records.
func TestLimits(t *testing.T) {
	s := newTestState(t)
	steps := []struct {
		r    record.Record
		want Reason
	}{
		{record.Grant{Upstream: "u1", Epoch: 0, Model: "m", Version: "1"}, StaleEpoch},
		{record.TakeOwnership{Upstream: "u1", Daemon: "h1/1"}, Accepted},
		{record.TakeOwnership{Upstream: "u2", Daemon: "h2/1"}, Accepted},
		{record.Grant{Upstream: "u1", Epoch: 3, Model: "n", Version: "1"}, Accepted},
		{record.Grant{Upstream: "u2", Epoch: 4, Model: "n", Version: "1"}, ReplicaLimit},
		{record.Grant{Upstream: "u1", Epoch: 3, Model: "m", Version: "1"}, Accepted},
		{record.Grant{Upstream: "u1", Epoch: 3, Model: "m", Version: "1"}, AlreadyGranted},
		{record.Grant{Upstream: "u1", Epoch: 3, Model: "m", Version: "2"}, MemoryLimit},
		{record.Grant{Upstream: "u2", Epoch: 4, Model: "m", Version: "2"}, Accepted},
		{record.Grant{Upstream: "u2", Epoch: 4, Model: "m", Version: "1"}, ReplicaLimit},
		{record.Grant{Upstream: "u2", Epoch: 4, Model: "x", Version: "1"}, UnknownModel},
		{record.Release{Upstream: "u1", Epoch: 3, Model: "n", Version: "1", GrantedAt: 5}, Accepted},
		{record.Grant{Upstream: "u2", Epoch: 4, Model: "n", Version: "1"}, Accepted},
	}
	for i, step := range steps {
		out := s.Apply(uint64(i+2), step.r)
		must.Eq(t, step.want, out.Reason, must.Sprintf("step %d: %+v: %s", i, step.r, out.Detail))
	}
	must.Eq(t, int64(200), s.ReservedBytes("u2"))
}

// TestFormerOwner guards against the release of a replica on an upstream that
// ignores fencing numbers while a paused former owner may still order its load.
func TestFormerOwner(t *testing.T) {
	s := newTestState(t)
	apply := func(off uint64, r record.Record) Reason { return s.Apply(off, r).Reason }
	for i, u := range []string{"u1", "u2"} {
		must.Eq(t, Accepted, apply(uint64(2+i), record.TakeOwnership{Upstream: u, Daemon: "h1/1"}))
	}
	must.Eq(t, Accepted, apply(4, record.Grant{Upstream: "u1", Epoch: 2, Model: "m", Version: "1"}))
	must.Eq(t, Accepted, apply(5, record.Grant{Upstream: "u2", Epoch: 3, Model: "m", Version: "1"}))
	must.Eq(t, StaleEpoch, apply(6, record.TakeOwnership{Upstream: "u2", Daemon: "h2/1", Previous: 1}))
	must.Eq(t, Accepted, apply(7, record.TakeOwnership{Upstream: "u1", Daemon: "h2/1", Previous: 2}))
	must.Eq(t, Accepted, apply(8, record.TakeOwnership{Upstream: "u2", Daemon: "h2/1", Previous: 3}))
	must.Eq(t, StaleEpoch, apply(9, record.Grant{Upstream: "u2", Epoch: 3, Model: "n", Version: "1"}))
	must.Eq(t, Accepted, apply(10, record.Release{Upstream: "u1", Epoch: 7, Model: "m", Version: "1", GrantedAt: 4}))
	must.Eq(t, FormerOwnerUnacknowledged, apply(11, record.Release{Upstream: "u2", Epoch: 8, Model: "m", Version: "1", GrantedAt: 5}))
	must.Eq(t, Accepted, apply(12, record.Grant{Upstream: "u2", Epoch: 8, Model: "n", Version: "1"}))
	must.Eq(t, Accepted, apply(13, record.Release{Upstream: "u2", Epoch: 8, Model: "n", Version: "1", GrantedAt: 12}))
	must.Eq(t, NothingToDo, apply(14, record.AcknowledgeLoss{Upstream: "u2", Daemon: "h1/1", Epoch: 99}))
	must.Eq(t, Accepted, apply(15, record.AcknowledgeLoss{Upstream: "u2", Daemon: "h1/1", Epoch: 3}))
	must.Eq(t, Accepted, apply(16, record.Release{Upstream: "u2", Epoch: 8, Model: "m", Version: "1", GrantedAt: 5}))
	must.Eq(t, 0, s.Replicas("m"))
}

// TestConcurrentPublications guards against accepting both of two
// publications that replace the same version.
func TestConcurrentPublications(t *testing.T) {
	s := newTestState(t)
	raw := s.rawConfig
	must.Eq(t, Accepted, s.Apply(2, record.Publish{Operator: "first", Replaces: 1, Config: raw}).Reason)
	out := s.Apply(3, record.Publish{Operator: "second", Replaces: 1, Config: raw})
	must.Eq(t, StaleVersion, out.Reason)
	must.StrContains(t, out.Detail, "version 2 by first")
	must.Eq(t, uint64(2), s.Version())
	must.Eq(t, InvalidConfig, s.Apply(4, record.Publish{Replaces: 2, Config: []byte("{")}).Reason)
	must.Eq(t, OutOfOrder, s.Apply(4, record.Publish{Replaces: 2, Config: raw}).Reason)
}

// TestSnapshot guards against a restored or cloned state that differs from the
// state after the same records.
func TestSnapshot(t *testing.T) {
	s := newTestState(t)
	s.Apply(2, record.TakeOwnership{Upstream: "u2", Daemon: "h1/1"})
	s.Apply(3, record.Grant{Upstream: "u2", Epoch: 2, Model: "m", Version: "1"})
	s.Apply(4, record.TakeOwnership{Upstream: "u2", Daemon: "h2/1", Previous: 2})
	b, err := s.Snapshot()
	must.NoError(t, err)
	r, err := Restore(b)
	must.NoError(t, err)
	again, err := r.Snapshot()
	must.NoError(t, err)
	must.Eq(t, string(b), string(again))
	c := r.Clone()
	c.Apply(5, record.AcknowledgeLoss{Upstream: "u2", Daemon: "h1/1", Epoch: 2})
	must.Eq(t, Accepted, c.Apply(6, record.Release{Upstream: "u2", Epoch: 4, Model: "m", Version: "1", GrantedAt: 3}).Reason)
	again, err = r.Snapshot()
	must.NoError(t, err)
	must.Eq(t, string(b), string(again), must.Sprint("a change of the clone changed the original"))
	must.Eq(t, FormerOwnerUnacknowledged, r.Apply(5, record.Release{Upstream: "u2", Epoch: 4, Model: "m", Version: "1", GrantedAt: 3}).Reason)
	must.Eq(t, Accepted, r.Apply(6, record.HostGone{Host: "h1"}).Reason)
	must.Eq(t, Accepted, r.Apply(7, record.Release{Upstream: "u2", Epoch: 4, Model: "m", Version: "1", GrantedAt: 3}).Reason)
}

// TestLateRelease guards against a release whose append takes effect late and
// that would remove a newer grant of the same replica while it is loaded.
func TestLateRelease(t *testing.T) {
	s := newTestState(t)
	grant := record.Grant{Upstream: "u1", Epoch: 2, Model: "m", Version: "1"}
	release := record.Release{Upstream: "u1", Epoch: 2, Model: "m", Version: "1", GrantedAt: 3}
	for i, r := range []record.Record{record.TakeOwnership{Upstream: "u1", Daemon: "h1/1"}, grant, release, grant} {
		must.Eq(t, Accepted, s.Apply(uint64(i+2), r).Reason)
	}
	must.Eq(t, NotGranted, s.Apply(6, release).Reason)
	must.Eq(t, 1, s.Replicas("m"))
}
