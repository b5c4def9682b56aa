package entry

import (
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
)

// countOmitted counts what the log omits in a metric. Events with a limit of their own have
// their series from the beginning.
func countOmitted(m *metric.Metrics) {
	for _, e := range event.Catalogue() {
		if e.PerSecond > 0 {
			m.LogOmitted.WithLabelValues(e.Name)
		}
	}
	event.CountOmitted(func(name string, n int) { m.LogOmitted.WithLabelValues(name).Add(float64(n)) })
}
