package grants

import (
	"math/bits"

	"github.com/azurespan/azurespan/internal/check/search"
	"github.com/azurespan/azurespan/internal/core/ctrl"
)

type (
	// Fault names a deliberate deviation from the protocol, for which a search
	// must find a violation.
	Fault string

	// Model is the specification, a search.Model.
	Model struct {
		bounds  Bounds
		ignores [upstreams]bool
		fault   Fault
		logs    *logTree
		initial State
	}
)

// The faults.
const (
	NoFault Fault = ""
	// UncheckedFencing: an engine ignores fencing although it is declared
	// as checking.
	UncheckedFencing Fault = "unchecked-fencing"
	// UncheckedSequence: a checking engine ignores sequence numbers.
	UncheckedSequence Fault = "unchecked-sequence"
	// ForgottenFencing: a checking engine forgets the fencing and sequence
	// numbers at a restart.
	ForgottenFencing Fault = "forgotten-fencing"
	// EarlyRelease: a release is appended before the unload is confirmed.
	EarlyRelease Fault = "early-release"
	// ReportedRelease: a release needs only a report that the model is not
	// loaded, without an order to unload it.
	ReportedRelease Fault = "reported-release"
	// TrustedFormer: a release is accepted although a former owner of an
	// ignoring engine has not acknowledged.
	TrustedFormer Fault = "trusted-former"
	// EarlyAcknowledge: the loss of ownership is acknowledged while an order is
	// outstanding.
	EarlyAcknowledge Fault = "early-acknowledge"
	// GivenUpLoad: a grant on an ignoring engine is released although a load
	// of it was given up without an answer.
	GivenUpLoad Fault = "given-up-load"
	// StaleUnload: an unload on an ignoring engine counts for a release
	// although it was ordered before the former owner's acknowledgement.
	StaleUnload Fault = "stale-unload"
	// LoadAfterRelease: a load is ordered after the release of the grant was
	// appended and before its outcome is read.
	LoadAfterRelease Fault = "load-after-release"
	// ForeignRelease: an owner mistakes the release of a former owner, which
	// is refused, for its own.
	ForeignRelease Fault = "foreign-release"
)

// Violations that Check reports.
const (
	replicaLimit = "a model has more replicas loaded than its limit"
	memoryLimit  = "an upstream's memory is overcommitted"
)

// Kinds of step.
const (
	stepRead uint8 = iota + 1
	stepTakeOwnership
	stepGrant
	stepLoad
	stepUnload
	stepRelease
	stepAcknowledge
	stepExecute
	stepExecuteResponseLost
	stepExecuteAbandoned
	stepAbandon
	stepCrash
	stepHostGone
	stepEngineRestart
	stepTakeEffect

	// delayed is a flag of a step whose append takes effect later.
	delayed uint8 = 0x80
)

var _ search.Model[State] = (*Model)(nil)

// New returns the specification with the bounds b and the fault f. ignores states
// which upstreams ignore fencing numbers.
func New(b Bounds, ignores [2]bool, f Fault) *Model {
	m := &Model{bounds: b, ignores: ignores, fault: f, logs: newLogTree(ignores, f == TrustedFormer)}
	m.initial = State{remaining: b}
	for u := range uint8(upstreams) {
		m.initial.log = m.logs.appendEntry(m.initial.log, entry{kind: takeOwnership, upstream: u, daemon: u})
	}
	for d := range m.initial.hosts {
		m.initial.hosts[d].position = m.initial.log
	}
	return m
}

// Start returns the initial state, in which daemon i owns upstream i and all
// daemons have read that.
func (m *Model) Start() State { return m.initial }

// Check compares the models that the engines have loaded with the limits of memory
// and replicas.
func (m *Model) Check(s State) string {
	var replicas [models]int
	for _, e := range s.engines {
		if bits.OnesCount8(e.loaded) > 1 {
			return memoryLimit
		}
		for i := range replicas {
			replicas[i] += int(e.loaded >> i & 1)
		}
	}
	for _, n := range replicas {
		if n > 1 {
			return replicaLimit
		}
	}
	return ""
}

// Next emits the steps of the daemons, the engines and a delayed append.
func (m *Model) Next(s State, emit func(search.Label, State)) {
	if s.inFlight.kind != noEntry {
		n := s
		n.log, n.inFlight = m.logs.appendEntry(s.log, s.inFlight), entry{}
		emit(search.Label{stepTakeEffect}, n)
	}
	for d := range m.bounds.Daemons {
		h := &s.hosts[d]
		if h.position != s.log && !h.crashed {
			n := s
			m.readRecord(&n, d)
			emit(search.Label{stepRead, d}, n)
		}
		for u := range uint8(upstreams) {
			m.orderSteps(s, d, u, emit)
			if !h.crashed {
				m.ownerSteps(s, d, u, emit)
			}
		}
		m.failureSteps(s, d, emit)
	}
	for u := range uint8(upstreams) {
		if s.remaining.Restarts > 0 && (s.engines[u].loaded != 0 || m.fault == ForgottenFencing) {
			n := s
			n.remaining.Restarts--
			n.engines[u].loaded = 0
			if m.fault == ForgottenFencing {
				n.engines[u] = engine{}
			}
			emit(search.Label{stepEngineRestart, u}, n)
		}
	}
}

// readRecord lets daemon d read one record.
func (m *Model) readRecord(s *State, d uint8) {
	h := &s.hosts[d]
	before := m.logs.nodes[h.position].state
	h.position = m.logs.nextNode(h.position, s.log)
	p := &m.logs.nodes[h.position]
	for u := range h.upstreams {
		a, _ := before.Owner(upstreamNames[u])
		b, _ := p.state.Owner(upstreamNames[u])
		if a.Epoch != b.Epoch {
			h.upstreams[u].unloaded, h.upstreams[u].releasing, h.upstreams[u].acknowledged = 0, 0, false
		}
	}
	switch e := p.entry; e.kind {
	case release:
		// The release of a former owner is refused and says nothing about the
		// release of the owner.
		if o, _ := p.state.Owner(upstreamNames[e.upstream]); o.Daemon == daemonName(d) && o.Epoch == uint64(e.epoch) || m.fault == ForeignRelease {
			h.upstreams[e.upstream].releasing &^= 1 << e.model
		}
	case acknowledge, hostGone:
		for u := range h.upstreams {
			if m.ignores[u] && m.fault != StaleUnload && len(p.state.FormerOwners(upstreamNames[u])) < len(before.FormerOwners(upstreamNames[u])) {
				h.upstreams[u].unloaded, h.upstreams[u].current.ignored = 0, true
			}
		}
	}
}

// appendSteps emits the append of e and, within the bounds, the same append with a
// later effect.
func (m *Model) appendSteps(s State, l search.Label, e entry, emit func(search.Label, State)) {
	n := s
	n.log = m.logs.appendEntry(s.log, e)
	emit(l, n)
	if s.remaining.Delayed > 0 && s.inFlight.kind == noEntry {
		n := s
		n.remaining.Delayed--
		n.inFlight = e
		l[0] |= delayed
		emit(l, n)
	}
}

// ownerSteps emits the steps of daemon d as owner of upstream u, as a former owner,
// or to become the owner.
func (m *Model) ownerSteps(s State, d, u uint8, emit func(search.Label, State)) {
	h := &s.hosts[d]
	p := h.upstreams[u]
	known := m.logs.nodes[h.position].state
	o, _ := known.Owner(upstreamNames[u])
	epoch := uint8(o.Epoch)
	if o.Daemon != daemonName(d) {
		if s.remaining.Takes > 0 {
			n := s
			n.remaining.Takes--
			m.appendSteps(n, search.Label{stepTakeOwnership, d, u}, entry{kind: takeOwnership, upstream: u, daemon: d, epoch: epoch}, emit)
		}
		m.formerOwnerSteps(s, d, u, known, emit)
		return
	}
	if o.Resigned || p.acknowledged {
		return
	}
	if s.remaining.Acks > 0 && m.mayAcknowledge(p) {
		n := s
		n.remaining.Acks--
		n.hosts[d].upstreams[u].acknowledged = true
		m.appendSteps(n, search.Label{stepAcknowledge, d, u}, entry{kind: acknowledge, upstream: u, daemon: d, epoch: epoch}, emit)
	}
	for model := range uint8(models) {
		m.grantSteps(s, d, u, model, epoch, known, emit)
	}
}

// grantSteps emits the steps of daemon d, which owns upstream u, for the grant of a
// model. known is the control state that the daemon has read.
func (m *Model) grantSteps(s State, d, u, model, epoch uint8, known *ctrl.State, emit func(search.Label, State)) {
	p := s.hosts[d].upstreams[u]
	bit := uint8(1) << model
	if _, granted := known.Grant(grantKey(u, model)); !granted {
		if s.remaining.Grants > 0 && known.Replicas(modelNames[model]) == 0 && known.ReservedBytes(upstreamNames[u]) == 0 {
			n := s
			n.remaining.Grants--
			m.appendSteps(n, search.Label{stepGrant, d, u, model}, entry{kind: grant, upstream: u, model: model, epoch: epoch}, emit)
		}
		return
	}
	if s.remaining.Orders > 0 && p.current.stage == noOrder {
		for _, load := range []bool{true, false} {
			if load && p.releasing&bit != 0 && m.fault != LoadAfterRelease {
				continue
			}
			n := s
			n.remaining.Orders--
			q := &n.hosts[d].upstreams[u]
			q.sequence++
			q.current = order{stage: sent, load: load, model: model, epoch: epoch, sequence: q.sequence}
			step := stepUnload
			if load {
				q.unloaded &^= bit
				step = stepLoad
			}
			emit(search.Label{step, d, u, model}, n)
		}
	}
	if s.remaining.Releases > 0 && p.releasing&bit == 0 && m.mayRelease(s, p, u, bit) && (known.CheckRelease(grantKey(u, model)) == ctrl.Accepted || m.fault == TrustedFormer) {
		n := s
		n.remaining.Releases--
		n.hosts[d].upstreams[u].releasing |= bit
		g, _ := known.Grant(grantKey(u, model))
		m.appendSteps(n, search.Label{stepRelease, d, u, model}, entry{kind: release, upstream: u, model: model, epoch: epoch, grantedAt: uint8(g.GrantedAt)}, emit)
	}
}

// mayRelease reports whether the owner of upstream u, with the state p, may release
// the grant of the model with the given bit.
func (m *Model) mayRelease(s State, p upstreamState, u, bit uint8) bool {
	switch m.fault {
	case EarlyRelease:
		return true
	case ReportedRelease:
		return p.current.stage == noOrder && s.engines[u].loaded&bit == 0
	}
	return p.current.stage == noOrder && p.unloaded&bit != 0 && (p.uncertain&bit == 0 || !m.ignores[u] || m.fault == GivenUpLoad)
}

// mayAcknowledge reports whether a daemon with the state p may acknowledge its loss
// of the upstream.
func (m *Model) mayAcknowledge(p upstreamState) bool {
	return m.fault == EarlyAcknowledge || p.current.stage == noOrder && p.uncertain == 0
}

// formerOwnerSteps emits the acknowledgements of daemon d, which is no longer the
// owner of upstream u.
func (m *Model) formerOwnerSteps(s State, d, u uint8, known *ctrl.State, emit func(search.Label, State)) {
	if s.remaining.Acks == 0 || !m.mayAcknowledge(s.hosts[d].upstreams[u]) {
		return
	}
	for _, f := range known.FormerOwners(upstreamNames[u]) {
		if f.Daemon == daemonName(d) {
			n := s
			n.remaining.Acks--
			m.appendSteps(n, search.Label{stepAcknowledge, d, u, uint8(f.Epoch)}, entry{kind: acknowledge, upstream: u, daemon: d, epoch: uint8(f.Epoch)}, emit)
		}
	}
}

// orderSteps emits the steps for the orders of daemon d to upstream u.
func (m *Model) orderSteps(s State, d, u uint8, emit func(search.Label, State)) {
	h := &s.hosts[d]
	p := h.upstreams[u]
	if p.abandoned.stage == sent {
		n := s
		m.execute(&n, u, p.abandoned)
		n.hosts[d].upstreams[u].abandoned = order{}
		emit(search.Label{stepExecuteAbandoned, d, u}, n)
	}
	if p.current.stage == sent {
		n := s
		q := &n.hosts[d].upstreams[u]
		ok := m.execute(&n, u, p.current)
		q.current = order{}
		if ok && !p.current.load {
			o, _ := m.logs.nodes[h.position].state.Owner(upstreamNames[u])
			if o.Epoch == uint64(p.current.epoch) && !p.current.ignored {
				q.unloaded |= 1 << p.current.model
			}
		}
		emit(search.Label{stepExecute, d, u}, n)
		if s.remaining.GivenUp > 0 {
			n.remaining.GivenUp--
			q.unloaded = p.unloaded
			if p.current.load {
				q.uncertain |= 1 << p.current.model
			}
			emit(search.Label{stepExecuteResponseLost, d, u}, n)
		}
	}
	if p.current.stage == sent && s.remaining.GivenUp > 0 && !h.crashed && p.abandoned.stage == noOrder {
		n := s
		n.remaining.GivenUp--
		q := &n.hosts[d].upstreams[u]
		q.abandoned = p.current
		if p.current.load {
			q.uncertain |= 1 << p.current.model
		}
		q.current = order{}
		emit(search.Label{stepAbandon, d, u}, n)
	}
}

// execute lets engine u execute or refuse o, and reports whether it executed it.
func (m *Model) execute(s *State, u uint8, o order) bool {
	e := &s.engines[u]
	if !m.ignores[u] && m.fault != UncheckedFencing {
		if o.epoch < e.epoch || o.epoch == e.epoch && o.sequence < e.sequence && m.fault != UncheckedSequence {
			return false
		}
		e.epoch, e.sequence = o.epoch, o.sequence
	}
	if o.load {
		e.loaded |= 1 << o.model
	} else {
		e.loaded &^= 1 << o.model
	}
	return true
}

// failureSteps emits the crash of daemon d and the report that its host is gone.
func (m *Model) failureSteps(s State, d uint8, emit func(search.Label, State)) {
	h := &s.hosts[d]
	if !h.crashed {
		if s.remaining.Crashes > 0 {
			n := s
			n.remaining.Crashes--
			n.hosts[d].crashed = true
			emit(search.Label{stepCrash, d}, n)
		}
		return
	}
	if h.gone {
		return
	}
	n := s
	n.hosts[d].gone = true
	for u := range n.hosts[d].upstreams {
		n.hosts[d].upstreams[u] = upstreamState{}
	}
	m.appendSteps(n, search.Label{stepHostGone, d}, entry{kind: hostGone, daemon: d}, emit)
}
