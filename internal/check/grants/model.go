package grants

import (
	"math/bits"

	"github.com/azurespan/azurespan/internal/check/search"
	"github.com/azurespan/azurespan/internal/core/ctrl"
)

type (
	// Fault is a deliberate deviation from the protocol.
	Fault string

	// Model is the specification. See New.
	Model struct {
		bounds  Bounds
		ignores [ups]bool
		fault   Fault
		book    *book
		start   State
	}
)

// Faults.
const (
	NoFault Fault = ""
	// UncheckedFencing: an engine ignores fencing although it is declared
	// as checking.
	UncheckedFencing Fault = "unchecked-fencing"
	// UncheckedSequence: a checking engine ignores sequence numbers.
	UncheckedSequence Fault = "unchecked-sequence"
	// ForgottenFencing: a checking engine forgets the numbers at a restart.
	ForgottenFencing Fault = "forgotten-fencing"
	// EarlyRelease: a release is appended before the unload is confirmed.
	EarlyRelease Fault = "early-release"
	// ReportedRelease: a release needs only a report that the model is not
	// loaded, and no order.
	ReportedRelease Fault = "reported-release"
	// TrustedFormer: a release is accepted although a former owner of an
	// ignoring engine has not acknowledged.
	TrustedFormer Fault = "trusted-former"
	// EarlyAcknowledge: loss is acknowledged with an order outstanding.
	EarlyAcknowledge Fault = "early-acknowledge"
	// GivenUpLoad: a grant on an ignoring engine is released although a load
	// of it was given up without an answer.
	GivenUpLoad Fault = "given-up-load"
	// StaleUnload: an unload on an ignoring engine counts for a release
	// although it was ordered before the former owner's acknowledgement.
	StaleUnload Fault = "stale-unload"
	// LoadAfterRelease: a load is ordered after the grant's release was
	// appended, because its outcome is not read yet.
	LoadAfterRelease Fault = "load-after-release"
	// ForeignRelease: an owner takes a former owner's release, which is
	// refused, for its own.
	ForeignRelease Fault = "foreign-release"
)

// Properties.
const (
	replicaLimit = "a model has more replicas loaded than its limit"
	memoryLimit  = "an upstream's memory is overcommitted"
)

// Labels of steps.
const (
	stepRead uint8 = iota + 1
	stepTake
	stepGrant
	stepLoad
	stepUnload
	stepRelease
	stepAcknowledge
	stepExecute
	stepExecuteLost
	stepExecuteOld
	stepGiveUp
	stepCrash
	stepGone
	stepRestart
	stepLand
	delayed uint8 = 0x80 // added to a step whose append takes effect later
)

var _ search.Model[State] = (*Model)(nil)

// New returns the specification within b. ignores states which upstreams
// ignore fencing numbers.
func New(b Bounds, ignores [2]bool, f Fault) *Model {
	m := &Model{bounds: b, ignores: ignores, fault: f, book: newBook(ignores, f == TrustedFormer)}
	m.start = State{left: b}
	for u := range uint8(ups) {
		m.start.log = m.book.add(m.start.log, entry{kind: take, up: u, by: u})
	}
	for d := range m.start.hosts {
		m.start.hosts[d].view = m.start.log
	}
	return m
}

// Start returns the state in which upstream i is owned by daemon i.
func (m *Model) Start() State { return m.start }

// Check compares the engines' real state with the limits.
func (m *Model) Check(s State) string {
	var all [models]int
	for _, e := range s.engines {
		if bits.OnesCount8(e.loaded) > 1 {
			return memoryLimit
		}
		for i := range all {
			all[i] += int(e.loaded >> i & 1)
		}
	}
	for _, n := range all {
		if n > 1 {
			return replicaLimit
		}
	}
	return ""
}

// Next lists the steps of daemons, engines and the log.
func (m *Model) Next(s State, emit func(search.Label, State)) {
	if s.wire.kind != noEntry {
		n := s
		n.log, n.wire = m.book.add(s.log, s.wire), entry{}
		emit(search.Label{stepLand}, n)
	}
	for d := range m.bounds.Daemons {
		h := &s.hosts[d]
		if h.view != s.log && !h.dead {
			n := s
			m.read(&n, d)
			emit(search.Label{stepRead, d}, n)
		}
		for u := range uint8(ups) {
			m.orders(s, d, u, emit)
			if !h.dead {
				m.act(s, d, u, emit)
			}
		}
		m.fail(s, d, emit)
	}
	for u := range uint8(ups) {
		if s.left.Restarts > 0 && (s.engines[u].loaded != 0 || m.fault == ForgottenFencing) {
			n := s
			n.left.Restarts--
			n.engines[u].loaded = 0
			if m.fault == ForgottenFencing {
				n.engines[u] = engine{}
			}
			emit(search.Label{stepRestart, u}, n)
		}
	}
}

// read lets daemon d read one record.
func (m *Model) read(s *State, d uint8) {
	h := &s.hosts[d]
	before := m.book.pages[h.view].ledger
	h.view = m.book.after(h.view, s.log)
	p := &m.book.pages[h.view]
	for u := range h.posts {
		a, _ := before.Owner(upNames[u])
		b, _ := p.ledger.Owner(upNames[u])
		if a.Epoch != b.Epoch {
			h.posts[u].unloaded, h.posts[u].released, h.posts[u].leaving = 0, 0, false
		}
	}
	switch e := p.entry; e.kind {
	case release:
		// A former owner's release, which is refused, says nothing about
		// the own one.
		if o, _ := p.ledger.Owner(upNames[e.up]); o.Daemon == daemonName(d) && o.Epoch == uint64(e.epoch) || m.fault == ForeignRelease {
			h.posts[e.up].released &^= 1 << e.model
		}
	case acknowledge, gone:
		for u := range h.posts {
			if m.ignores[u] && m.fault != StaleUnload && len(p.ledger.FormerOwners(upNames[u])) < len(before.FormerOwners(upNames[u])) {
				h.posts[u].unloaded, h.posts[u].now.void = 0, true
			}
		}
	}
}

// append emits s with e appended, at once and, within bounds, later.
func (m *Model) append(s State, l search.Label, e entry, emit func(search.Label, State)) {
	n := s
	n.log = m.book.add(s.log, e)
	emit(l, n)
	if s.left.Delayed > 0 && s.wire.kind == noEntry {
		n := s
		n.left.Delayed--
		n.wire = e
		l[0] |= delayed
		emit(l, n)
	}
}

// act lists what daemon d does as owner of u, or to become it.
func (m *Model) act(s State, d, u uint8, emit func(search.Label, State)) {
	h := &s.hosts[d]
	p := h.posts[u]
	view := m.book.pages[h.view].ledger
	o, _ := view.Owner(upNames[u])
	epoch := uint8(o.Epoch)
	if o.Daemon != daemonName(d) {
		if s.left.Takes > 0 {
			n := s
			n.left.Takes--
			m.append(n, search.Label{stepTake, d, u}, entry{kind: take, up: u, by: d, epoch: epoch}, emit)
		}
		m.formerly(s, d, u, view, emit)
		return
	}
	if o.Resigned || p.leaving {
		return
	}
	if s.left.Acks > 0 && m.mayAcknowledge(p) {
		n := s
		n.left.Acks--
		n.hosts[d].posts[u].leaving = true
		m.append(n, search.Label{stepAcknowledge, d, u}, entry{kind: acknowledge, up: u, by: d, epoch: epoch}, emit)
	}
	for model := range uint8(models) {
		m.actModel(s, d, u, model, epoch, view, emit)
	}
}

func (m *Model) actModel(s State, d, u, model, epoch uint8, view *ctrl.State, emit func(search.Label, State)) {
	p := s.hosts[d].posts[u]
	bit := uint8(1) << model
	if _, granted := view.Grant(grantKey(u, model)); !granted {
		if s.left.Grants > 0 && view.Replicas(modelNames[model]) == 0 && view.ReservedBytes(upNames[u]) == 0 {
			n := s
			n.left.Grants--
			m.append(n, search.Label{stepGrant, d, u, model}, entry{kind: grant, up: u, model: model, epoch: epoch}, emit)
		}
		return
	}
	if s.left.Orders > 0 && p.now.stage == none {
		for _, load := range []bool{true, false} {
			if load && p.released&bit != 0 && m.fault != LoadAfterRelease {
				continue
			}
			n := s
			n.left.Orders--
			q := &n.hosts[d].posts[u]
			q.number++
			q.now = order{stage: flying, load: load, model: model, epoch: epoch, number: q.number}
			step := stepUnload
			if load {
				q.unloaded &^= bit
				step = stepLoad
			}
			emit(search.Label{step, d, u, model}, n)
		}
	}
	if s.left.Releases > 0 && p.released&bit == 0 && m.mayRelease(s, p, u, bit) && (view.CheckRelease(grantKey(u, model)) == ctrl.Accepted || m.fault == TrustedFormer) {
		n := s
		n.left.Releases--
		n.hosts[d].posts[u].released |= bit
		g, _ := view.Grant(grantKey(u, model))
		m.append(n, search.Label{stepRelease, d, u, model}, entry{kind: release, up: u, model: model, epoch: epoch, grantedAt: uint8(g.GrantedAt)}, emit)
	}
}

// mayRelease is the owner's rule for a release.
func (m *Model) mayRelease(s State, p post, u, bit uint8) bool {
	switch m.fault {
	case EarlyRelease:
		return true
	case ReportedRelease:
		return p.now.stage == none && s.engines[u].loaded&bit == 0
	}
	return p.now.stage == none && p.unloaded&bit != 0 && (p.unsure&bit == 0 || !m.ignores[u] || m.fault == GivenUpLoad)
}

func (m *Model) mayAcknowledge(p post) bool {
	return m.fault == EarlyAcknowledge || p.now.stage == none && p.unsure == 0
}

// formerly lists the acknowledgements of a daemon that has lost u.
func (m *Model) formerly(s State, d, u uint8, view *ctrl.State, emit func(search.Label, State)) {
	if s.left.Acks == 0 || !m.mayAcknowledge(s.hosts[d].posts[u]) {
		return
	}
	for _, f := range view.FormerOwners(upNames[u]) {
		if f.Daemon == daemonName(d) {
			n := s
			n.left.Acks--
			m.append(n, search.Label{stepAcknowledge, d, u, uint8(f.Epoch)}, entry{kind: acknowledge, up: u, by: d, epoch: uint8(f.Epoch)}, emit)
		}
	}
}

// orders lists what happens to the orders of daemon d for u.
func (m *Model) orders(s State, d, u uint8, emit func(search.Label, State)) {
	h := &s.hosts[d]
	p := h.posts[u]
	if p.old.stage == flying {
		n := s
		m.execute(&n, u, p.old)
		n.hosts[d].posts[u].old = order{}
		emit(search.Label{stepExecuteOld, d, u}, n)
	}
	if p.now.stage == flying {
		n := s
		q := &n.hosts[d].posts[u]
		ok := m.execute(&n, u, p.now)
		q.now = order{}
		if ok && !p.now.load {
			o, _ := m.book.pages[h.view].ledger.Owner(upNames[u])
			if o.Epoch == uint64(p.now.epoch) && !p.now.void {
				q.unloaded |= 1 << p.now.model
			}
		}
		emit(search.Label{stepExecute, d, u}, n)
		if s.left.GivenUp > 0 {
			n.left.GivenUp--
			q.unloaded = p.unloaded
			if p.now.load {
				q.unsure |= 1 << p.now.model
			}
			emit(search.Label{stepExecuteLost, d, u}, n)
		}
	}
	if p.now.stage == flying && s.left.GivenUp > 0 && !h.dead && p.old.stage == none {
		n := s
		n.left.GivenUp--
		q := &n.hosts[d].posts[u]
		q.old = p.now
		if p.now.load {
			q.unsure |= 1 << p.now.model
		}
		q.now = order{}
		emit(search.Label{stepGiveUp, d, u}, n)
	}
}

// execute lets the engine u accept or refuse o.
func (m *Model) execute(s *State, u uint8, o order) bool {
	e := &s.engines[u]
	if !m.ignores[u] && m.fault != UncheckedFencing {
		if o.epoch < e.epoch || o.epoch == e.epoch && o.number < e.number && m.fault != UncheckedSequence {
			return false
		}
		e.epoch, e.number = o.epoch, o.number
	}
	if o.load {
		e.loaded |= 1 << o.model
	} else {
		e.loaded &^= 1 << o.model
	}
	return true
}

// fail lists the failures of daemon d.
func (m *Model) fail(s State, d uint8, emit func(search.Label, State)) {
	h := &s.hosts[d]
	if !h.dead {
		if s.left.Crashes > 0 {
			n := s
			n.left.Crashes--
			n.hosts[d].dead = true
			emit(search.Label{stepCrash, d}, n)
		}
		return
	}
	if h.gone {
		return
	}
	n := s
	n.hosts[d].gone = true
	for u := range n.hosts[d].posts {
		n.hosts[d].posts[u] = post{}
	}
	m.append(n, search.Label{stepGone, d}, entry{kind: gone, by: d}, emit)
}
