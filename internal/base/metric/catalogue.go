package metric

import (
	"fmt"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

type (
	// Entry is the description of one metric in docs/metrics.md.
	Entry struct {
		Name, Type, Help string
		Labels           []string
	}

	// builder creates metrics and records an Entry for each.
	builder struct {
		// reg may be nil; then nothing is registered.
		reg     prometheus.Registerer
		entries []Entry
	}
)

// Entries lists the metrics in the order of docs/metrics.md.
func (m *Metrics) Entries() []Entry { return m.entries }

// Markdown returns the content of docs/metrics.md.
func (m *Metrics) Markdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nA daemon exports these Prometheus metrics. The last part of a name, before `_total`, is its unit. " +
		"This page is generated from the catalogue in `internal/base/metric`.\n\n")
	b.WriteString("| name | type | labels | meaning |\n|---|---|---|---|\n")
	for _, e := range m.entries {
		labels := strings.Join(e.Labels, ", ")
		if labels == "" {
			labels = "none"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", e.Name, e.Type, labels, e.Help)
	}
	fmt.Fprintf(&b, "\nThe label `class` is urgent or background; on an entry host of the users' platform it is the kind and rank of the route, such as stream-0. The label `outcome` of `azurespan_request_duration_seconds` is one of: %s. "+
		"The label `reason` is a kind from [refusals.md](refusals.md), or on an entry host one of [OPERATIONS.md](OPERATIONS.md#reasons); of `azurespan_account_denials_total` it is one of: %s. "+
		"The label `account` is the name of a client account: %d have series of their own, the first of the configuration and those that had them before, and the sum of the others is under `%s`. An account that is removed from the configuration loses its series; its requests that end later count under `%s`. Unit is %s or %s.\n",
		strings.Join(Outcomes, ", "), strings.Join(Denials, ", "), MaxAccounts, OtherAccounts, OtherAccounts, UnitRequests, UnitTokens)
	return b.String()
}

func (b *builder) add(name, typ, help string, labels ...string) {
	b.entries = append(b.entries, Entry{Name: name, Type: typ, Help: help, Labels: labels})
}

func (b *builder) register(c prometheus.Collector) {
	if b.reg != nil {
		b.reg.MustRegister(c)
	}
}

func (b *builder) histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	b.add(name, "histogram", help, labels...)
	c := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
	b.register(c)
	return c
}

func (b *builder) histogram(name, help string, buckets []float64) prometheus.Histogram {
	b.add(name, "histogram", help)
	c := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
	b.register(c)
	return c
}

func (b *builder) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	b.add(name, "counter", help, labels...)
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	b.register(c)
	return c
}

func (b *builder) counter(name, help string) prometheus.Counter {
	b.add(name, "counter", help)
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	b.register(c)
	return c
}

func (b *builder) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	b.add(name, "gauge", help, labels...)
	c := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
	b.register(c)
	return c
}

func (b *builder) gauge(name, help string) prometheus.Gauge {
	b.add(name, "gauge", help)
	c := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	b.register(c)
	return c
}
