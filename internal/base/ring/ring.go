// Package ring is a bounded buffer that overwrites its oldest elements.
package ring

// Ring holds the last elements added to it. It is not safe for concurrent use.
type Ring[T any] struct {
	items []T
	next  int
	full  bool
}

// New returns a Ring for n elements; n is at least 1.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(n, 1))}
}

// Add appends v and overwrites the oldest element if the Ring is full.
func (r *Ring[T]) Add(v T) {
	r.items[r.next] = v
	r.next++
	if r.next == len(r.items) {
		r.next, r.full = 0, true
	}
}

// Each calls fn for the elements from the oldest to the newest.
func (r *Ring[T]) Each(fn func(T)) {
	if r.full {
		for _, v := range r.items[r.next:] {
			fn(v)
		}
	}
	for _, v := range r.items[:r.next] {
		fn(v)
	}
}
