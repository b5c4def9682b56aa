package keys

import (
	"fmt"

	"github.com/azurespan/azurespan/internal/check/search"
	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	// Fault is a deliberate deviation from the protocol.
	Fault string

	// Model is the specification. See New.
	Model struct {
		bounds Bounds
		fault  Fault
		book   *book
	}
)

// Faults.
const (
	NoFault Fault = ""
	// RunBeforeClaim: an attempt runs before its claim is granted.
	RunBeforeClaim Fault = "run-before-claim"
	// LeaseTrusted: a keeper grants when it appends the claim, because it
	// believes that it still owns the partition.
	LeaseTrusted Fault = "lease-trusted"
	// RetentionIgnored: keys never expire, although the log drops records.
	RetentionIgnored Fault = "retention-ignored"
	// WithdrawAfterRun: an attempt withdraws although it ran.
	WithdrawAfterRun Fault = "withdraw-after-run"
	// GrantAfterRefusal: a claim that was refused at its deadline is granted
	// when its record is read.
	GrantAfterRefusal Fault = "grant-after-refusal"
)

// Properties.
const (
	ranTwice     = "a key ran more than once"
	falseRefusal = "a refusal that says not run is false"
	falseReplay  = "a replayed answer belongs to a claim that did not run"
)

// Labels of steps.
const (
	stepLand uint8 = iota + 1
	stepTick
	stepAsk
	stepRead
	stepRestart
	stepTake
	stepClaim
	stepDeadline
	stepWithdraw
	stepLearn
	stepGiveUp
	stepRun
	stepReport
	stepWithdrawOwn
	stepCrash
	delayed uint8 = 0x80 // added to a step whose append takes effect later
)

var _ search.Model[State] = (*Model)(nil)

// New returns the specification within b.
func New(b Bounds, f Fault) *Model {
	return &Model{bounds: b, fault: f, book: newBook(f == RetentionIgnored)}
}

// Start returns the state with an empty log that all keepers have read.
func (m *Model) Start() State {
	s := State{left: m.bounds}
	for i := range s.keepers {
		s.keepers[i].start, s.keepers[i].run = 1, 1
	}
	return s
}

// Check compares what ran with what was said.
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
		case refusedNo:
			if a.ran {
				return falseRefusal
			}
		case mismatchNo:
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

// Next lists the steps of the log, the keepers and the attempts.
func (m *Model) Next(s State, emit func(search.Label, State)) {
	if s.wire.kind != noEntry {
		n := s
		n.log, n.wire = m.book.add(s.log, s.wire, s.clock), entry{}
		emit(search.Label{stepLand}, n)
	}
	if s.left.Ticks > 0 && int(s.clock) < len(Times)-1 {
		n := s
		n.left.Ticks--
		n.clock++
		emit(search.Label{stepTick}, n)
	}
	for k := range uint8(keepers) {
		m.keeper(s, k, emit)
	}
	for a := range m.bounds.Attempts {
		m.attempt(s, a, emit)
	}
}

func (m *Model) append(s State, l search.Label, e entry, emit func(search.Label, State)) {
	n := s
	n.log = m.book.add(s.log, e, s.clock)
	emit(l, n)
	if s.left.Delayed > 0 && s.wire.kind == noEntry {
		n := s
		n.left.Delayed--
		n.wire = e
		l[0] |= delayed
		emit(l, n)
	}
}

// owns reports whether keeper k owns the partition in its view.
func (m *Model) owns(k uint8, q keeper) bool {
	return m.book.fold(q).Owner().Daemon == name(k, q.run)
}

func (m *Model) keeper(s State, k uint8, emit func(search.Label, State)) {
	q := s.keepers[k]
	oldest, before := m.book.oldest(s.log, s.clock)
	if m.book.pages[q.view].depth+1 < oldest {
		n := s
		m.restart(&n, k, oldest, before)
		emit(search.Label{stepRestart, k}, n)
		return
	}
	if q.view != s.log {
		n := s
		m.read(&n, k)
		emit(search.Label{stepRead, k}, n)
	}
	if s.left.Crashes > 0 && (q.pending|q.granted|q.refused != 0 || m.owns(k, q)) {
		n := s
		n.left.Crashes--
		n.keepers[k].run++
		m.restart(&n, k, oldest, before)
		emit(search.Label{stepCrash, k}, n)
	}
	epoch := uint8(m.book.fold(q).Owner().Epoch)
	if !m.owns(k, q) {
		if s.left.Takes > 0 {
			n := s
			n.left.Takes--
			m.append(n, search.Label{stepTake, k}, entry{kind: take, by: k, run: q.run, epoch: epoch}, emit)
		}
		return
	}
	for a := range m.bounds.Attempts {
		bit := uint8(1) << a
		if q.pending&bit != 0 {
			m.pending(s, k, a, epoch, emit)
		}
		if q.refused&bit != 0 && s.left.Withdraws > 0 {
			n := s
			n.left.Withdraws--
			m.append(n, search.Label{stepWithdraw, k, a}, entry{kind: withdraw, attempt: a}, emit)
		}
	}
}

// pending lists the steps for a claim that waits at keeper k.
func (m *Model) pending(s State, k, a, epoch uint8, emit func(search.Label, State)) {
	bit, q := uint8(1)<<a, s.keepers[k]
	if c := s.attempts[a].copies; s.left.Claims > 0 && (c == 0 || s.left.Copies > 0) {
		n := s
		n.left.Claims--
		if c > 0 {
			n.left.Copies--
		}
		n.attempts[a].copies++
		_, free := m.book.fold(q).Query(key(), digest(a), id(a)).(claims.Free)
		if m.fault == LeaseTrusted && free && q.granted == 0 {
			n.keepers[k].pending &^= bit
			n.keepers[k].granted |= bit
		}
		m.append(n, search.Label{stepClaim, k, a}, entry{kind: claim, by: k, run: q.run, attempt: a, epoch: epoch}, emit)
	}
	n := s
	if m.fault != GrantAfterRefusal {
		n.keepers[k].pending &^= bit
	}
	n.keepers[k].refused |= bit
	if n.attempts[a].stage == waiting {
		n.attempts[a].stage = refusedNo
	}
	emit(search.Label{stepDeadline, k, a}, n)
}

// restart lets keeper k start at the oldest retained record. Its claims are
// not granted any more; the attempts are refused at their deadlines.
func (m *Model) restart(s *State, k, oldest uint8, before int32) {
	q := &s.keepers[k]
	*q = keeper{run: q.run, view: before, start: oldest}
	if oldest > 1 {
		q.end = m.book.pages[s.log].depth + 1
	}
}

// read lets keeper k read one record.
func (m *Model) read(s *State, k uint8) {
	q := &s.keepers[k]
	was := m.owns(k, *q)
	q.view = m.book.after(q.view, s.log)
	e := m.book.pages[q.view].entry
	f := m.book.fold(*q)
	switch e.kind {
	case take:
		if was && !m.owns(k, *q) {
			for a := range uint8(attempts) {
				if q.pending>>a&1 != 0 && s.attempts[a].stage == waiting && s.attempts[a].keeper == k {
					s.attempts[a].stage = refusedNo
				}
			}
			q.pending, q.granted, q.refused = 0, 0, 0
		}
	case claim:
		bit := uint8(1) << e.attempt
		if q.pending&bit == 0 {
			return
		}
		switch r := f.Query(key(), digest(e.attempt), id(e.attempt)).(type) {
		case claims.Granted:
			q.pending, q.granted = q.pending&^bit, q.granted|bit
		case claims.Free:
			// The record is void under its epoch; another may follow.
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

// stageOf returns the stage of an attempt that got the answer r.
func stageOf(r claims.Result) uint8 {
	switch r := r.(type) {
	case claims.Finished:
		return replayed
	case claims.Mismatch:
		if r.Final {
			return mismatchNo
		}
	}
	return refusedUnknown
}

func (m *Model) attempt(s State, a uint8, emit func(search.Label, State)) {
	p, bit := s.attempts[a], uint8(1)<<a
	set := func(step, stage uint8) {
		n := s
		n.attempts[a].stage = stage
		n.attempts[a].ran = p.ran || stage == ran
		emit(search.Label{step, 0, a}, n)
	}
	switch {
	case p.stage == idle:
		for k := range uint8(keepers) {
			if !m.owns(k, s.keepers[k]) {
				continue
			}
			n := s
			n.attempts[a].keeper = k
			r := m.book.fold(s.keepers[k]).Query(key(), digest(a), claims.ID{})
			if _, ok := r.(claims.Free); ok {
				n.attempts[a].stage = waiting
				n.keepers[k].pending |= bit
			} else {
				n.attempts[a].stage = stageOf(r)
			}
			emit(search.Label{stepAsk, k, a}, n)
		}
	case p.stage == waiting:
		if s.keepers[p.keeper].granted&bit != 0 {
			set(stepLearn, granted)
		}
		if m.fault == RunBeforeClaim && !p.ran {
			n := s
			n.attempts[a].ran = true
			emit(search.Label{stepRun, 0, a}, n)
		}
		if !p.ran {
			set(stepGiveUp, refusedNo)
		}
	case p.stage == granted:
		set(stepRun, ran)
		set(stepGiveUp, refusedNo)
	case p.stage == ran:
		n := s
		n.attempts[a].stage = reported
		m.append(n, search.Label{stepReport, 0, a}, entry{kind: done, attempt: a}, emit)
	case p.stage == refusedNo && m.fault == GrantAfterRefusal && s.keepers[p.keeper].granted&bit != 0 && !p.ran:
		n := s
		n.attempts[a].ran = true
		emit(search.Label{stepRun, 0, a}, n)
	}
	if (p.stage == refusedNo || m.fault == WithdrawAfterRun && p.stage == ran) && !p.withdrawn && p.copies > 0 && s.left.Withdraws > 0 {
		n := s
		n.left.Withdraws--
		n.attempts[a].withdrawn = true
		m.append(n, search.Label{stepWithdrawOwn, 0, a}, entry{kind: withdraw, attempt: a}, emit)
	}
}

// Describe returns a step in words.
func (m *Model) Describe(s State, l search.Label) string {
	k, a, later := fmt.Sprintf("keeper %d", l[1]), fmt.Sprintf("attempt %d", l[2]), ""
	if l[0]&delayed != 0 {
		later = " (takes effect later)"
	}
	switch l[0] &^ delayed {
	case stepLand:
		return "the delayed append " + claims.TypeOf(s.wire.record()) + " takes effect"
	case stepTick:
		return fmt.Sprintf("log time is %d minutes", Times[s.clock+1])
	case stepAsk:
		return a + " asks " + k
	case stepRead:
		e := m.book.pages[m.book.after(s.keepers[l[1]].view, s.log)].entry
		return fmt.Sprintf("%s reads %s of keeper %d, attempt %d, epoch %d", k, claims.TypeOf(e.record()), e.by, e.attempt, e.epoch)
	case stepRestart:
		return k + " starts again at the oldest retained record"
	case stepTake:
		return k + " appends its ownership" + later
	case stepClaim:
		return k + " appends the claim of " + a + later
	case stepDeadline:
		return k + " refuses " + a + " at its deadline"
	case stepWithdraw:
		return k + " withdraws " + a + later
	case stepLearn:
		return a + " learns that it is granted"
	case stepGiveUp:
		return a + " gives up and is refused, not run"
	case stepRun:
		return a + " runs"
	case stepReport:
		return a + " reports its answer" + later
	case stepWithdrawOwn:
		return a + " withdraws" + later
	case stepCrash:
		return k + " crashes and starts again"
	}
	return fmt.Sprint(l)
}
