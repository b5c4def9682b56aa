package verify

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
)

// step changes the number of replicas of a model.
type step struct {
	at    int64
	model string
	n     int
	who   string
}

// replicas checks I1: a replica counts from the start of its load until its
// unload, its failed load or the crash of its engine.
func (c *checker) replicas(h *History) {
	var steps []step
	for i := range h.Engines {
		steps = append(steps, stepsOf(&h.Engines[i])...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	loaded := map[string]int{}
	reported := map[string]bool{}
	for _, s := range steps {
		loaded[s.model] += s.n
		limit, ok := h.ReplicaLimits[s.model]
		if (!ok || loaded[s.model] > limit) && !reported[s.model] {
			reported[s.model] = true
			c.add("I1", "%d replicas of %s, limit %d, since a load on %s at %s", loaded[s.model], s.model, limit, s.who, clock(s.at))
		}
	}
}

func clock(us int64) string { return time.UnixMicro(us).UTC().Format("15:04:05.000") }

func stepsOf(e *Engine) []step {
	var out []step
	orders := map[string]string{}
	models := map[string]int{}
	for _, x := range e.Records.Entries {
		name := x.Model + "@" + x.Version
		switch x.Kind {
		case "load":
			orders[x.Order] = name
			models[name]++
			out = append(out, step{x.TimeUS, x.Model, 1, e.Name})
		case "unload", "order-refused":
			if x.Kind == "order-refused" && (x.Code != "store" || orders[x.Order] != name) {
				continue
			}
			if models[name] > 0 {
				models[name]--
				out = append(out, step{x.TimeUS, x.Model, -1, e.Name})
			}
		case "crash":
			for k, n := range models {
				if n > 0 {
					model := k[:len(k)-1-len(versionOf(k))]
					out = append(out, step{x.TimeUS, model, -n, e.Name})
				}
			}
			clear(models)
		}
	}
	return out
}

func versionOf(name string) string {
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == '@' {
			return name[i+1:]
		}
	}
	return ""
}

// memory checks I2: no engine's peak is above its memory, and no engine had to
// refuse an order for lack of memory, because the grants count it before.
func (c *checker) memory(h *History) {
	for i := range h.Engines {
		e := &h.Engines[i]
		if e.Records.PeakBytes > e.MemoryBytes {
			c.add("I2", "%s used %d of %d bytes", e.Name, e.Records.PeakBytes, e.MemoryBytes)
		}
		for _, x := range e.Records.Entries {
			if x.Kind == "order-refused" && x.Code == "memory" {
				c.add("I2", "%s refused order %s for %s at %s for lack of memory", e.Name, x.Order, x.Model, clock(x.TimeUS))
			}
		}
	}
}

// leaving checks I7.
func (c *checker) leaving(h *History) {
	for name, at := range h.LeavingSince {
		late := at.Add(LeavingGrace).UnixMicro()
		n, first := 0, int64(0)
		note := func(us int64) {
			if us > late {
				if n++; n == 1 {
					first = us
				}
			}
		}
		for i := range h.Engines {
			if e := &h.Engines[i]; e.Name == name {
				for _, x := range e.Records.Entries {
					if isWork(x) {
						note(x.TimeUS)
					}
				}
			}
		}
		for i := range h.Services {
			if s := &h.Services[i]; s.Name == name {
				for _, x := range s.Entries {
					if x.Kind == "run" || x.Kind == "refused" {
						note(x.TimeUS)
					}
				}
			}
		}
		if n > 0 {
			c.add("I7", "%s got work %d times later than %v after it began to leave at %s, first at %s", name, n, LeavingGrace, clock(at.UnixMicro()), clock(first))
		}
	}
}

// isWork reports whether an entry shows that the engine was sent new work,
// which it may have refused.
func isWork(x engsv.Entry) bool {
	return x.Kind == "run" || x.Kind == "load" || x.Kind == "leaving-refused"
}
