package tenure

import (
	"fmt"

	"github.com/azurespan/azurespan/internal/check/search"
)

type (
	// Fault names a deliberate deviation from the protocol, for which a search must
	// find a violation.
	Fault string

	// Model is the specification, a search.Model.
	Model struct {
		bounds Bounds
		fault  Fault
	}
)

// The faults.
const (
	NoFault Fault = ""
	// OwnRecord: a daemon continues its own record of an older era at once.
	OwnRecord Fault = "own-record-of-older-era"
	// ReleasedRecord: a daemon takes a lease at once that was released in an older
	// era.
	ReleasedRecord Fault = "released-in-older-era"
	// EmptyTopic: a daemon takes an empty topic for that of a first start in any era.
	EmptyTopic Fault = "empty-topic"
	// BareCondition: a daemon takes an append for done if the offset held, whatever
	// the era.
	BareCondition Fault = "era-not-in-condition"
	// OffsetFence: the fence is the offset alone.
	OffsetFence Fault = "fence-without-era"
	// EarlyWait: a candidate counts its wait from a record of before the era that it
	// notices.
	EarlyWait Fault = "wait-from-older-era"
	// RestartAtOnce: a daemon that restarts orders without a pause.
	RestartAtOnce Fault = "restart-without-pause"
)

// properties lists the properties, indexed by State.violated.
var properties = [...]string{
	"",
	"two daemons may send orders",
	"the fence of orders falls, or two holders have the same",
	"two holders order without the pause between them",
}

// Values of State.violated.
const (
	twoHolders uint8 = iota + 1
	fenceFell
	noPause
)

// Kinds of step.
const (
	stepTick uint8 = iota + 1
	stepRead
	stepNotice
	stepWrite
	stepSend
	stepRelease
	stepArrive
	stepAnswer
	stepLose
	stepArriveLate
	stepRestart
	stepDrill
	stepDrillPast
)

var _ search.Model[State] = (*Model)(nil)

// New returns the specification with the bounds b and the fault f.
func New(b Bounds, f Fault) *Model { return &Model{bounds: b, fault: f} }

// Start returns the initial state: the log is empty and in its first era.
func (m *Model) Start() State { return State{remaining: m.bounds, era: 1} }

// Check returns the property that the last step violated.
func (m *Model) Check(s State) string { return properties[s.violated] }

// Next emits the steps of time, the log and the daemons.
func (m *Model) Next(s State, emit func(search.Label, State)) {
	step := func(l search.Label, change func(n *State)) {
		n := s
		change(&n)
		m.observe(&n)
		emit(l, n)
	}
	if s.remaining.Ticks > 0 {
		step(search.Label{stepTick}, func(n *State) {
			n.remaining.Ticks--
			n.tick()
		})
	}
	if s.late.stage == sent {
		step(search.Label{stepArriveLate}, func(n *State) {
			m.arrive(n, &n.late)
			n.late = write{}
		})
	}
	if s.remaining.Drills > 0 {
		m.drillSteps(s, step)
	}
	for i := range uint8(daemons) {
		m.daemonSteps(s, i, step)
	}
}

// drillSteps emits the drills, from each copy of the topic's content in this era and
// the ones before.
func (m *Model) drillSteps(s State, step func(search.Label, func(n *State))) {
	drill := func(n *State, from topic, length uint8) {
		n.past[n.era-1] = n.topic
		n.topic = from
		n.topic.cut(length)
		n.era++
		n.remaining.Drills--
	}
	for length := range s.topic.length + 1 {
		step(search.Label{stepDrill, length}, func(n *State) { drill(n, n.topic, length) })
	}
	for i := range s.era - 1 {
		for length := range s.past[i].length + 1 {
			step(search.Label{stepDrillPast, length, i + 1}, func(n *State) { drill(n, n.past[i], length) })
		}
	}
}

// daemonSteps emits the steps of a daemon.
func (m *Model) daemonSteps(s State, i uint8, step func(search.Label, func(n *State))) {
	d := s.daemons[i]
	if d.write.stage == 0 && !d.current {
		step(search.Label{stepRead, i}, func(n *State) { m.read(n, i) })
	}
	if d.era > 0 && d.era < s.era {
		step(search.Label{stepNotice, i}, func(n *State) { m.notice(&n.daemons[i], n.era) })
	}
	if d.write.stage == 0 && d.current && s.remaining.Writes > 0 && m.mayWrite(d, i) {
		step(search.Label{stepWrite, i}, func(n *State) { m.write(n, i, false) })
		if s.remaining.Delayed > 0 {
			step(search.Label{stepSend, i}, func(n *State) {
				n.remaining.Delayed--
				m.send(n, i, false)
			})
		}
	}
	if d.write.stage == 0 && d.current && d.valid > 0 && s.remaining.Writes > 0 && s.remaining.Releases > 0 {
		step(search.Label{stepRelease, i}, func(n *State) {
			n.remaining.Releases--
			n.daemons[i].valid = 0
			m.write(n, i, true)
		})
	}
	switch d.write.stage {
	case sent:
		step(search.Label{stepArrive, i}, func(n *State) { m.arrive(n, &n.daemons[i].write) })
	case refused, done:
		step(search.Label{stepAnswer, i}, func(n *State) { m.answer(&n.daemons[i]) })
	}
	if d.write.stage != 0 && s.remaining.Losses > 0 && s.late.stage == 0 {
		step(search.Label{stepLose, i}, func(n *State) {
			n.remaining.Losses--
			n.giveUp(i)
			n.daemons[i].current = false
		})
	}
	if d.era > 0 && s.remaining.Restarts > 0 && (d.write.stage != sent || s.late.stage == 0) {
		step(search.Label{stepRestart, i}, func(n *State) {
			n.remaining.Restarts--
			n.giveUp(i)
			n.daemons[i] = daemon{}
		})
	}
}

// giveUp ends the wait for an answer. An append that hasn't taken effect may still do.
func (s *State) giveUp(i uint8) {
	if w := s.daemons[i].write; w.stage == sent {
		w.age = 0
		s.late = w
	}
	s.daemons[i].write = write{}
}

// read lets a daemon read the topic.
func (m *Model) read(s *State, i uint8) {
	d := &s.daemons[i]
	if s.era > d.era {
		m.notice(d, s.era)
	}
	rec := s.topic.newest()
	if rec != d.last || s.topic.length != d.end {
		d.heard = min(d.heard, m.heardAfter(d, rec))
	}
	own := rec.holder == i+1
	if rec.era == d.era && (!own || rec.released) {
		d.valid = 0
	}
	if d.valid == 0 && own && !rec.released && (rec.era == d.era || m.fault == OwnRecord) {
		// The topic has a record whose answer was lost, or one of before a restart.
		d.continues = true
	}
	d.end, d.last, d.current = s.topic.length, rec, true
}

// heardAfter returns the ticks for which a daemon has waited after it read a new
// record.
func (m *Model) heardAfter(d *daemon, rec record) uint8 {
	if m.fault == EarlyWait && rec.era < d.era {
		return d.heard
	}
	return 0
}

// mayWrite reports whether a daemon may append a record to acquire or renew the lease.
func (m *Model) mayWrite(d daemon, i uint8) bool {
	old := d.last.era < d.era
	switch {
	case d.valid > 0 || d.heard >= ttl:
		return true
	case d.last.holder == 0:
		return d.era == 1 || m.fault == EmptyTopic
	case d.last.released:
		return !old || m.fault == ReleasedRecord
	case d.last.holder == i+1:
		return !old || m.fault == OwnRecord
	}
	return false
}

// write makes an append that takes effect and is answered at once.
func (m *Model) write(s *State, i uint8, release bool) {
	m.send(s, i, release)
	m.arrive(s, &s.daemons[i].write)
	m.answer(&s.daemons[i])
}

// send sends an append under the condition that the topic ends where the daemon
// believes.
func (m *Model) send(s *State, i uint8, release bool) {
	d := &s.daemons[i]
	s.remaining.Writes--
	d.write = write{stage: sent, era: d.era, end: d.end, record: record{holder: i + 1, era: d.era, released: release}}
}

// arrive lets an append take effect if the topic ends at the offset of its condition.
func (m *Model) arrive(s *State, w *write) {
	w.stage, w.answerEra = refused, s.era
	if s.topic.length == w.end && w.end < maxRecords {
		s.topic.records[w.end] = w.record
		s.topic.length++
		w.stage = done
	}
}

// answer lets a daemon have the answer to its append.
func (m *Model) answer(d *daemon) {
	w := d.write
	d.write = write{}
	if w.answerEra > d.era {
		m.notice(d, w.answerEra)
	}
	if w.stage == refused || w.era < d.era && m.fault != BareCondition {
		d.current = false
		return
	}
	if w.record.released {
		d.valid, d.last, d.end, d.heard = 0, w.record, w.end+1, 0
		d.current = true
		return
	}
	m.begin(d, w)
	d.last, d.end, d.heard, d.current, d.continues = w.record, w.end+1, 0, true, false
}

// begin starts or extends a tenure with an append that was done.
func (m *Model) begin(d *daemon, w write) {
	left := ttl - w.age
	if d.valid == 0 {
		d.fence = position{d.era, w.end}
		switch {
		case d.continues && m.fault == RestartAtOnce, d.last.holder == 0 && d.era == 1:
			d.ordersIn = 0
		case d.continues:
			d.ordersIn = pause - min(pause, w.age)
		case d.last.released && (d.last.era == d.era || m.fault == ReleasedRecord):
			d.ordersIn = pause - min(pause, d.heard)
		default:
			d.ordersIn = maxHeard - d.heard
		}
	}
	d.valid = left
}

// Describe returns a description of the step l.
func (m *Model) Describe(s State, l search.Label) string {
	d := fmt.Sprintf("daemon %d", l[1]+1)
	switch l[0] {
	case stepTick:
		return "a tick passes"
	case stepRead:
		return d + " reads the topic"
	case stepNotice:
		return d + " notices the era in an answer of another topic"
	case stepSend:
		return fmt.Sprintf("%s sends a record for offset %d", d, s.daemons[l[1]].end)
	case stepWrite:
		return fmt.Sprintf("%s writes a record at offset %d, where the log ends at %d", d, s.daemons[l[1]].end, s.topic.length)
	case stepRelease:
		return d + " writes a release"
	case stepArrive:
		return fmt.Sprintf("the append of %s arrives at the log, which ends at %d", d, s.topic.length)
	case stepAnswer:
		return d + " gets the answer"
	case stepLose:
		return d + " gives up the call"
	case stepArriveLate:
		return "the append that was given up arrives at the log"
	case stepRestart:
		return d + " restarts"
	case stepDrill:
		return fmt.Sprintf("the log returns with its first %d records", l[1])
	case stepDrillPast:
		return fmt.Sprintf("the log returns with the first %d records of era %d", l[1], l[2])
	}
	return fmt.Sprint(l)
}
