// Package metric defines the Prometheus metrics of a daemon.
//
// Every name ends with its unit. Labels have few values that are known when
// the daemon starts (classes, outcomes, refusal kinds); models, adapters and
// upstreams are not labels, because 1,800 adapters would give each histogram
// tens of thousands of series. docs/metrics.md lists all metrics, and a test
// compares it with this package.
package metric
