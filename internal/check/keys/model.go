package keys

import (
	"fmt"

	"github.com/azurespan/azurespan/internal/check/search"
	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	// Fault names a deliberate deviation from the protocol, for which a search
	// must find a violation.
	Fault string

	// Model is the specification, a search.Model.
	Model struct {
		bounds Bounds
		fault  Fault
		logs   *logTree
	}
)

// The faults.
const (
	NoFault Fault = ""
	// RunBeforeClaim: an attempt runs before its claim is granted.
	RunBeforeClaim Fault = "run-before-claim"
	// LeaseTrusted: a server grants a claim when it appends it, in the belief
	// that it still owns the partition.
	LeaseTrusted Fault = "lease-trusted"
	// RetentionIgnored: keys never expire, although the log drops records.
	RetentionIgnored Fault = "retention-ignored"
	// WithdrawAfterRun: an attempt withdraws its claim although it ran.
	WithdrawAfterRun Fault = "withdraw-after-run"
	// GrantAfterRefusal: a claim that was refused at its deadline is granted
	// when the server reads its record.
	GrantAfterRefusal Fault = "grant-after-refusal"
)

// Violations that Check reports.
const (
	ranTwice     = "a key ran more than once"
	falseRefusal = "a refusal that says not run is false"
	falseReplay  = "a replayed answer belongs to a claim that did not run"
)

// Kinds of step.
const (
	stepTakeEffect uint8 = iota + 1
	stepTick
	stepAsk
	stepRead
	stepRestart
	stepTakeOwnership
	stepClaim
	stepDeadline
	stepServerWithdraw
	stepLearnGrant
	stepGiveUp
	stepRun
	stepDone
	stepAttemptWithdraw
	stepCrash

	// delayed is a flag of a step whose append takes effect later.
	delayed uint8 = 0x80
)

var _ search.Model[State] = (*Model)(nil)

// New returns the specification with the bounds b and the fault f.
func New(b Bounds, f Fault) *Model {
	return &Model{bounds: b, fault: f, logs: newLogTree(f == RetentionIgnored)}
}

// Start returns the initial state, in which the log is empty and all servers have
// read it.
func (m *Model) Start() State {
	s := State{remaining: m.bounds}
	for i := range s.servers {
		s.servers[i].start, s.servers[i].incarnation = 1, 1
	}
	return s
}

// Check compares the attempts that ran with the answers that the attempts got.
func (m *Model) Check(s State) string {
	runs := 0
	for _, a := range s.attempts {
		if a.ran {
			runs++
		}
	}
	if runs > 1 {
		return ranTwice
	}
	for i, a := range s.attempts {
		switch a.stage {
		case refusedNotRun:
			if a.ran {
				return falseRefusal
			}
		case mismatchNotRun:
			for j, b := range s.attempts {
				if b.ran && digest(uint8(j)) == digest(uint8(i)) {
					return falseRefusal
				}
			}
		case replayed:
			if runs == 0 {
				return falseReplay
			}
		}
	}
	return ""
}

// Next emits the steps of the log, the servers and the attempts.
func (m *Model) Next(s State, emit func(search.Label, State)) {
	if s.inFlight.kind != noEntry {
		n := s
		n.log, n.inFlight = m.logs.appendEntry(s.log, s.inFlight, s.clock), entry{}
		emit(search.Label{stepTakeEffect}, n)
	}
	if s.remaining.Ticks > 0 && int(s.clock) < len(logMinutes)-1 {
		n := s
		n.remaining.Ticks--
		n.clock++
		emit(search.Label{stepTick}, n)
	}
	for i := range uint8(servers) {
		m.serverSteps(s, i, emit)
	}
	for a := range m.bounds.Attempts {
		m.attemptSteps(s, a, emit)
	}
}

// appendSteps emits the append of e and, within the bounds, the same append with a
// later effect.
func (m *Model) appendSteps(s State, l search.Label, e entry, emit func(search.Label, State)) {
	n := s
	n.log = m.logs.appendEntry(s.log, e, s.clock)
	emit(l, n)
	if s.remaining.Delayed > 0 && s.inFlight.kind == noEntry {
		n := s
		n.remaining.Delayed--
		n.inFlight = e
		l[0] |= delayed
		emit(l, n)
	}
}

// owns reports whether server i owns the partition according to the records that
// it has read.
func (m *Model) owns(i uint8, q server) bool {
	return m.logs.state(q).Owner().Daemon == processName(i, q.incarnation)
}

// serverSteps emits the steps of server i.
func (m *Model) serverSteps(s State, i uint8, emit func(search.Label, State)) {
	q := s.servers[i]
	oldest, before := m.logs.oldest(s.log, s.clock)
	if m.logs.nodes[q.position].depth+1 < oldest {
		n := s
		m.restartServer(&n, i, oldest, before)
		emit(search.Label{stepRestart, i}, n)
		return
	}
	if q.position != s.log {
		n := s
		m.readRecord(&n, i)
		emit(search.Label{stepRead, i}, n)
	}
	if s.remaining.Crashes > 0 && (q.pending|q.granted|q.refused != 0 || m.owns(i, q)) {
		n := s
		n.remaining.Crashes--
		n.servers[i].incarnation++
		m.restartServer(&n, i, oldest, before)
		emit(search.Label{stepCrash, i}, n)
	}
	epoch := uint8(m.logs.state(q).Owner().Epoch)
	if !m.owns(i, q) {
		if s.remaining.Takes > 0 {
			n := s
			n.remaining.Takes--
			m.appendSteps(n, search.Label{stepTakeOwnership, i}, entry{kind: takeOwnership, server: i, incarnation: q.incarnation, epoch: epoch}, emit)
		}
		return
	}
	for a := range m.bounds.Attempts {
		bit := uint8(1) << a
		if q.pending&bit != 0 {
			m.pendingSteps(s, i, a, epoch, emit)
		}
		if q.refused&bit != 0 && s.remaining.Withdraws > 0 {
			n := s
			n.remaining.Withdraws--
			m.appendSteps(n, search.Label{stepServerWithdraw, i, a}, entry{kind: withdraw, attempt: a}, emit)
		}
	}
}

// pendingSteps emits the steps of server i for the pending claim of attempt a.
func (m *Model) pendingSteps(s State, i, a, epoch uint8, emit func(search.Label, State)) {
	bit, q := uint8(1)<<a, s.servers[i]
	if c := s.attempts[a].copies; s.remaining.Claims > 0 && (c == 0 || s.remaining.Copies > 0) {
		n := s
		n.remaining.Claims--
		if c > 0 {
			n.remaining.Copies--
		}
		n.attempts[a].copies++
		_, free := m.logs.state(q).Query(key(), digest(a), id(a)).(claims.Free)
		if m.fault == LeaseTrusted && free && q.granted == 0 {
			n.servers[i].pending &^= bit
			n.servers[i].granted |= bit
		}
		m.appendSteps(n, search.Label{stepClaim, i, a}, entry{kind: claim, server: i, incarnation: q.incarnation, attempt: a, epoch: epoch}, emit)
	}
	n := s
	if m.fault != GrantAfterRefusal {
		n.servers[i].pending &^= bit
	}
	n.servers[i].refused |= bit
	if n.attempts[a].stage == waiting {
		n.attempts[a].stage = refusedNotRun
	}
	emit(search.Label{stepDeadline, i, a}, n)
}

// restartServer lets server i start at the oldest retained record, whose
// predecessor is before. Claims that were pending are not granted later; their
// attempts are refused at their deadlines.
func (m *Model) restartServer(s *State, i, oldest uint8, before int32) {
	q := &s.servers[i]
	*q = server{incarnation: q.incarnation, position: before, start: oldest}
	if oldest > 1 {
		q.end = m.logs.nodes[s.log].depth + 1
	}
}

// readRecord lets server i read one record.
func (m *Model) readRecord(s *State, i uint8) {
	q := &s.servers[i]
	owned := m.owns(i, *q)
	q.position = m.logs.nextNode(q.position, s.log)
	e := m.logs.nodes[q.position].entry
	state := m.logs.state(*q)
	switch e.kind {
	case takeOwnership:
		if owned && !m.owns(i, *q) {
			for a := range uint8(attempts) {
				if q.pending>>a&1 != 0 && s.attempts[a].stage == waiting && s.attempts[a].server == i {
					s.attempts[a].stage = refusedNotRun
				}
			}
			q.pending, q.granted, q.refused = 0, 0, 0
		}
	case claim:
		bit := uint8(1) << e.attempt
		if q.pending&bit == 0 {
			return
		}
		switch r := state.Query(key(), digest(e.attempt), id(e.attempt)).(type) {
		case claims.Granted:
			q.pending, q.granted = q.pending&^bit, q.granted|bit
		case claims.Free:
			// The record is invalid because of its epoch. Another one may
			// follow.
		default:
			q.pending &^= bit
			if a := &s.attempts[e.attempt]; a.stage == waiting {
				a.stage = stageOf(r)
			}
		}
	case withdraw:
		q.granted &^= 1 << e.attempt
	}
}

// stageOf returns the stage of an attempt that got the result r.
func stageOf(r claims.Result) uint8 {
	switch r := r.(type) {
	case claims.Finished:
		return replayed
	case claims.Mismatch:
		if r.Final {
			return mismatchNotRun
		}
	}
	return refusedUnknown
}

// attemptSteps emits the steps of attempt a.
func (m *Model) attemptSteps(s State, a uint8, emit func(search.Label, State)) {
	p, bit := s.attempts[a], uint8(1)<<a
	enter := func(step, stage uint8) {
		n := s
		n.attempts[a].stage = stage
		n.attempts[a].ran = p.ran || stage == ran
		emit(search.Label{step, 0, a}, n)
	}
	switch {
	case p.stage == idle:
		for i := range uint8(servers) {
			if !m.owns(i, s.servers[i]) {
				continue
			}
			n := s
			n.attempts[a].server = i
			r := m.logs.state(s.servers[i]).Query(key(), digest(a), claims.ID{})
			if _, ok := r.(claims.Free); ok {
				n.attempts[a].stage = waiting
				n.servers[i].pending |= bit
			} else {
				n.attempts[a].stage = stageOf(r)
			}
			emit(search.Label{stepAsk, i, a}, n)
		}
	case p.stage == waiting:
		if s.servers[p.server].granted&bit != 0 {
			enter(stepLearnGrant, granted)
		}
		if m.fault == RunBeforeClaim && !p.ran {
			n := s
			n.attempts[a].ran = true
			emit(search.Label{stepRun, 0, a}, n)
		}
		if !p.ran {
			enter(stepGiveUp, refusedNotRun)
		}
	case p.stage == granted:
		enter(stepRun, ran)
		enter(stepGiveUp, refusedNotRun)
	case p.stage == ran:
		n := s
		n.attempts[a].stage = reported
		m.appendSteps(n, search.Label{stepDone, 0, a}, entry{kind: done, attempt: a}, emit)
	case p.stage == refusedNotRun && m.fault == GrantAfterRefusal && s.servers[p.server].granted&bit != 0 && !p.ran:
		n := s
		n.attempts[a].ran = true
		emit(search.Label{stepRun, 0, a}, n)
	}
	if (p.stage == refusedNotRun || m.fault == WithdrawAfterRun && p.stage == ran) && !p.withdrawn && p.copies > 0 && s.remaining.Withdraws > 0 {
		n := s
		n.remaining.Withdraws--
		n.attempts[a].withdrawn = true
		m.appendSteps(n, search.Label{stepAttemptWithdraw, 0, a}, entry{kind: withdraw, attempt: a}, emit)
	}
}

// Describe returns a description of the step l from s.
func (m *Model) Describe(s State, l search.Label) string {
	server, a, later := fmt.Sprintf("server %d", l[1]), fmt.Sprintf("attempt %d", l[2]), ""
	if l[0]&delayed != 0 {
		later = " (takes effect later)"
	}
	switch l[0] &^ delayed {
	case stepTakeEffect:
		return "the delayed append " + claims.TypeOf(s.inFlight.record()) + " takes effect"
	case stepTick:
		return fmt.Sprintf("log time is %d minutes", logMinutes[s.clock+1])
	case stepAsk:
		return a + " asks " + server
	case stepRead:
		e := m.logs.nodes[m.logs.nextNode(s.servers[l[1]].position, s.log)].entry
		return fmt.Sprintf("%s reads %s of server %d, attempt %d, epoch %d", server, claims.TypeOf(e.record()), e.server, e.attempt, e.epoch)
	case stepRestart:
		return server + " starts again at the oldest retained record"
	case stepTakeOwnership:
		return server + " appends its ownership" + later
	case stepClaim:
		return server + " appends the claim of " + a + later
	case stepDeadline:
		return server + " refuses " + a + " at its deadline"
	case stepServerWithdraw:
		return server + " withdraws " + a + later
	case stepLearnGrant:
		return a + " learns that it is granted"
	case stepGiveUp:
		return a + " gives up and is refused, not run"
	case stepRun:
		return a + " runs"
	case stepDone:
		return a + " reports its answer" + later
	case stepAttemptWithdraw:
		return a + " withdraws" + later
	case stepCrash:
		return server + " crashes and starts again"
	}
	return fmt.Sprint(l)
}
