// Package ring implements a ring buffer that overwrites its oldest elements.
package ring

// Ring holds the most recently added elements. It is not safe for concurrent
// use.
type Ring[T any] struct {
	items []T
	// next is the index at which the next element is written.
	next int
	// full is set once all items are in use.
	full bool
}

// New returns a Ring with a capacity of n elements, or of 1 if n is less.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(n, 1))}
}

// Add appends v, and overwrites the oldest element if the Ring is full.
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
