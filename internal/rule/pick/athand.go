package pick

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// returnTime is the time from the removal of an upstream within which its host may start it
// again, with the weights that are on its disk: crashed engines are back after 2 to 6 s.
const returnTime = 10 * time.Second

// AtHand reports whether an engine of a service has the weights of a model loaded, in memory
// or on disk, or had them when it was removed lately. If none has, only the weight store can
// bring them.
func (t *Table) AtHand(now time.Time, service, model string) bool {
	for _, u := range t.byService[service] {
		if hasWeights(&u.info.Holding, model) || u.models[model] != nil {
			return true
		}
	}
	for _, r := range t.former.upstreams {
		if u := r.up; u.info.Service == service && now.Sub(r.at) < returnTime && hasWeights(&u.info.Holding, model) {
			return true
		}
	}
	return false
}

func hasWeights(h *fleet.Holding, model string) bool {
	return slices.Contains(h.OnDisk, model) || slices.Contains(h.InMemory, model) ||
		slices.ContainsFunc(h.Models, func(m fleet.LoadedModel) bool { return m.Model == model })
}
