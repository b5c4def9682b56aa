// Package heap implements a generic priority queue.
//
// A Heap is a binary heap (Williams, 1964). An element can be removed from any
// position in logarithmic time by means of the Node that Push returns. A Heap is
// not safe for concurrent use.
package heap
