package alloc

import "slices"

type (
	// Table is the allocation of the offered load of models to engines. Both are numbered
	// from 0.
	Table struct {
		engines []engine
		models  []model
		// buffers that calls reuse.
		fill, without []share
		flows         []float64
	}

	engine struct {
		slots, load float64
	}

	model struct {
		offered float64
		// holders are the engines that hold the model, ascending, and flows the load that
		// each of them gets.
		holders []int
		flows   []float64
	}

	// share is what one engine gets of the load of a model.
	share struct {
		engine int
		// slots of the engine, and the load of other models there.
		slots, base float64
		flow        float64
	}
)

const (
	// freeShare is the share of an engine's slots up to which requests find a free one:
	// with twelve slots and random arrivals, one in fifty waits there.
	freeShare = 0.6
	// lateSlope is the part of the load between freeShare and all slots that isn't served in
	// time. At all slots, a fifth of the requests are late.
	lateSlope = 0.5
	// maxSweeps bounds the passes over all models of one Solve; a pass that moves less than
	// tolerance, in slots for each model, is the last one.
	maxSweeps = 12
	tolerance = 0.02
	// noSlots stands for the slots of an engine that has none, which divides load.
	noSlots = 1e-3
)

// New returns a Table without engines and models.
func New() *Table { return &Table{} }

// Resize sets the numbers of engines and models. If they change, all of them must be set
// again.
func (t *Table) Resize(engines, models int) {
	if len(t.engines) == engines && len(t.models) == models {
		return
	}
	t.engines, t.models = make([]engine, engines), make([]model, models)
}

// SetSlots sets the number of requests that an engine runs at a time.
func (t *Table) SetSlots(engine int, slots float64) { t.engines[engine].slots = max(slots, noSlots) }

// SetModel sets the offered load of a model and the engines that hold it, in ascending order.
// An engine keeps its share of the load until Solve.
func (t *Table) SetModel(m int, offered float64, holders []int) {
	x := &t.models[m]
	if !slices.Equal(x.holders, holders) {
		t.flows = t.flows[:0]
		for _, e := range holders {
			flow := 0.0
			if i, held := slices.BinarySearch(x.holders, e); held {
				flow = x.flows[i]
			}
			t.flows = append(t.flows, flow)
		}
		x.holders, x.flows = append(x.holders[:0], holders...), append(x.flows[:0], t.flows...)
	}
	x.offered = max(offered, 0)
}

// Solve allocates the offered load of all models.
func (t *Table) Solve() {
	for i := range t.engines {
		t.engines[i].load = 0
	}
	for i := range t.models {
		x := &t.models[i]
		sum := 0.0
		for _, f := range x.flows {
			sum += f
		}
		for j, e := range x.holders {
			if sum > 0 {
				x.flows[j] *= x.offered / sum
			} else {
				x.flows[j] = x.offered / float64(len(x.holders))
			}
			t.engines[e].load += x.flows[j]
		}
	}
	for range maxSweeps {
		moved := 0.0
		for m := range t.models {
			moved = max(moved, t.Settle(m))
		}
		if moved < tolerance {
			return
		}
	}
}

// Settle divides the load of one model evenly over its engines, with that of the others as it
// is, and returns how much has moved.
func (t *Table) Settle(m int) (moved float64) {
	x := &t.models[m]
	if len(x.holders) < 2 || x.offered == 0 {
		return 0
	}
	t.fill = t.shares(t.fill[:0], m, -1)
	divide(t.fill, x.offered)
	for i, s := range t.fill {
		moved += max(s.flow-x.flows[i], 0)
		t.engines[s.engine].load += s.flow - x.flows[i]
		x.flows[i] = s.flow
	}
	return moved
}

// AddHolder adds an engine to those that hold a model, and settles its load.
func (t *Table) AddHolder(m, e int) {
	x := &t.models[m]
	i, held := slices.BinarySearch(x.holders, e)
	if held {
		return
	}
	x.holders, x.flows = slices.Insert(x.holders, i, e), slices.Insert(x.flows, i, 0)
	if len(x.holders) == 1 {
		x.flows[0] = x.offered
		t.engines[e].load += x.offered
		return
	}
	t.Settle(m)
}

// RemoveHolder removes an engine from those that hold a model, and settles its load.
func (t *Table) RemoveHolder(m, e int) {
	x := &t.models[m]
	i, held := slices.BinarySearch(x.holders, e)
	if !held {
		return
	}
	t.engines[e].load -= x.flows[i]
	x.holders, x.flows = slices.Delete(x.holders, i, i+1), slices.Delete(x.flows, i, i+1)
	switch len(x.holders) {
	case 0:
	case 1:
		t.engines[x.holders[0]].load += x.offered - x.flows[0]
		x.flows[0] = x.offered
	default:
		t.Settle(m)
	}
}

// shares appends the engines that hold a model, without the one called except.
func (t *Table) shares(out []share, m, except int) []share {
	x := &t.models[m]
	for i, e := range x.holders {
		if e != except {
			out = append(out, share{engine: e, slots: t.engines[e].slots, base: max(t.engines[e].load-x.flows[i], 0)})
		}
	}
	return out
}

// divide divides a load such that all engines that get a part of it have the same load by
// slots, and no other one has less.
func divide(all []share, load float64) {
	// The level is found by leaving out engines above it: each round raises no other one.
	slots, sum := 0.0, load
	for _, s := range all {
		slots, sum = slots+s.slots, sum+s.base
	}
	level := sum / slots
	for {
		slots, sum = 0.0, load
		for _, s := range all {
			if s.base < level*s.slots {
				slots, sum = slots+s.slots, sum+s.base
			}
		}
		if slots == 0 || sum/slots >= level*(1-1e-9) {
			break
		}
		level = sum / slots
	}
	for i := range all {
		all[i].flow = max(level*all[i].slots-all[i].base, 0)
	}
}

// Load returns the load of an engine in slots, which may exceed those that it has.
func (t *Table) Load(e int) float64 { return t.engines[e].load }

// Free returns the part of an engine's slots that has no load.
func (t *Table) Free(e int) float64 { return max(t.engines[e].slots-t.engines[e].load, 0) }

// Contended reports whether an engine that holds a model has more load than finds a free slot,
// or none holds it.
func (t *Table) Contended(m int) bool {
	x := &t.models[m]
	return x.offered > 0 && (len(x.holders) == 0 || slices.ContainsFunc(x.holders, func(e int) bool { return t.engines[e].unserved() > 0 }))
}

// Offered returns the offered load of a model.
func (t *Table) Offered(m int) float64 { return t.models[m].offered }

// Unserved returns the part of a model's load that isn't served in time: all of it if no
// engine holds the model, otherwise its share of what its engines don't serve in time.
func (t *Table) Unserved(m int) float64 {
	x := &t.models[m]
	if len(x.holders) == 0 {
		return x.offered
	}
	sum := 0.0
	for i, e := range x.holders {
		if g := t.engines[e]; g.load > 0 {
			sum += x.flows[i] / g.load * g.unserved()
		}
	}
	return sum
}

// unserved returns the part of an engine's load that isn't served in time.
func (e engine) unserved() float64 { return unserved(e.load, e.slots) }

func unserved(load, slots float64) float64 {
	return max(load-slots, 0) + lateSlope*max(min(load, slots)-freeShare*slots, 0)
}

// Gain returns by how much less load wouldn't be served in time if an engine held a model in
// addition. It leaves the shares of other models as they are.
func (t *Table) Gain(m, e int) float64 {
	x := &t.models[m]
	if _, held := slices.BinarySearch(x.holders, e); held {
		return 0
	}
	g := t.engines[e]
	if len(x.holders) == 0 {
		return x.offered - (unserved(g.load+x.offered, g.slots) - g.unserved())
	}
	before := g.unserved()
	for _, h := range x.holders {
		before += t.engines[h].unserved()
	}
	t.fill = append(t.shares(t.fill[:0], m, -1), share{engine: e, slots: g.slots, base: g.load})
	return max(before-after(t.fill, x.offered), 0)
}

// Loss returns by how much more load wouldn't be served in time if an engine didn't hold a
// model, which is all of the model's load if no other one does.
func (t *Table) Loss(m, e int) float64 {
	x := &t.models[m]
	i, held := slices.BinarySearch(x.holders, e)
	if !held {
		return 0
	}
	g := t.engines[e]
	left := unserved(max(g.load-x.flows[i], 0), g.slots)
	if len(x.holders) == 1 {
		return max(x.offered-(g.unserved()-left), 0)
	}
	before := 0.0
	for _, h := range x.holders {
		before += t.engines[h].unserved()
	}
	t.without = t.shares(t.without[:0], m, e)
	return max(left+after(t.without, x.offered)-before, 0)
}

// after returns the load that engines don't serve in time once a load has been divided.
func after(all []share, load float64) (sum float64) {
	divide(all, load)
	for _, s := range all {
		sum += unserved(s.base+s.flow, s.slots)
	}
	return sum
}
