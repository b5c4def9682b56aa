package ctrl

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/record"
)

type (
	// GrantKey identifies a grant.
	GrantKey struct {
		Upstream string
		Model    string
		Version  string
	}

	// Ownership is the right of Daemon to order loads on an upstream.
	Ownership struct {
		Daemon string `json:"daemon"`
		// Epoch is the offset of the ownership record. Orders to the upstream
		// carry it as their fencing number.
		Epoch uint64 `json:"epoch"`
		// Resigned is set once the owner has resigned or its host is gone.
		Resigned bool `json:"resigned,omitempty"`
	}

	// FormerOwnership is an ownership that was replaced by the record at
	// offset LostAt and whose owner has not acknowledged the loss.
	FormerOwnership struct {
		Daemon string `json:"daemon"`
		Epoch  uint64 `json:"epoch"`
		LostAt uint64 `json:"lost-at"`
	}

	// Grant is a replica that counts against the limits.
	Grant struct {
		// GrantedAt is the offset of the grant's record.
		GrantedAt uint64 `json:"granted-at"`
		// Bytes is the memory reserved when it was granted.
		Bytes int64 `json:"bytes"`
	}

	// Reason states why a record was rejected; empty means that it was
	// accepted.
	Reason string

	// Outcome is the result of applying one record.
	Outcome struct {
		Offset uint64
		Record record.Record
		Reason Reason
		Detail string
	}

	// State is the state of the control stream after its applied records. The
	// zero value is not usable; see New.
	State struct {
		applied      uint64
		version      uint64
		operator     string
		rawConfig    []byte
		index        *declare.Index
		owners       map[string]Ownership
		formerOwners map[string][]FormerOwnership
		grants       map[string]map[GrantKey]Grant // by upstream
		replicas     map[string]int                // grants by model
	}
)

// Reasons for a record without effect. Accepted is the absence of one.
const (
	Accepted                  Reason = ""
	StaleVersion              Reason = "stale-version"
	InvalidConfig             Reason = "invalid-config"
	StaleEpoch                Reason = "stale-epoch"
	UnknownUpstream           Reason = "unknown-upstream"
	UnknownModel              Reason = "unknown-model"
	WrongService              Reason = "wrong-service"
	AlreadyGranted            Reason = "already-granted"
	NotGranted                Reason = "not-granted"
	ReplicaLimit              Reason = "replica-limit"
	MemoryLimit               Reason = "memory-limit"
	FormerOwnerUnacknowledged Reason = "former-owner-not-acknowledged"
	NothingToDo               Reason = "nothing-to-do"
	OutOfOrder                Reason = "out-of-order"
	UnknownRecord             Reason = "unknown-record"
	SnapshotRecorded          Reason = "snapshot-recorded"
)

// New returns the empty state before offset 1.
func New() *State {
	return &State{
		index:        declare.NewIndex(&declare.Deployment{}),
		owners:       map[string]Ownership{},
		formerOwners: map[string][]FormerOwnership{},
		grants:       map[string]map[GrantKey]Grant{},
		replicas:     map[string]int{},
	}
}

// Apply applies the record at offset to s. Records are applied once, in order
// of their offsets. Gaps between offsets are allowed, because a stream may hold
// records that can't be decoded, and all readers skip these.
func (s *State) Apply(offset uint64, r record.Record) Outcome {
	out := Outcome{Offset: offset, Record: r}
	if offset <= s.applied {
		out.Reason = OutOfOrder
		out.Detail = fmt.Sprintf("offset %d is applied already, at %d", offset, s.applied)
		return out
	}
	s.applied = offset
	switch r := r.(type) {
	case record.Publish:
		out.Reason, out.Detail = s.publish(offset, r)
	case record.TakeOwnership:
		out.Reason, out.Detail = s.takeOwnership(offset, r)
	case record.AcknowledgeLoss:
		out.Reason, out.Detail = s.acknowledgeLoss(r)
	case record.HostGone:
		out.Reason, out.Detail = s.hostGone(r)
	case record.Grant:
		out.Reason, out.Detail = s.grant(offset, r)
	case record.Release:
		out.Reason, out.Detail = s.release(r)
	case record.Snapshot:
		out.Reason = SnapshotRecorded
	default:
		out.Reason = UnknownRecord
	}
	return out
}

// Skip advances s past a record that can't be decoded.
func (s *State) Skip(offset uint64) {
	s.applied = max(s.applied, offset)
}

func (s *State) publish(offset uint64, r record.Publish) (Reason, string) {
	if r.Replaces != s.version {
		return StaleVersion, fmt.Sprintf("replaces version %d, but version %d by %s is in force", r.Replaces, s.version, s.operator)
	}
	d, err := declare.Decode(r.Config)
	if err != nil {
		return InvalidConfig, err.Error()
	}
	if err := d.Validate(); err != nil {
		return InvalidConfig, err.Error()
	}
	s.version, s.operator, s.rawConfig = offset, r.Operator, r.Config
	s.index = declare.NewIndex(d)
	for u := range s.grants {
		if s.index.Upstream(u) == nil {
			s.dropUpstreamGrants(u)
		}
	}
	return Accepted, ""
}

// dropUpstreamGrants removes the grants of an upstream that the operators have
// removed from the configuration or whose host the platform reports gone. Either
// happens only after the engine has stopped for good.
func (s *State) dropUpstreamGrants(upstream string) {
	for k := range s.grants[upstream] {
		s.dropGrant(k)
	}
}

func (s *State) dropGrant(k GrantKey) {
	delete(s.grants[k.Upstream], k)
	if len(s.grants[k.Upstream]) == 0 {
		delete(s.grants, k.Upstream)
	}
	if s.replicas[k.Model]--; s.replicas[k.Model] == 0 {
		delete(s.replicas, k.Model)
	}
}

func (s *State) takeOwnership(offset uint64, r record.TakeOwnership) (Reason, string) {
	if s.index.Upstream(r.Upstream) == nil {
		return UnknownUpstream, r.Upstream
	}
	o, ok := s.owners[r.Upstream]
	if o.Epoch != r.Previous {
		return StaleEpoch, fmt.Sprintf("previous epoch %d, but %s owns %s since epoch %d", r.Previous, o.Daemon, r.Upstream, o.Epoch)
	}
	if ok && !o.Resigned {
		s.formerOwners[r.Upstream] = append(s.formerOwners[r.Upstream], FormerOwnership{Daemon: o.Daemon, Epoch: o.Epoch, LostAt: offset})
	}
	s.owners[r.Upstream] = Ownership{Daemon: r.Daemon, Epoch: offset}
	return Accepted, ""
}

func (s *State) acknowledgeLoss(r record.AcknowledgeLoss) (Reason, string) {
	if o, ok := s.owners[r.Upstream]; ok && o.Daemon == r.Daemon && o.Epoch == r.Epoch {
		o.Resigned = true
		s.owners[r.Upstream] = o
		return Accepted, ""
	}
	owners := s.formerOwners[r.Upstream]
	remaining := owners[:0:0]
	for _, f := range owners {
		if f.Daemon != r.Daemon || f.Epoch != r.Epoch {
			remaining = append(remaining, f)
		}
	}
	if len(remaining) == len(owners) {
		return NothingToDo, ""
	}
	s.setFormerOwners(r.Upstream, remaining)
	return Accepted, ""
}

func (s *State) hostGone(r record.HostGone) (Reason, string) {
	changed := len(s.grants[r.Host]) > 0
	s.dropUpstreamGrants(r.Host)
	for u, o := range s.owners {
		if HostOf(o.Daemon) == r.Host && !o.Resigned {
			o.Resigned = true
			s.owners[u] = o
			changed = true
		}
	}
	for u, owners := range s.formerOwners {
		remaining := owners[:0:0]
		for _, f := range owners {
			if HostOf(f.Daemon) != r.Host {
				remaining = append(remaining, f)
			}
		}
		if len(remaining) != len(owners) {
			s.setFormerOwners(u, remaining)
			changed = true
		}
	}
	if !changed {
		return NothingToDo, ""
	}
	return Accepted, ""
}

func (s *State) setFormerOwners(upstream string, owners []FormerOwnership) {
	if len(owners) == 0 {
		delete(s.formerOwners, upstream)
		return
	}
	s.formerOwners[upstream] = owners
}

// checkOwner returns Accepted if epoch is that of the current ownership and the
// owner has not resigned.
func (s *State) checkOwner(upstream string, epoch uint64) (Reason, string) {
	o := s.owners[upstream]
	if o.Epoch != epoch || o.Resigned || epoch == 0 {
		return StaleEpoch, fmt.Sprintf("epoch %d, but %s owns %s since epoch %d", epoch, o.Daemon, upstream, o.Epoch)
	}
	return Accepted, ""
}

func (s *State) grant(offset uint64, r record.Grant) (Reason, string) {
	if reason, detail := s.checkOwner(r.Upstream, r.Epoch); reason != Accepted {
		return reason, detail
	}
	u := s.index.Upstream(r.Upstream)
	if u == nil {
		return UnknownUpstream, r.Upstream
	}
	m := s.index.Model(r.Model)
	required, ok := s.index.ReplicaBytes(r.Model, r.Version)
	if m == nil || !ok {
		return UnknownModel, r.Model + "@" + r.Version
	}
	if !m.Serves(u.Service) {
		return WrongService, fmt.Sprintf("model %s is not declared for service %s", r.Model, u.Service)
	}
	k := GrantKey{Upstream: r.Upstream, Model: r.Model, Version: r.Version}
	if _, ok := s.grants[r.Upstream][k]; ok {
		return AlreadyGranted, ""
	}
	if n := s.replicas[r.Model]; n >= m.Replicas {
		return ReplicaLimit, fmt.Sprintf("model %s has %d of %d replicas", r.Model, n, m.Replicas)
	}
	if used := s.ReservedBytes(r.Upstream); used+required > u.MemoryBytes {
		return MemoryLimit, fmt.Sprintf("%s needs %d bytes, %d of %d are reserved on %s", r.Model, required, used, u.MemoryBytes, r.Upstream)
	}
	if s.grants[r.Upstream] == nil {
		s.grants[r.Upstream] = map[GrantKey]Grant{}
	}
	s.grants[r.Upstream][k] = Grant{GrantedAt: offset, Bytes: required}
	s.replicas[r.Model]++
	return Accepted, ""
}

func (s *State) release(r record.Release) (Reason, string) {
	if reason, detail := s.checkOwner(r.Upstream, r.Epoch); reason != Accepted {
		return reason, detail
	}
	k := GrantKey{Upstream: r.Upstream, Model: r.Model, Version: r.Version}
	if g, ok := s.Grant(k); ok && g.GrantedAt != r.GrantedAt {
		return NotGranted, fmt.Sprintf("the grant at offset %d is gone, there is a newer one at %d", r.GrantedAt, g.GrantedAt)
	}
	if reason := s.CheckRelease(k); reason != Accepted {
		return reason, ""
	}
	s.dropGrant(k)
	return Accepted, ""
}
