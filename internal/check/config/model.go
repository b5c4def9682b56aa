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
	// Fault is a deliberate deviation from the protocol.
	Fault string

	// Bounds limit how often each kind of event happens in a run.
	Bounds struct {
		// Publications counts the publications of all operators.
		Publications uint8
		// Delayed counts publications that take effect later.
		Delayed uint8
		// Restarts of daemons.
		Restarts uint8
	}

	operator struct {
		// base is the version to replace.
		base uint8
		// sent is set while the outcome of a publication is not known.
		sent bool
		told uint8
	}

	daemon struct {
		view int32
		// version in force; it differs from the view's only with faults.
		version uint8
	}

	entry struct{ by, replaces, serial uint8 }

	// State is one state of the specification.
	State struct {
		log       int32
		left      Bounds
		operators [operators]operator
		daemons   [daemons]daemon
		wire      entry
		bad       uint8
	}

	page struct {
		entry  entry
		parent int32
		depth  uint8
		reason ctrl.Reason
		ledger *ctrl.State
		next   map[entry]int32
	}

	// Model is the specification. See New.
	Model struct {
		bounds Bounds
		fault  Fault
		config []byte
		pages  []page
	}
)

// Faults.
const (
	NoFault Fault = ""
	// ArrivalOrder: a daemon puts a publication in force when it arrives
	// from the operator, in whichever order.
	ArrivalOrder Fault = "arrival-order"
	// OldSnapshot: a daemon takes over a peer's snapshot without comparing
	// offsets.
	OldSnapshot Fault = "old-snapshot"
	// AppendTrusted: an operator takes a successful append for acceptance.
	AppendTrusted Fault = "append-trusted"
)

// Properties, in the order of State.bad.
var properties = [...]string{
	"",
	"the configuration version at a daemon decreases",
	"not exactly one of the publications that replace a version is accepted",
	"two operators are told that their publications of one version are accepted",
}

const (
	reverts uint8 = iota + 1
	notOne
	bothTold
)

// Labels of steps.
const (
	stepPublish uint8 = iota + 1
	stepLater
	stepLand
	stepOutcome
	stepRead
	stepPeer
	stepSnapshot
	stepRestart
	stepArrive
)

var _ search.Model[State] = (*Model)(nil)

// New returns the specification within b.
func New(b Bounds, f Fault) *Model {
	d := &declare.Deployment{Name: "model", FailureDomains: []string{"a"}}
	var buf bytes.Buffer
	if err := d.Encode(&buf); err != nil {
		panic(err)
	}
	return &Model{bounds: b, fault: f, config: buf.Bytes(), pages: []page{{parent: -1, ledger: ctrl.New(), next: map[entry]int32{}}}}
}

// Start returns the state with an empty log.
func (m *Model) Start() State { return State{left: m.bounds} }

// Check returns the property that the last step violated.
func (m *Model) Check(s State) string { return properties[s.bad] }

func (m *Model) add(s *State, e entry) {
	if n, ok := m.pages[s.log].next[e]; ok {
		s.log = n
	} else {
		p := &m.pages[s.log]
		l := p.ledger.Clone()
		out := l.Apply(uint64(p.depth)+1, record.Publish{
			Publication: fmt.Sprint(e.serial), Operator: fmt.Sprint(e.by), Replaces: uint64(e.replaces), Config: m.config,
		})
		n := int32(len(m.pages))
		p.next[e] = n
		m.pages = append(m.pages, page{entry: e, parent: s.log, depth: p.depth + 1, reason: out.Reason, ledger: l, next: map[entry]int32{}})
		s.log = n
	}
	accepted, offered := map[uint8]int{}, map[uint8]bool{}
	for at := s.log; at != 0; at = m.pages[at].parent {
		p := m.pages[at]
		if p.reason == ctrl.Accepted {
			accepted[p.entry.replaces]++
		}
		if m.pages[p.parent].ledger.Version() == uint64(p.entry.replaces) {
			offered[p.entry.replaces] = true
		}
	}
	for v := range offered {
		if accepted[v] != 1 {
			s.bad = notOne
		}
	}
	if len(accepted) != len(offered) {
		s.bad = notOne
	}
}

// after returns the page that follows view in log, or 0 if view is its end or
// not part of it.
func (m *Model) after(view, log int32) int32 {
	for log != 0 && m.pages[log].parent != view {
		log = m.pages[log].parent
	}
	return log
}

// show puts what daemon d has read in force.
func (m *Model) show(s *State, d uint8, view int32) {
	q := &s.daemons[d]
	q.view = view
	if m.fault != ArrivalOrder {
		m.enforce(s, d, uint8(m.pages[view].ledger.Version()))
	}
}

func (m *Model) enforce(s *State, d, version uint8) {
	if version < s.daemons[d].version {
		s.bad = reverts
	}
	s.daemons[d].version = version
}

// Next lists the steps of operators and daemons.
func (m *Model) Next(s State, emit func(search.Label, State)) {
	if s.wire.serial != 0 {
		n := s
		n.wire = entry{}
		m.add(&n, s.wire)
		emit(search.Label{stepLand}, n)
	}
	for o := range uint8(operators) {
		m.operator(s, o, emit)
	}
	for d := range uint8(daemons) {
		m.daemon(s, d, emit)
	}
}

func (m *Model) operator(s State, o uint8, emit func(search.Label, State)) {
	p := s.operators[o]
	if !p.sent {
		if s.left.Publications == 0 {
			return
		}
		n := s
		base := uint8(m.pages[s.log].ledger.Version())
		e := entry{by: o, replaces: base, serial: s.left.Publications}
		n.left.Publications--
		n.operators[o] = operator{base: base, sent: true}
		if s.left.Delayed > 0 && s.wire.serial == 0 {
			n := n
			n.left.Delayed--
			n.wire = e
			emit(search.Label{stepLater, o}, n)
		}
		// The operator may have read the version before another operator's
		// publication.
		if before := s.log; before != 0 {
			if v := uint8(m.pages[m.pages[before].parent].ledger.Version()); v != base {
				n := n
				n.operators[o].base = v
				m.add(&n, entry{by: o, replaces: v, serial: e.serial})
				m.trust(&n, o)
				emit(search.Label{stepPublish, o, 1}, n)
			}
		}
		m.add(&n, e)
		m.trust(&n, o)
		emit(search.Label{stepPublish, o}, n)
		return
	}
	for at := s.log; at != 0; at = m.pages[at].parent {
		if q := m.pages[at]; q.entry.by == o && q.entry.replaces == p.base && !m.superseded(s, at, o) {
			n := s
			n.operators[o].sent = false
			n.operators[o].told = 2
			if q.reason == ctrl.Accepted {
				n.operators[o].told = 1
			}
			m.compare(&n)
			emit(search.Label{stepOutcome, o}, n)
			return
		}
	}
}

// superseded reports whether the operator has a later record than at, so that
// at does not belong to its last publication.
func (m *Model) superseded(s State, at int32, o uint8) bool {
	for l := s.log; l != at; l = m.pages[l].parent {
		if m.pages[l].entry.by == o {
			return true
		}
	}
	return s.wire.serial != 0 && s.wire.by == o
}

// trust is the fault of an operator that does not read the outcome.
func (m *Model) trust(s *State, o uint8) {
	if m.fault == AppendTrusted {
		s.operators[o].told = 1
		m.compare(s)
	}
}

func (m *Model) compare(s *State) {
	a, b := s.operators[0], s.operators[1]
	if a.told == 1 && b.told == 1 && a.base == b.base {
		s.bad = bothTold
	}
}

func (m *Model) daemon(s State, d uint8, emit func(search.Label, State)) {
	view, peer := s.daemons[d].view, s.daemons[1-d].view
	if next := m.after(view, s.log); view != s.log && next != 0 {
		n := s
		m.show(&n, d, next)
		emit(search.Label{stepRead, d}, n)
	}
	if next := m.after(view, peer); view != peer && next != 0 {
		n := s
		m.show(&n, d, next)
		emit(search.Label{stepPeer, d}, n)
	}
	if peer != view && (m.pages[peer].depth > m.pages[view].depth || m.fault == OldSnapshot) {
		n := s
		b, err := m.pages[peer].ledger.Snapshot()
		if err != nil {
			panic(err)
		}
		r, err := ctrl.Restore(b)
		if err != nil || r.Applied() != uint64(m.pages[peer].depth) {
			panic("snapshot can't be restored")
		}
		m.show(&n, d, peer)
		emit(search.Label{stepSnapshot, d}, n)
	}
	if s.left.Restarts > 0 && view != 0 {
		n := s
		n.left.Restarts--
		n.daemons[d] = daemon{}
		emit(search.Label{stepRestart, d}, n)
	}
	if m.fault == ArrivalOrder {
		for at := s.log; at != 0; at = m.pages[at].parent {
			n := s
			m.enforce(&n, d, m.pages[at].depth)
			emit(search.Label{stepArrive, d, m.pages[at].depth}, n)
		}
	}
}

// Describe returns a step in words.
func (m *Model) Describe(_ State, l search.Label) string {
	o, d := fmt.Sprintf("operator %d", l[1]), fmt.Sprintf("daemon %d", l[1])
	switch l[0] {
	case stepPublish:
		if l[2] == 1 {
			return o + " publishes against the version before the last one"
		}
		return o + " publishes against the version in force"
	case stepLater:
		return o + " publishes against the version in force; the record takes effect later"
	case stepLand:
		return "the delayed publication takes effect"
	case stepOutcome:
		return o + " reads the outcome of its publication"
	case stepRead:
		return d + " reads a record from the log"
	case stepPeer:
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
