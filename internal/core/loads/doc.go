// Package loads sums the requests in progress that daemons report, by upstream, and tells a
// daemon those of the others within a number of entries that doesn't grow with the number of
// upstreams: those with the most for their slots. What the others have is told as their mean.
package loads
