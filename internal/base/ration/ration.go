package ration

import "sync"

type (
	// Ration is a number of bytes that its users share. It is safe for concurrent use.
	Ration struct {
		// parent is the Ration that this one is a part of, nil if none.
		parent                 *Ration
		total, perSource, free int

		mu       sync.Mutex
		taken    int
		bySource map[string]int
	}

	// Hold is what one body, or the buffers of one request, has taken of a Ration. It is
	// not safe for concurrent use.
	Hold struct {
		ration *Ration
		source string
		bytes  int
	}
)

const (
	// Free is the size up to which a body takes nothing of a Ration: answers of plain
	// services have 800 bytes, prompts some KB.
	Free = 64 << 10
	// step is the unit in which a Hold grows.
	step = 64 << 10
	// sourceShare is the part of a Ration that one source may have.
	sourceShare = 0.25
)

// New returns a Ration of a number of bytes. A source may always have a body of largest
// bytes.
func New(total, largest int) *Ration {
	return &Ration{total: total, perSource: min(max(int(sourceShare*float64(total)), largest+step), total), free: Free, bySource: map[string]int{}}
}

// NewAccount returns a Ration of which only parts are used.
func NewAccount(total int) *Ration { return &Ration{total: total, perSource: total} }

// Part returns a Ration that also takes its bytes of r, so that all parts together have no
// more than r. A source may always have a body of largest bytes.
func (r *Ration) Part(total, largest int) *Ration {
	p := New(total, largest)
	p.parent = r
	return p
}

// Exact returns a Ration like Part from which Take takes: one source may have perSource
// bytes, and nothing is free.
func (r *Ration) Exact(total, perSource int) *Ration {
	return &Ration{parent: r, total: total, perSource: min(perSource, total), bySource: map[string]int{}}
}

// Hold returns an empty Hold for a source.
func (r *Ration) Hold(source string) *Hold { return &Hold{ration: r, source: source} }

// Taken returns the number of bytes taken.
func (r *Ration) Taken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

// Take takes n bytes for a source, and reports whether they were left.
func (r *Ration) Take(source string, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken+n > r.total || r.perSource < r.total && r.bySource[source]+n > r.perSource {
		return false
	}
	if r.parent != nil && !r.parent.Take(source, n) {
		return false
	}
	r.taken += n
	if r.perSource < r.total {
		r.bySource[source] += n
	}
	return true
}

// Return gives back n bytes that were taken for a source.
func (r *Ration) Return(source string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parent != nil {
		r.parent.Return(source, n)
	}
	r.taken -= n
	if r.perSource < r.total {
		if r.bySource[source] -= n; r.bySource[source] <= 0 {
			delete(r.bySource, source)
		}
	}
}

// OverShare reports whether n more bytes would be more than the source may have.
func (r *Ration) OverShare(source string, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.perSource < r.total && r.bySource[source]+n > r.perSource
}

// Grow has the Hold cover n bytes, and reports whether it could. It never shrinks.
func (h *Hold) Grow(n int) bool {
	want := max(n-h.ration.free, 0)
	if want <= h.bytes {
		return true
	}
	more := (want - h.bytes + step - 1) / step * step
	if !h.ration.Take(h.source, more) {
		return false
	}
	h.bytes += more
	return true
}

// Release returns what the Hold has taken. It may be called again.
func (h *Hold) Release() {
	if h.bytes > 0 {
		h.ration.Return(h.source, h.bytes)
		h.bytes = 0
	}
}
