package engsv

import (
	"slices"
	"strings"
	"time"
)

// stream is a completion that is queued, running, or retained after its end so
// that clients can resume it.
type stream struct {
	id         string
	priority   string
	completion *Completion
	// prefixKey identifies the prompt prefix in the prefix cache.
	prefixKey string
	// first is the index of the first token that this engine generates, next
	// that of the next token to generate.
	first, next int64
	// prefillTokens is the remaining prefill work, in decoded tokens.
	prefillTokens float64
	cancelled     bool
	ended         time.Time
	changed       chan struct{}
}

const (
	// decodeInterval is the time between two decoding steps.
	decodeInterval = 2 * time.Millisecond
	// prefillTokensPerByte is the prefill work for one prompt byte, in decoded
	// tokens, if the prompt prefix is not cached.
	prefillTokensPerByte = 1.0 / 40
	// burstsPerSecond limits the tokens generated in one step to those of
	// 1/burstsPerSecond seconds, plus one.
	burstsPerSecond = 10
)

func (r *stream) done() bool { return r.cancelled || r.next >= r.completion.Tokens }

func (r *stream) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// enqueue adds r to the queue. The caller holds s.mu.
func (s *Server) enqueue(st *state, r *stream) {
	r.changed = make(chan struct{})
	st.streams[r.id] = r
	st.queue = append(st.queue, r)
	select {
	case st.enqueued <- struct{}{}:
	default:
	}
}

// decodeLoop generates tokens round-robin over the running streams at the
// configured total rate, until a crash discards st.
func (s *Server) decodeLoop(st *state) {
	tick := time.NewTicker(decodeInterval)
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
		if s.startQueued(st) {
			s.mu.Unlock()
			s.Crash()
			return
		}
		now, rate := time.Now(), s.cfg.TokensPerSecond/orDefault(s.faults.Slowdown, 1)
		budget = min(budget+now.Sub(last).Seconds()*rate, rate/burstsPerSecond+1)
		last = now
		for budget >= 1 && len(st.running) > 0 {
			turn = (turn + 1) % len(st.running)
			r := st.running[turn]
			budget--
			if r.prefillTokens > 0 {
				r.prefillTokens--
				continue
			}
			if r.next < r.completion.Tokens {
				r.next++
			}
			if r.done() {
				s.finish(st, r)
			}
			r.notify()
		}
		idle := len(st.running) == 0
		s.mu.Unlock()
		if !idle {
			continue
		}
		select {
		case <-st.ctx.Done():
			return
		case <-st.enqueued:
			last = time.Now()
		}
	}
}

// startQueued assigns queued streams to free sequences, urgent ones first. It
// reports whether one of them has a prompt that crashes the engine.
func (s *Server) startQueued(st *state) (crash bool) {
	for len(st.queue) > 0 && len(st.running) < s.cfg.Sequences {
		i := max(0, slices.IndexFunc(st.queue, func(r *stream) bool { return r.priority != "background" }))
		r := st.queue[i]
		st.queue = slices.Delete(st.queue, i, i+1)
		st.running = append(st.running, r)
		t := r.completion
		s.record(Entry{Kind: "run", Request: r.id, Model: t.Model, Version: t.Version, Adapter: t.Adapter, Priority: r.priority, From: r.first})
		if s.faults.Poison != "" && strings.Contains(t.Prompt, s.faults.Poison) {
			return true
		}
		if !s.cachePrefix(st, r) {
			r.prefillTokens = float64(len(t.Prompt)) * prefillTokensPerByte
		}
	}
	return false
}

// finish records the end of r and frees its sequence, and deletes streams whose
// retention has expired. The caller holds s.mu.
func (s *Server) finish(st *state, r *stream) {
	r.ended = time.Now()
	same := func(o *stream) bool { return o == r }
	st.queue = slices.DeleteFunc(st.queue, same)
	st.running = slices.DeleteFunc(st.running, same)
	e := Entry{Kind: "run-end", Request: r.id, From: r.first, To: r.next, Code: r.completion.Finish}
	if r.cancelled {
		e.Code = "cancelled"
	}
	s.record(e)
	for id, o := range st.streams {
		if !o.ended.IsZero() && time.Since(o.ended) > s.cfg.StreamRetention {
			delete(st.streams, id)
		}
	}
}
