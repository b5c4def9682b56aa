package pick

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Runs reports whether the upstream with an ID is one of the key's service and has loaded its
// model and adapter, as far as is known at now.
func (t *Table) Runs(now time.Time, id string, k fleet.Key) bool {
	u := t.upstreams[id]
	return u != nil && u.info.Service == k.Service && u.canRun(now, k)
}
