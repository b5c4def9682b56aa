package ctrl

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/record"
)

type (
	// Key names a grant.
	GrantKey struct {
		Upstream string
		Model    string
		Version  string
	}

	// Ownership is the right of Daemon to order loads on an upstream.
	Ownership struct {
		Daemon string `json:"daemon"`
		// Epoch is the offset of the ownership record; orders carry it as
		// fencing number.
		Epoch uint64 `json:"epoch"`
		// Resigned is set once the owner has acknowledged that it is done.
		Resigned bool `json:"resigned,omitempty"`
	}

	// Former is an owner that was replaced at LostAt and has not
	// acknowledged it.
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

	// Reason says why a record had no effect; empty means that it had one.
	Reason string

	// Outcome is the result of applying one record.
	Outcome struct {
		Offset uint64
		Record record.Record
		Reason Reason
		Detail string
	}

	// Ledger is the folded state. The zero value is not usable; see New.
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

// Reasons for a record without effect.
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

// New returns an empty Ledger, the state before offset 1.
func New() *State {
	return &State{
		index:        declare.NewIndex(&declare.Deployment{}),
		owners:       map[string]Ownership{},
		formerOwners: map[string][]FormerOwnership{},
		grants:       map[string]map[GrantKey]Grant{},
		replicas:     map[string]int{},
	}
}

// Apply folds the record at offset into l. Records are applied once, in order
// of their offsets; offset gaps are allowed because a stream may hold records
// that can't be decoded, which are skipped by all readers alike.
func (l *State) Apply(offset uint64, r record.Record) Outcome {
	out := Outcome{Offset: offset, Record: r}
	if offset <= l.applied {
		out.Reason = OutOfOrder
		out.Detail = fmt.Sprintf("offset %d is applied already, at %d", offset, l.applied)
		return out
	}
	l.applied = offset
	switch r := r.(type) {
	case record.Publish:
		out.Reason, out.Detail = l.publish(offset, r)
	case record.TakeOwnership:
		out.Reason, out.Detail = l.takeOwnership(offset, r)
	case record.AcknowledgeLoss:
		out.Reason, out.Detail = l.acknowledgeLoss(r)
	case record.HostGone:
		out.Reason, out.Detail = l.hostGone(r)
	case record.Grant:
		out.Reason, out.Detail = l.grant(offset, r)
	case record.Release:
		out.Reason, out.Detail = l.release(r)
	case record.Snapshot:
		out.Reason = SnapshotRecorded
	default:
		out.Reason = UnknownRecord
	}
	return out
}

// Skip advances l past a record that can't be decoded.
func (l *State) Skip(offset uint64) {
	l.applied = max(l.applied, offset)
}

func (l *State) publish(offset uint64, r record.Publish) (Reason, string) {
	if r.Replaces != l.version {
		return StaleVersion, fmt.Sprintf("replaces version %d, but version %d by %s is in force", r.Replaces, l.version, l.operator)
	}
	d, err := declare.Decode(r.Config)
	if err != nil {
		return InvalidConfig, err.Error()
	}
	if err := d.Validate(); err != nil {
		return InvalidConfig, err.Error()
	}
	l.version, l.operator, l.rawConfig = offset, r.Operator, r.Config
	l.index = declare.NewIndex(d)
	for u := range l.grants {
		if l.index.Upstream(u) == nil {
			l.dropUpstreamGrants(u)
		}
	}
	return Accepted, ""
}

// dropGrants removes the grants of an upstream that is gone: its operators
// have removed it from the configuration, or the platform reports its host
// gone. Either is stated only after the engine has stopped for good.
func (l *State) dropUpstreamGrants(upstream string) {
	for k := range l.grants[upstream] {
		l.dropGrant(k)
	}
}

// drop removes one grant.
func (l *State) dropGrant(k GrantKey) {
	delete(l.grants[k.Upstream], k)
	if len(l.grants[k.Upstream]) == 0 {
		delete(l.grants, k.Upstream)
	}
	if l.replicas[k.Model]--; l.replicas[k.Model] == 0 {
		delete(l.replicas, k.Model)
	}
}

func (l *State) takeOwnership(offset uint64, r record.TakeOwnership) (Reason, string) {
	if l.index.Upstream(r.Upstream) == nil {
		return UnknownUpstream, r.Upstream
	}
	o, ok := l.owners[r.Upstream]
	if o.Epoch != r.Previous {
		return StaleEpoch, fmt.Sprintf("previous epoch %d, but %s owns %s since epoch %d", r.Previous, o.Daemon, r.Upstream, o.Epoch)
	}
	if ok && !o.Resigned {
		l.formerOwners[r.Upstream] = append(l.formerOwners[r.Upstream], FormerOwnership{Daemon: o.Daemon, Epoch: o.Epoch, LostAt: offset})
	}
	l.owners[r.Upstream] = Ownership{Daemon: r.Daemon, Epoch: offset}
	return Accepted, ""
}

func (l *State) acknowledgeLoss(r record.AcknowledgeLoss) (Reason, string) {
	if o, ok := l.owners[r.Upstream]; ok && o.Daemon == r.Daemon && o.Epoch == r.Epoch {
		o.Resigned = true
		l.owners[r.Upstream] = o
		return Accepted, ""
	}
	fs := l.formerOwners[r.Upstream]
	kept := fs[:0:0]
	for _, f := range fs {
		if f.Daemon != r.Daemon || f.Epoch != r.Epoch {
			kept = append(kept, f)
		}
	}
	if len(kept) == len(fs) {
		return NothingToDo, ""
	}
	l.setFormerOwners(r.Upstream, kept)
	return Accepted, ""
}

func (l *State) hostGone(r record.HostGone) (Reason, string) {
	changed := len(l.grants[r.Host]) > 0
	l.dropUpstreamGrants(r.Host)
	for u, o := range l.owners {
		if HostOf(o.Daemon) == r.Host && !o.Resigned {
			o.Resigned = true
			l.owners[u] = o
			changed = true
		}
	}
	for u, fs := range l.formerOwners {
		kept := fs[:0:0]
		for _, f := range fs {
			if HostOf(f.Daemon) != r.Host {
				kept = append(kept, f)
			}
		}
		if len(kept) != len(fs) {
			l.setFormerOwners(u, kept)
			changed = true
		}
	}
	if !changed {
		return NothingToDo, ""
	}
	return Accepted, ""
}

func (l *State) setFormerOwners(upstream string, fs []FormerOwnership) {
	if len(fs) == 0 {
		delete(l.formerOwners, upstream)
		return
	}
	l.formerOwners[upstream] = fs
}

// current checks that epoch is the current, not resigned ownership.
func (l *State) checkOwner(upstream string, epoch uint64) (Reason, string) {
	o := l.owners[upstream]
	if o.Epoch != epoch || o.Resigned || epoch == 0 {
		return StaleEpoch, fmt.Sprintf("epoch %d, but %s owns %s since epoch %d", epoch, o.Daemon, upstream, o.Epoch)
	}
	return Accepted, ""
}

func (l *State) grant(offset uint64, r record.Grant) (Reason, string) {
	if why, detail := l.checkOwner(r.Upstream, r.Epoch); why != Accepted {
		return why, detail
	}
	u := l.index.Upstream(r.Upstream)
	if u == nil {
		return UnknownUpstream, r.Upstream
	}
	m := l.index.Model(r.Model)
	need, ok := l.index.ReplicaBytes(r.Model, r.Version)
	if m == nil || !ok {
		return UnknownModel, r.Model + "@" + r.Version
	}
	if !m.Serves(u.Service) {
		return WrongService, fmt.Sprintf("model %s is not declared for service %s", r.Model, u.Service)
	}
	k := GrantKey{Upstream: r.Upstream, Model: r.Model, Version: r.Version}
	if _, ok := l.grants[r.Upstream][k]; ok {
		return AlreadyGranted, ""
	}
	if n := l.replicas[r.Model]; n >= m.Replicas {
		return ReplicaLimit, fmt.Sprintf("model %s has %d of %d replicas", r.Model, n, m.Replicas)
	}
	if used := l.ReservedBytes(r.Upstream); used+need > u.MemoryBytes {
		return MemoryLimit, fmt.Sprintf("%s needs %d bytes, %d of %d are reserved on %s", r.Model, need, used, u.MemoryBytes, r.Upstream)
	}
	if l.grants[r.Upstream] == nil {
		l.grants[r.Upstream] = map[GrantKey]Grant{}
	}
	l.grants[r.Upstream][k] = Grant{GrantedAt: offset, Bytes: need}
	l.replicas[r.Model]++
	return Accepted, ""
}

func (l *State) release(r record.Release) (Reason, string) {
	if why, detail := l.checkOwner(r.Upstream, r.Epoch); why != Accepted {
		return why, detail
	}
	k := GrantKey{Upstream: r.Upstream, Model: r.Model, Version: r.Version}
	if g, ok := l.Grant(k); ok && g.GrantedAt != r.GrantedAt {
		return NotGranted, fmt.Sprintf("the grant at offset %d is gone, there is a newer one at %d", r.GrantedAt, g.GrantedAt)
	}
	if why := l.CheckRelease(k); why != Accepted {
		return why, ""
	}
	l.dropGrant(k)
	return Accepted, ""
}
