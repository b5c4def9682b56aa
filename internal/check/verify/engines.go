package verify

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
)

// replicaChange is a change of the number of loaded replicas of a model by delta.
type replicaChange struct {
	timeUS int64
	model  string
	delta  int
	engine string
}

// checkReplicas checks I1: no model has more loaded replicas than its limit. A
// replica counts from the start of its load until it is unloaded, the load fails,
// or its engine crashes.
func (c *checker) checkReplicas(h *History) {
	var changes []replicaChange
	for i := range h.Engines {
		changes = append(changes, replicaChanges(&h.Engines[i])...)
	}
	slices.SortStableFunc(changes, func(a, b replicaChange) int { return int(a.timeUS - b.timeUS) })
	loaded := map[string]int{}
	reported := map[string]bool{}
	for _, change := range changes {
		loaded[change.model] += change.delta
		limit, ok := h.ReplicaLimits[change.model]
		if (!ok || loaded[change.model] > limit) && !reported[change.model] {
			reported[change.model] = true
			c.add("I1", "%d replicas of %s loaded, limit %d, since a load on %s at %s", loaded[change.model], change.model, limit, change.engine, formatTime(change.timeUS))
		}
	}
}

// formatTime returns the UTC time of day of a Unix time in microseconds.
func formatTime(us int64) string { return time.UnixMicro(us).UTC().Format("15:04:05.000") }

// replicaChanges returns the changes that the records of e show.
func replicaChanges(e *Engine) []replicaChange {
	var out []replicaChange
	orders := map[string]string{}
	models := map[string]int{}
	for _, x := range e.Records.Entries {
		name := x.Model + "@" + x.Version
		switch x.Kind {
		case "load":
			orders[x.Order] = name
			models[name]++
			out = append(out, replicaChange{x.TimeUS, x.Model, 1, e.Name})
		case "unload", "order-refused":
			if x.Kind == "order-refused" && (x.Code != "store" || orders[x.Order] != name) {
				continue
			}
			if models[name] > 0 {
				models[name]--
				out = append(out, replicaChange{x.TimeUS, x.Model, -1, e.Name})
			}
		case "crash":
			for k, n := range models {
				if n > 0 {
					model := k[:len(k)-1-len(versionOf(k))]
					out = append(out, replicaChange{x.TimeUS, model, -n, e.Name})
				}
			}
			clear(models)
		}
	}
	return out
}

// versionOf returns the part of a name MODEL@VERSION after the last @.
func versionOf(name string) string {
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == '@' {
			return name[i+1:]
		}
	}
	return ""
}

// checkMemory checks I2: the peak use of an engine does not exceed its memory, and
// no engine refused an order for lack of memory, because a grant reserves the
// memory before the order is sent.
func (c *checker) checkMemory(h *History) {
	for i := range h.Engines {
		e := &h.Engines[i]
		if e.Records.PeakBytes > e.MemoryBytes {
			c.add("I2", "%s used %d of %d bytes", e.Name, e.Records.PeakBytes, e.MemoryBytes)
		}
		for _, x := range e.Records.Entries {
			if x.Kind == "order-refused" && x.Code == "memory" {
				c.add("I2", "%s refused order %s for %s at %s for lack of memory", e.Name, x.Order, x.Model, formatTime(x.TimeUS))
			}
		}
	}
}

// checkLeaving checks I7: an upstream gets no new work later than LeavingGrace
// after it began to leave.
func (c *checker) checkLeaving(h *History) {
	for name, at := range h.LeavingSince {
		limitUS := at.Add(LeavingGrace).UnixMicro()
		late, firstUS := 0, int64(0)
		count := func(us int64) {
			if us > limitUS {
				if late++; late == 1 {
					firstUS = us
				}
			}
		}
		for i := range h.Engines {
			if e := &h.Engines[i]; e.Name == name {
				for _, x := range e.Records.Entries {
					if isWork(x) {
						count(x.TimeUS)
					}
				}
			}
		}
		for i := range h.Services {
			if s := &h.Services[i]; s.Name == name {
				for _, x := range s.Entries {
					if x.Kind == "run" || x.Kind == "refused" {
						count(x.TimeUS)
					}
				}
			}
		}
		if late > 0 {
			c.add("I7", "%s got work %d times later than %v after it began to leave at %s, first at %s", name, late, LeavingGrace, formatTime(at.UnixMicro()), formatTime(firstUS))
		}
	}
}

// isWork reports whether x records that the engine was sent new work. It may have
// refused it.
func isWork(x engsv.Entry) bool {
	return x.Kind == "run" || x.Kind == "load" || x.Kind == "leaving-refused"
}
