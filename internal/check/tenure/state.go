package tenure

type (
	// Bounds limits the number of events of each kind in a run.
	Bounds struct {
		Ticks, Writes, Drills, Restarts, Releases uint8
		// Delayed is the number of appends that take effect, or whose answers
		// arrive, later than they are sent. Of these, Losses may be given up.
		Delayed, Losses uint8
	}

	// record is a record of the lease's topic; holder is 0 for none.
	record struct {
		holder, era uint8
		released    bool
	}

	// position is the place of a record.
	position struct{ era, offset uint8 }

	// topic is the content of the lease's topic.
	topic struct {
		records [maxRecords]record
		length  uint8
	}

	// write is an append under way. end is the offset at which the topic must end,
	// and era the one in which that was read.
	write struct {
		stage    uint8
		era, end uint8
		record   record
		// age is the number of ticks since the append was sent.
		age uint8
		// answerEra is the era in the answer.
		answerEra uint8
	}

	daemon struct {
		// era is the one that it has noticed, 0 before the first read.
		era uint8
		// current is set while nothing shows that the topic must be read again.
		current bool
		end     uint8
		last    record
		// heard is the number of ticks since the newest record was read or the era
		// was noticed, up to maxHeard.
		heard uint8
		// valid is the number of ticks left of the tenure, and ordersIn until its
		// orders may begin.
		valid, ordersIn uint8
		// continues is set if the next append continues a tenure.
		continues bool
		fence     position
		write     write
	}

	// State is a state of the specification.
	State struct {
		remaining Bounds
		era       uint8
		topic     topic
		// past has the topic's contents before each drill.
		past [maxDrills]topic
		// late is an append whose sender has given it up.
		late    write
		daemons [daemons]daemon
		// orderer is the last daemon that could order, from 1 on, idle the number of
		// ticks since then, up to pause, and fence the highest that it used.
		orderer, idle uint8
		fence         position
		// violated is the index of the violated property, 0 for none.
		violated uint8
	}
)

const (
	daemons    = 2
	maxRecords = 8
	maxDrills  = 2
	// ttl is the duration of a tenure and pause the time between the orders of two
	// holders, in ticks.
	ttl, pause = 2, 1
	maxHeard   = ttl + pause
)

// Values of write.stage.
const (
	sent uint8 = iota + 1
	refused
	done
)

// newest returns the last record.
func (t *topic) newest() record {
	if t.length == 0 {
		return record{}
	}
	return t.records[t.length-1]
}

// cut removes the records from an offset on.
func (t *topic) cut(length uint8) {
	for i := length; i < t.length; i++ {
		t.records[i] = record{}
	}
	t.length = length
}

// canOrder reports whether the daemon may send orders.
func (d *daemon) canOrder() bool { return d.valid > 0 && d.ordersIn == 0 }

// notice makes an era known to the daemon.
func (m *Model) notice(d *daemon, era uint8) {
	if d.era == 0 || m.fault != EarlyWait {
		d.heard = 0
	}
	d.era, d.current = era, false
}

// tick lets time pass.
func (s *State) tick() {
	for i := range s.daemons {
		d := &s.daemons[i]
		if d.era > 0 {
			d.heard = min(d.heard+1, maxHeard)
		}
		d.valid -= min(d.valid, 1)
		d.ordersIn -= min(d.ordersIn, 1)
		if d.write.stage != 0 {
			d.write.age = min(d.write.age+1, ttl)
		}
	}
	s.idle = min(s.idle+1, pause)
}

// observe checks the properties after a step.
func (m *Model) observe(s *State) {
	able := 0
	for i := range s.daemons {
		d := &s.daemons[i]
		if !d.canOrder() {
			continue
		}
		able++
		id := uint8(i + 1)
		switch {
		case able > 1:
			s.violated = twoHolders
		case m.below(d.fence, s.fence) || d.fence == s.fence && s.orderer != id && s.orderer != 0:
			s.violated = fenceFell
		case s.orderer != id && s.orderer != 0 && s.idle < pause:
			s.violated = noPause
		}
		s.orderer, s.idle, s.fence = id, 0, d.fence
	}
}

// below reports whether an engine takes fence a for lower than b.
func (m *Model) below(a, b position) bool {
	if m.fault == OffsetFence || a.era == b.era {
		return a.offset < b.offset
	}
	return a.era < b.era
}
