package blame

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// storm simulates daemons that send requests to upstreams. Requests with one
	// part crash each upstream that begins to answer them.
	storm struct {
		rng       *rand.Rand
		now       time.Time
		tables    []*Table
		cursors   []poison.Cursor
		restarted []time.Time
		upstreams []upstream
		bad       string
		// crashes are the times of the crashes under requests with bad.
		crashes []time.Time
		// lateSends counts the requests with bad that were sent later than
		// contact after the fifth crash; sound and refused count the others from
		// 2 x contact after the fifth crash, or the last one if there are fewer.
		lateSends, sound, refused int
	}

	upstream struct {
		incarnation int
		backAt      time.Time
		running     []*request
	}

	request struct {
		daemon           int
		parts            []string
		known            Known
		beginsAt, endsAt time.Time
		begun, cleared   bool
	}
)

const (
	stormStep     = 10 * time.Millisecond
	stormStart    = 8 * time.Second
	stormEnd      = 30 * time.Second
	exchangeDelay = 100 * time.Millisecond
	contact       = 3 * time.Second
	// downTime is the time until a crashed upstream is back.
	downTime = 5 * time.Second
	// crashDelay is the time from the beginning of an answer to the crash.
	crashDelay = 70 * time.Millisecond
)

func newStorm(seed uint64, daemons int) *storm {
	s := &storm{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), upstreams: make([]upstream, 12)}
	s.tables, s.cursors, s.restarted = make([]*Table, daemons), make([]poison.Cursor, daemons), make([]time.Time, daemons)
	for i := range s.tables {
		s.restart(i)
	}
	return s
}

// restart replaces a daemon by one that knows nothing.
func (s *storm) restart(i int) {
	s.tables[i] = New(poison.New(poison.Settings{CrashLimit: 3}, s.rng.Uint64()))
	s.cursors[i] = poison.Cursor{}
	s.restarted[i] = s.now
}

// soundParts returns the parts of a request of one of three routes, by share: those
// of one route have two, of another 348 second parts.
func (s *storm) soundParts() []string {
	switch n := s.rng.IntN(85); {
	case n < 37:
		return []string{fmt.Sprint("t", s.rng.IntN(3)), fmt.Sprint("tt", s.rng.IntN(348))}
	case n < 53:
		return []string{"s", fmt.Sprint("ss", s.rng.IntN(2))}
	default:
		return []string{fmt.Sprint("l", s.rng.IntN(3)), fmt.Sprint("ll", s.rng.IntN(135))}
	}
}

// send sends a request by a random daemon to a random upstream, unless its parts are
// quarantined or no upstream is up.
func (s *storm) send(parts []string) {
	d := s.rng.IntN(len(s.tables))
	bad := parts[len(parts)-1] == s.bad
	part, _ := s.tables[d].Judge(s.now, parts)
	if n := min(len(s.crashes), 5); !bad && n > 0 && s.now.Sub(s.crashes[n-1]) > 2*contact {
		s.sound++
		if part != "" {
			s.refused++
		}
	}
	if part != "" {
		return
	}
	var up []int
	for i, u := range s.upstreams {
		if !s.now.Before(u.backAt) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	if bad && len(s.crashes) >= 5 && s.now.Sub(s.crashes[4]) > contact && s.now.Sub(s.restarted[d]) > contact {
		s.lateSends++
	}
	s.tables[d].Sent(s.now, parts)
	begin := s.now.Add(time.Duration(20+s.rng.IntN(200)) * time.Millisecond)
	u := &s.upstreams[up[s.rng.IntN(len(up))]]
	u.running = append(u.running, &request{daemon: d, parts: parts, beginsAt: begin, endsAt: begin.Add(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond)})
}

// run advances the requests of an upstream, and crashes it if one of them has bad.
func (s *storm) run(i int) {
	u := &s.upstreams[i]
	kept := u.running[:0]
	for _, r := range u.running {
		bad := r.parts[len(r.parts)-1] == s.bad
		if bad && !s.now.Before(r.beginsAt.Add(crashDelay)) {
			s.crash(i)
			return
		}
		table := s.tables[r.daemon]
		if !r.begun && !s.now.Before(r.beginsAt) {
			r.begun, r.known = true, table.Known(r.parts)
		}
		done := !bad && !s.now.Before(r.endsAt)
		if r.begun && !r.cleared && (done || s.now.Sub(r.beginsAt) >= AnsweredAfter) {
			r.cleared = true
			table.Answered(s.now, r.parts, r.known)
		}
		if !done {
			kept = append(kept, r)
		}
	}
	u.running = kept
}

func (s *storm) crash(i int) {
	u := &s.upstreams[i]
	s.crashes = append(s.crashes, s.now)
	if len(s.crashes) <= 5 {
		s.sound, s.refused = 0, 0
	}
	c := poison.Crash{ID: fmt.Sprintf("u%d@%d", i, u.incarnation), At: s.now}
	for _, r := range u.running {
		if r.begun && s.now.Sub(r.beginsAt) >= AnsweredAfter {
			continue
		}
		s.tables[r.daemon].Crashed(r.parts, c)
	}
	u.running, u.incarnation, u.backAt = nil, u.incarnation+1, s.now.Add(downTime)
}

// exchange tells the holder, which is the first daemon, what the others know, and the
// others what the holder knows.
func (s *storm) exchange() {
	holder := s.tables[0].crashes
	for i, t := range s.tables[1:] {
		told, _ := t.crashes.Since(poison.Cursor{}, true)
		for _, e := range told {
			holder.Merge(s.now, e)
		}
		var news []poison.Entry
		news, s.cursors[i+1] = holder.Since(s.cursors[i+1], false)
		for _, e := range news {
			t.crashes.Merge(s.now, e)
		}
	}
}

// TestCrashingPartStorms plays days like those of the incident BUDGET of issue 25: a
// part that is new or was in use before begins to crash upstreams, in a burst and
// then about once a second, while daemons restart. It guards against sending more
// than three requests with it later than the contact time after the fifth crash, and
// against refusing as many as half of the other requests (rule LOST).
func TestCrashingPartStorms(t *testing.T) {
	for seed := range uint64(60) {
		s := newStorm(seed, 4)
		s.bad = []string{"new", "tt7", "ll7", "ss1"}[seed%4]
		restartAt := time.Duration(s.rng.IntN(int(stormEnd/time.Millisecond))) * time.Millisecond
		start := s.now
		for at := time.Duration(0); at < stormEnd; at = s.now.Sub(start) {
			began := at >= stormStart
			if s.rng.Float64() < 85*stormStep.Seconds() {
				if parts := s.soundParts(); parts[1] != s.bad || !began {
					if !began {
						s.sendBeforeStorm(parts)
					} else {
						s.send(parts)
					}
				}
			}
			burst := began && at < stormStart+400*time.Millisecond && s.rng.Float64() < 12*stormStep.Seconds()
			if burst || began && s.rng.Float64() < 1.5*stormStep.Seconds() {
				s.send([]string{s.soundParts()[0], s.bad})
			}
			for i := range s.upstreams {
				s.run(i)
			}
			if at%exchangeDelay == 0 {
				s.exchange()
			}
			if seed%3 == 1 && at <= restartAt && restartAt < at+stormStep {
				s.restart(1 + s.rng.IntN(len(s.tables)-1))
			}
			s.now = s.now.Add(stormStep)
		}
		must.LessEq(t, 3, s.lateSends, must.Sprintf("seed %d: %d crashes", seed, len(s.crashes)))
		must.LessEq(t, s.sound/2, s.refused, must.Sprintf("seed %d: %d of %d", seed, s.refused, s.sound))
		for _, tab := range s.tables {
			must.MapContainsKey(t, tab.quarantined, s.bad, must.Sprint(seed))
		}
	}
}

// sendBeforeStorm sends a request with parts that crash nothing yet.
func (s *storm) sendBeforeStorm(parts []string) {
	bad := s.bad
	s.bad = ""
	s.send(parts)
	s.bad = bad
}
