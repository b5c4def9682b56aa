// Package heap holds a generic priority container.
//
// A Heap is a binary heap (Williams, 1964) whose elements can be removed from
// any position in logarithmic time through the Node that Push returns. It is
// not safe for concurrent use.
package heap
