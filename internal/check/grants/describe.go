package grants

import (
	"fmt"

	"github.com/azurespan/azurespan/internal/check/search"
)

// Describe returns a step in words.
func (m *Model) Describe(s State, l search.Label) string {
	d, u := fmt.Sprintf("daemon %d", l[1]), ""
	if int(l[2]) < ups {
		u = upNames[l[2]]
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
		return fmt.Sprintf("%s reads: %s", d, m.book.pages[m.book.after(s.hosts[l[1]].view, s.log)].entry)
	case stepTake:
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
	case stepExecute, stepExecuteLost, stepExecuteOld:
		o := s.hosts[l[1]].posts[l[2]].now
		if l[0] == stepExecuteOld {
			o = s.hosts[l[1]].posts[l[2]].old
		}
		verb := "unload"
		if o.load {
			verb = "load"
		}
		end := map[uint8]string{stepExecuteLost: "; the answer is lost", stepExecuteOld: ", which was given up"}[l[0]]
		return fmt.Sprintf("engine %s gets the order of %s under epoch %d to %s %s%s", u, d, o.epoch, verb, modelNames[o.model], end)
	case stepGiveUp:
		return fmt.Sprintf("%s gives up its order to %s", d, u)
	case stepCrash:
		return d + " crashes"
	case stepGone:
		return fmt.Sprintf("the host of %s is reported gone%s", d, later)
	case stepRestart:
		return fmt.Sprintf("engine %s restarts", upNames[l[1]])
	case stepLand:
		return fmt.Sprintf("the delayed append takes effect: %s", s.wire)
	}
	return fmt.Sprint(l)
}
