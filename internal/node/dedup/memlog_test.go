package dedup

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errDown = errors.New("log is down")

type (
	// memLog is a log in memory, whose clock is set by advance.
	memLog struct {
		mu      sync.Mutex
		now     int64
		streams map[string]*memStream
		appends int
	}

	memStream struct {
		oldest  uint64
		records []Entry
		changed chan struct{}
	}

	// memLink is one daemon's connection to a memLog, with injected faults.
	memLink struct {
		*memLog
		mu        sync.Mutex
		down      bool // appends fail without effect, reads fail
		loseReply bool // appends take effect and then fail
		readDown  bool
		gate      chan struct{} // an append waits for it before it starts
		delayed   []func()      // run by release
		delay     bool          // appends fail and take effect at release
		entered   chan struct{} // gets a value when an append starts
	}
)

var _ Log = (*memLink)(nil)

func newMemLog() *memLog {
	return &memLog{now: 1_765_000_000_000, streams: map[string]*memStream{}}
}

func (l *memLog) link() *memLink {
	return &memLink{memLog: l, entered: make(chan struct{}, 1000)}
}

func (l *memLog) stream(name string) *memStream {
	s := l.streams[name]
	if s == nil {
		s = &memStream{oldest: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// advance moves the clock forward and returns its time.
func (l *memLog) advance(d time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now += d.Milliseconds()
	return time.UnixMilli(l.now)
}

// appendCount returns the number of appends that took effect.
func (l *memLog) appendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// drop removes all records of all streams, as retention does.
func (l *memLog) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		s.oldest += uint64(len(s.records))
		s.records = nil
	}
}

func (l *memLog) add(stream string, data [][]byte) (uint64, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.appends++
	first := s.oldest + uint64(len(s.records))
	for i, d := range data {
		s.records = append(s.records, Entry{Offset: first + uint64(i), TimeMS: l.now, Data: d})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, l.now
}

func (l *memLink) set(f func(*memLink)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// release lets delayed appends take effect.
func (l *memLink) release() {
	l.mu.Lock()
	fs := l.delayed
	l.delayed, l.delay = nil, false
	l.mu.Unlock()
	for _, f := range fs {
		f()
	}
}

func (l *memLink) Append(ctx context.Context, stream string, data ...[]byte) (uint64, int64, error) {
	l.mu.Lock()
	gate := l.gate
	l.mu.Unlock()
	select {
	case l.entered <- struct{}{}:
	default:
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			// The record was sent already and takes effect.
			l.add(stream, data)
			return 0, 0, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.down:
		return 0, 0, &NotAppendedError{Cause: errDown}
	case l.delay:
		l.delayed = append(l.delayed, func() { l.add(stream, data) })
		return 0, 0, errDown
	}
	off, at := l.add(stream, data)
	if l.loseReply {
		return 0, 0, errDown
	}
	return off, at, nil
}

// unreadable reports whether reads over the link fail.
func (l *memLink) unreadable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down || l.readDown
}

func (l *memLink) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		if l.unreadable() {
			return Page{}, errDown
		}
		l.memLog.mu.Lock()
		s := l.stream(stream)
		p := Page{Oldest: s.oldest, End: s.oldest + uint64(len(s.records))}
		for _, e := range s.records {
			if e.Offset >= from && len(p.Records) < limit {
				p.Records = append(p.Records, e)
			}
		}
		changed := s.changed
		l.memLog.mu.Unlock()
		if l.unreadable() {
			// Records that were written since the link went down aren't read.
			return Page{}, errDown
		}
		if len(p.Records) > 0 || wait == 0 {
			return p, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return p, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}
