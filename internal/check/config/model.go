package config

import (
	"bytes"
	"fmt"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/search"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
)

const (
	operators = 2
	daemons   = 2
)

type (
	// Fault names a deliberate deviation from the protocol, for which a search
	// must find a violation.
	Fault string

	// Bounds limits the number of events of each kind in a run.
	Bounds struct {
		// Publications is the number of publications by all operators.
		Publications uint8
		// Delayed is the number of publications whose append takes effect
		// later.
		Delayed uint8
		// Restarts is the number of restarts of daemons.
		Restarts uint8
	}

	operator struct {
		// base is the version that the last publication replaces.
		base uint8
		// pending is set while the outcome of the last publication is not
		// known to the operator.
		pending bool
		// outcome is what the operator takes for the outcome of the last
		// publication, 0 if it has taken none yet.
		outcome uint8
	}

	daemon struct {
		// position is the node of the last record read.
		position int32
		// version is the one in force. It differs from the version at position
		// only with the fault ArrivalOrder.
		version uint8
	}

	// entry describes a publish record. serial is its publication ID.
	entry struct{ operator, replaces, serial uint8 }

	// State is a state of the specification.
	State struct {
		// log is the last node of the log.
		log       int32
		remaining Bounds
		operators [operators]operator
		daemons   [daemons]daemon
		// inFlight is a delayed append that has not taken effect yet; its
		// serial is 0 if there is none.
		inFlight entry
		// violated is the index of the violated property, 0 for none.
		violated uint8
	}

	// logNode is a record of a log, with the control state after it. The logs
	// of all states form a tree, and a log is identified by the index of its
	// last node.
	logNode struct {
		entry    entry
		parent   int32
		depth    uint8
		reason   ctrl.Reason
		state    *ctrl.State
		children map[entry]int32
	}

	// Model is the specification, a search.Model.
	Model struct {
		bounds Bounds
		fault  Fault
		config []byte
		nodes  []logNode
	}
)

// The faults.
const (
	NoFault Fault = ""
	// ArrivalOrder: a daemon puts each publication in force as it arrives from
	// the operator, in any order.
	ArrivalOrder Fault = "arrival-order"
	// OldSnapshot: a daemon restores a peer's snapshot without comparing
	// offsets.
	OldSnapshot Fault = "old-snapshot"
	// AppendTrusted: an operator takes a successful append for the acceptance
	// of its publication.
	AppendTrusted Fault = "append-trusted"
)

// properties lists the properties, indexed by State.violated.
var properties = [...]string{
	"",
	"the configuration version at a daemon decreases",
	"not exactly one of the publications that replace a version is accepted",
	"two operators are told that their publications of one version are accepted",
}

// Values of State.violated.
const (
	versionDecreased uint8 = iota + 1
	notExactlyOne
	bothAccepted
)

// Values of operator.outcome.
const (
	accepted uint8 = iota + 1
	rejected
)

// Kinds of step.
const (
	stepPublish uint8 = iota + 1
	stepPublishDelayed
	stepTakeEffect
	stepOutcome
	stepReadLog
	stepReadPeer
	stepSnapshot
	stepRestart
	stepArrive
)

// staleBase is a parameter of stepPublish: the operator publishes against the
// version before the last record.
const staleBase = 1

var _ search.Model[State] = (*Model)(nil)

// New returns the specification with the bounds b and the fault f.
func New(b Bounds, f Fault) *Model {
	d := &declare.Deployment{Name: "model", FailureDomains: []string{"a"}}
	var buf bytes.Buffer
	if err := d.Encode(&buf); err != nil {
		panic(err)
	}
	return &Model{bounds: b, fault: f, config: buf.Bytes(), nodes: []logNode{{parent: -1, state: ctrl.New(), children: map[entry]int32{}}}}
}

// Start returns the initial state, in which the log is empty.
func (m *Model) Start() State { return State{remaining: m.bounds} }

// Check returns the property that the last step violated.
func (m *Model) Check(s State) string { return properties[s.violated] }

// appendEntry appends e to the log of s, and checks which publications in it are
// accepted.
func (m *Model) appendEntry(s *State, e entry) {
	if n, ok := m.nodes[s.log].children[e]; ok {
		s.log = n
	} else {
		p := &m.nodes[s.log]
		state := p.state.Clone()
		out := state.Apply(uint64(p.depth)+1, record.Publish{
			Publication: fmt.Sprint(e.serial), Operator: fmt.Sprint(e.operator), Replaces: uint64(e.replaces), Config: m.config,
		})
		n := int32(len(m.nodes))
		p.children[e] = n
		m.nodes = append(m.nodes, logNode{entry: e, parent: s.log, depth: p.depth + 1, reason: out.Reason, state: state, children: map[entry]int32{}})
		s.log = n
	}
	// acceptedOf has the number of accepted publications by the version that
	// they replace. offered has the versions for which some publication arrived
	// while the version was in force.
	acceptedOf, offered := map[uint8]int{}, map[uint8]bool{}
	for at := s.log; at != 0; at = m.nodes[at].parent {
		p := m.nodes[at]
		if p.reason == ctrl.Accepted {
			acceptedOf[p.entry.replaces]++
		}
		if m.nodes[p.parent].state.Version() == uint64(p.entry.replaces) {
			offered[p.entry.replaces] = true
		}
	}
	for v := range offered {
		if acceptedOf[v] != 1 {
			s.violated = notExactlyOne
		}
	}
	if len(acceptedOf) != len(offered) {
		s.violated = notExactlyOne
	}
}

// nextNode returns the node that follows position in log, or 0 if position is the
// last node of log or not in it.
func (m *Model) nextNode(position, log int32) int32 {
	for log != 0 && m.nodes[log].parent != position {
		log = m.nodes[log].parent
	}
	return log
}

// advance sets the position of daemon d and puts the version there in force,
// except with the fault ArrivalOrder.
func (m *Model) advance(s *State, d uint8, position int32) {
	q := &s.daemons[d]
	q.position = position
	if m.fault != ArrivalOrder {
		m.setVersion(s, d, uint8(m.nodes[position].state.Version()))
	}
}

// setVersion puts version in force at daemon d.
func (m *Model) setVersion(s *State, d, version uint8) {
	if version < s.daemons[d].version {
		s.violated = versionDecreased
	}
	s.daemons[d].version = version
}

// Next emits the steps of the operators, the daemons and a delayed append.
func (m *Model) Next(s State, emit func(search.Label, State)) {
	if s.inFlight.serial != 0 {
		n := s
		n.inFlight = entry{}
		m.appendEntry(&n, s.inFlight)
		emit(search.Label{stepTakeEffect}, n)
	}
	for o := range uint8(operators) {
		m.operatorSteps(s, o, emit)
	}
	for d := range uint8(daemons) {
		m.daemonSteps(s, d, emit)
	}
}

// operatorSteps emits the steps of operator o.
func (m *Model) operatorSteps(s State, o uint8, emit func(search.Label, State)) {
	p := s.operators[o]
	if !p.pending {
		if s.remaining.Publications == 0 {
			return
		}
		n := s
		base := uint8(m.nodes[s.log].state.Version())
		e := entry{operator: o, replaces: base, serial: s.remaining.Publications}
		n.remaining.Publications--
		n.operators[o] = operator{base: base, pending: true}
		if s.remaining.Delayed > 0 && s.inFlight.serial == 0 {
			n := n
			n.remaining.Delayed--
			n.inFlight = e
			emit(search.Label{stepPublishDelayed, o}, n)
		}
		// The operator may have read the version before the last record, which
		// may be another operator's publication.
		if before := s.log; before != 0 {
			if v := uint8(m.nodes[m.nodes[before].parent].state.Version()); v != base {
				n := n
				n.operators[o].base = v
				m.appendEntry(&n, entry{operator: o, replaces: v, serial: e.serial})
				m.assumeAccepted(&n, o)
				emit(search.Label{stepPublish, o, staleBase}, n)
			}
		}
		m.appendEntry(&n, e)
		m.assumeAccepted(&n, o)
		emit(search.Label{stepPublish, o}, n)
		return
	}
	for at := s.log; at != 0; at = m.nodes[at].parent {
		if q := m.nodes[at]; q.entry.operator == o && q.entry.replaces == p.base && !m.superseded(s, at, o) {
			n := s
			n.operators[o].pending = false
			n.operators[o].outcome = rejected
			if q.reason == ctrl.Accepted {
				n.operators[o].outcome = accepted
			}
			m.checkOutcomes(&n)
			emit(search.Label{stepOutcome, o}, n)
			return
		}
	}
}

// superseded reports whether operator o has a later record than the node at, so
// that at is not its last publication.
func (m *Model) superseded(s State, at int32, o uint8) bool {
	for l := s.log; l != at; l = m.nodes[l].parent {
		if m.nodes[l].entry.operator == o {
			return true
		}
	}
	return s.inFlight.serial != 0 && s.inFlight.operator == o
}

// assumeAccepted lets operator o take its append for acceptance if the fault is
// AppendTrusted.
func (m *Model) assumeAccepted(s *State, o uint8) {
	if m.fault == AppendTrusted {
		s.operators[o].outcome = accepted
		m.checkOutcomes(s)
	}
}

// checkOutcomes checks that the operators do not both take publications of one
// version for accepted.
func (m *Model) checkOutcomes(s *State) {
	a, b := s.operators[0], s.operators[1]
	if a.outcome == accepted && b.outcome == accepted && a.base == b.base {
		s.violated = bothAccepted
	}
}

// daemonSteps emits the steps of daemon d.
func (m *Model) daemonSteps(s State, d uint8, emit func(search.Label, State)) {
	position, peer := s.daemons[d].position, s.daemons[1-d].position
	if next := m.nextNode(position, s.log); position != s.log && next != 0 {
		n := s
		m.advance(&n, d, next)
		emit(search.Label{stepReadLog, d}, n)
	}
	if next := m.nextNode(position, peer); position != peer && next != 0 {
		n := s
		m.advance(&n, d, next)
		emit(search.Label{stepReadPeer, d}, n)
	}
	if peer != position && (m.nodes[peer].depth > m.nodes[position].depth || m.fault == OldSnapshot) {
		n := s
		b, err := m.nodes[peer].state.Snapshot()
		if err != nil {
			panic(err)
		}
		r, err := ctrl.Restore(b)
		if err != nil || r.Applied() != uint64(m.nodes[peer].depth) {
			panic("config: snapshot can't be restored")
		}
		m.advance(&n, d, peer)
		emit(search.Label{stepSnapshot, d}, n)
	}
	if s.remaining.Restarts > 0 && position != 0 {
		n := s
		n.remaining.Restarts--
		n.daemons[d] = daemon{}
		emit(search.Label{stepRestart, d}, n)
	}
	if m.fault == ArrivalOrder {
		for at := s.log; at != 0; at = m.nodes[at].parent {
			n := s
			m.setVersion(&n, d, m.nodes[at].depth)
			emit(search.Label{stepArrive, d, m.nodes[at].depth}, n)
		}
	}
}

// Describe returns a description of the step l.
func (m *Model) Describe(_ State, l search.Label) string {
	o, d := fmt.Sprintf("operator %d", l[1]), fmt.Sprintf("daemon %d", l[1])
	switch l[0] {
	case stepPublish:
		if l[2] == staleBase {
			return o + " publishes against the version before the last one"
		}
		return o + " publishes against the version in force"
	case stepPublishDelayed:
		return o + " publishes against the version in force; the record takes effect later"
	case stepTakeEffect:
		return "the delayed publication takes effect"
	case stepOutcome:
		return o + " reads the outcome of its publication"
	case stepReadLog:
		return d + " reads a record from the log"
	case stepReadPeer:
		return d + " reads a record from its peer"
	case stepSnapshot:
		return d + " takes over its peer's snapshot"
	case stepRestart:
		return d + " restarts"
	case stepArrive:
		return fmt.Sprintf("the publication at offset %d arrives at %s", l[2], d)
	}
	return fmt.Sprint(l)
}
