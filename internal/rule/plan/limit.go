package plan

import "github.com/azurespan/azurespan/internal/core/fleet"

// SetLimits replaces the rate limits that engines name.
func (p *Planner) SetLimits(limits []fleet.NamedLimit) {
	p.limits = make(map[string]fleet.RateLimit, len(limits))
	for _, n := range limits {
		if !n.Lifted {
			p.limits[n.Upstream] = n.RateLimit
		}
	}
}

// serves reports whether the rate limit of an engine, if it has one, allows for the
// requests for a model.
func (p *Planner) serves(e *engine, c *modelCount) bool {
	limit, limited := p.limits[e.up.ID]
	return !limited || limit.Born != e.up.Born || c.rate <= limitedShare*limit.PerSecond
}
