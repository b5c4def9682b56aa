// Package metric defines the Prometheus metrics of a daemon.
//
// Every name ends with its unit. Labels have few values, all known when the
// daemon starts (classes, outcomes, refusal kinds). Models, adapters and
// upstreams are not labels, because 1,800 adapters would give each histogram
// tens of thousands of series. docs/metrics.md is generated from this package,
// and a test compares the two.
package metric
