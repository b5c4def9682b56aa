package heap

type (
	// Node is an element of a Heap.
	Node[T any] struct {
		Value T
		// pos is the index in Heap.nodes, -1 after removal.
		pos int
	}

	// Heap is a priority queue whose first element is the least by less. The
	// order of equal elements is unspecified.
	Heap[T any] struct {
		less  func(a, b T) bool
		nodes []*Node[T]
	}
)

// New returns an empty Heap ordered by less.
func New[T any](less func(a, b T) bool) *Heap[T] { return &Heap[T]{less: less} }

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.nodes) }

// Push adds v and returns its node.
func (h *Heap[T]) Push(v T) *Node[T] {
	n := &Node[T]{Value: v, pos: len(h.nodes)}
	h.nodes = append(h.nodes, n)
	h.up(n.pos)
	return n
}

// Peek returns the node of the least element, nil if the heap is empty.
func (h *Heap[T]) Peek() *Node[T] {
	if len(h.nodes) == 0 {
		return nil
	}
	return h.nodes[0]
}

// Remove removes n and reports whether it was in h.
func (h *Heap[T]) Remove(n *Node[T]) bool {
	i := n.pos
	if i < 0 || i >= len(h.nodes) || h.nodes[i] != n {
		return false
	}
	last := len(h.nodes) - 1
	h.swap(i, last)
	h.nodes[last] = nil
	h.nodes = h.nodes[:last]
	n.pos = -1
	if i < last && !h.down(i) {
		h.up(i)
	}
	return true
}

// Each calls f for all elements in unspecified order. f must not modify h.
func (h *Heap[T]) Each(f func(T)) {
	for _, n := range h.nodes {
		f(n.Value)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].pos, h.nodes[j].pos = i, j
}

// up moves the element at i towards the root until the heap is ordered.
func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.nodes[i].Value, h.nodes[parent].Value) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element at i away from the root until the heap is ordered, and
// reports whether it moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.nodes) {
			break
		}
		if child+1 < len(h.nodes) && h.less(h.nodes[child+1].Value, h.nodes[child].Value) {
			child++
		}
		if !h.less(h.nodes[child].Value, h.nodes[i].Value) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
