package grants

import (
	"fmt"

	"github.com/azurespan/azurespan/internal/check/search"
)

// Describe returns a description of the step l from s.
func (m *Model) Describe(s State, l search.Label) string {
	d, u := fmt.Sprintf("daemon %d", l[1]), ""
	if int(l[2]) < upstreams {
		u = upstreamNames[l[2]]
	}
	name := ""
	if int(l[3]) < models {
		name = modelNames[l[3]]
	}
	later := ""
	if l[0]&delayed != 0 {
		later = " (takes effect later)"
	}
	switch l[0] &^ delayed {
	case stepRead:
		return fmt.Sprintf("%s reads: %s", d, m.logs.nodes[m.logs.nextNode(s.hosts[l[1]].position, s.log)].entry)
	case stepTakeOwnership:
		return fmt.Sprintf("%s appends ownership of %s%s", d, u, later)
	case stepGrant:
		return fmt.Sprintf("%s appends a grant of %s on %s%s", d, name, u, later)
	case stepLoad:
		return fmt.Sprintf("%s orders the load of %s on %s", d, name, u)
	case stepUnload:
		return fmt.Sprintf("%s orders the unload of %s on %s", d, name, u)
	case stepRelease:
		return fmt.Sprintf("%s appends the release of %s on %s%s", d, name, u, later)
	case stepAcknowledge:
		return fmt.Sprintf("%s acknowledges the loss of %s%s", d, u, later)
	case stepExecute, stepExecuteResponseLost, stepExecuteAbandoned:
		o := s.hosts[l[1]].upstreams[l[2]].current
		if l[0] == stepExecuteAbandoned {
			o = s.hosts[l[1]].upstreams[l[2]].abandoned
		}
		verb := "unload"
		if o.load {
			verb = "load"
		}
		end := map[uint8]string{stepExecuteResponseLost: "; the answer is lost", stepExecuteAbandoned: ", which was given up"}[l[0]]
		return fmt.Sprintf("engine %s gets the order of %s under epoch %d to %s %s%s", u, d, o.epoch, verb, modelNames[o.model], end)
	case stepAbandon:
		return fmt.Sprintf("%s gives up its order to %s", d, u)
	case stepCrash:
		return d + " crashes"
	case stepHostGone:
		return fmt.Sprintf("the host of %s is reported gone%s", d, later)
	case stepEngineRestart:
		return fmt.Sprintf("engine %s restarts", upstreamNames[l[1]])
	case stepTakeEffect:
		return fmt.Sprintf("the delayed append takes effect: %s", s.inFlight)
	}
	return fmt.Sprint(l)
}
