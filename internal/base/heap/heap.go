package heap

type (
	// Node is an element of a Heap.
	Node[T any] struct {
		Value T
		pos   int
	}

	// Heap yields its elements in the order of less. Elements that are
	// equal under less come in unspecified order.
	Heap[T any] struct {
		less  func(a, b T) bool
		nodes []*Node[T]
	}
)

// New returns an empty Heap.
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

// Peek returns the first node, nil if there is none.
func (h *Heap[T]) Peek() *Node[T] {
	if len(h.nodes) == 0 {
		return nil
	}
	return h.nodes[0]
}

// Remove takes n out and reports whether it was in h.
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

// Each calls f for all elements in unspecified order. f must not change h.
func (h *Heap[T]) Each(f func(T)) {
	for _, n := range h.nodes {
		f(n.Value)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].pos, h.nodes[j].pos = i, j
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.nodes[i].Value, h.nodes[p].Value) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

// down reports whether the element at i moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		c := 2*i + 1
		if c >= len(h.nodes) {
			break
		}
		if c+1 < len(h.nodes) && h.less(h.nodes[c+1].Value, h.nodes[c].Value) {
			c++
		}
		if !h.less(h.nodes[c].Value, h.nodes[i].Value) {
			break
		}
		h.swap(i, c)
		i = c
	}
	return i > start
}
