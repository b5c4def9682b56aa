package ration

import "sync"

type (
	// Ration is a number of bytes that bodies share. It is safe for concurrent use.
	Ration struct {
		total, perSource int

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
	return &Ration{total: total, perSource: min(max(int(sourceShare*float64(total)), largest+step), total), bySource: map[string]int{}}
}

// Hold returns an empty Hold for a source.
func (r *Ration) Hold(source string) *Hold { return &Hold{ration: r, source: source} }

// Taken returns the number of bytes taken.
func (r *Ration) Taken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

// take takes n bytes for a source, and reports whether they were left.
func (r *Ration) take(source string, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken+n > r.total || r.bySource[source]+n > r.perSource {
		return false
	}
	r.taken += n
	r.bySource[source] += n
	return true
}

func (r *Ration) release(source string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken -= n
	if r.bySource[source] -= n; r.bySource[source] <= 0 {
		delete(r.bySource, source)
	}
}

// Grow has the Hold cover n bytes, and reports whether it could. It never shrinks.
func (h *Hold) Grow(n int) bool {
	want := max(n-Free, 0)
	if want <= h.bytes {
		return true
	}
	more := (want - h.bytes + step - 1) / step * step
	if !h.ration.take(h.source, more) {
		return false
	}
	h.bytes += more
	return true
}

// Release returns what the Hold has taken. It may be called again.
func (h *Hold) Release() {
	if h.bytes > 0 {
		h.ration.release(h.source, h.bytes)
		h.bytes = 0
	}
}
