package engsv

import (
	"slices"
	"strings"
	"time"
)

// run is one answer, in the queue, in progress, or kept for resumption.
type run struct {
	id       string
	priority string
	text     *Completion
	// prefix names the start of the prompt in the prefix cache.
	prefix string
	// first is the index of the first token that this run produces, next the
	// index of the next one.
	first, next int64
	// prefill is the work left before the first token, in tokens.
	prefill   float64
	cancelled bool
	ended     time.Time
	changed   chan struct{}
}

const (
	// decodeStep is the interval in which tokens are handed out.
	decodeStep = 2 * time.Millisecond
	// prefillShare is the cost of a prompt byte in tokens, if its prefix is
	// not cached.
	prefillShare = 1.0 / 40
)

func (r *run) done() bool { return r.cancelled || r.next >= r.text.Tokens }

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// enqueue adds r to the queue. The caller holds s.mu.
func (s *Server) enqueue(st *state, r *run) {
	r.changed = make(chan struct{})
	st.runs[r.id] = r
	st.queue = append(st.queue, r)
	select {
	case st.wakes <- struct{}{}:
	default:
	}
}

// decode hands out the token rate to the running sequences in turn until the
// state is lost.
func (s *Server) decode(st *state) {
	tick := time.NewTicker(decodeStep)
	defer tick.Stop()
	var budget float64
	last, turn := time.Now(), 0
	for {
		select {
		case <-st.ctx.Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		if s.admit(st) {
			s.mu.Unlock()
			s.Crash()
			return
		}
		now, rate := time.Now(), s.cfg.TokensPerSecond/or(s.faults.Slowdown, 1)
		budget = min(budget+now.Sub(last).Seconds()*rate, rate/10+1)
		last = now
		for budget >= 1 && len(st.running) > 0 {
			turn = (turn + 1) % len(st.running)
			r := st.running[turn]
			budget--
			if r.prefill > 0 {
				r.prefill--
				continue
			}
			if r.next < r.text.Tokens {
				r.next++
			}
			if r.done() {
				s.finish(st, r)
			}
			r.wake()
		}
		idle := len(st.running) == 0
		s.mu.Unlock()
		if !idle {
			continue
		}
		select {
		case <-st.ctx.Done():
			return
		case <-st.wakes:
			last = time.Now()
		}
	}
}

// admit moves queued runs to free sequences, urgent ones first. It returns
// true if one of them crashes the engine.
func (s *Server) admit(st *state) (crash bool) {
	for len(st.queue) > 0 && len(st.running) < s.cfg.Sequences {
		i := max(0, slices.IndexFunc(st.queue, func(r *run) bool { return r.priority != "background" }))
		r := st.queue[i]
		st.queue = slices.Delete(st.queue, i, i+1)
		st.running = append(st.running, r)
		t := r.text
		s.note(Entry{Kind: "run", Request: r.id, Model: t.Model, Version: t.Version, Adapter: t.Adapter, Priority: r.priority, From: r.first})
		if s.faults.Poison != "" && strings.Contains(t.Prompt, s.faults.Poison) {
			return true
		}
		if !s.touchPrefix(st, r) {
			r.prefill = float64(len(t.Prompt)) * prefillShare
		}
	}
	return false
}

// finish ends r. The caller holds s.mu.
func (s *Server) finish(st *state, r *run) {
	r.ended = time.Now()
	same := func(o *run) bool { return o == r }
	st.queue = slices.DeleteFunc(st.queue, same)
	st.running = slices.DeleteFunc(st.running, same)
	e := Entry{Kind: "run-end", Request: r.id, From: r.first, To: r.next, Code: r.text.Finish}
	if r.cancelled {
		e.Code = "cancelled"
	}
	s.note(e)
	for id, o := range st.runs {
		if !o.ended.IsZero() && time.Since(o.ended) > s.cfg.StreamRetention {
			delete(st.runs, id)
		}
	}
}
