package bench

import (
	"runtime"
	"sync"
)

// PolicyNames in the order of the table.
var PolicyNames = []string{"azurespan", "fixed-keep-alive", "all-loaded"}

// Run replays all traces with all policies and returns the results in the
// order of Sizes, Traces and PolicyNames. Equal seeds give equal results.
func Run(seed uint64, only func(deployment, trace, policy string) bool) []*Metrics {
	type task struct {
		f      *fleetSpec
		t      *Trace
		policy string
	}
	var tasks []task
	for _, size := range Sizes() {
		f := newFleet(size, seed)
		for _, t := range Traces(size, seed) {
			for _, p := range PolicyNames {
				if only == nil || only(size.Name, t.Name, p) {
					tasks = append(tasks, task{f, t, p})
				}
			}
		}
	}
	out := make([]*Metrics, len(tasks)) // each goroutine fills its own element
	var wg sync.WaitGroup
	places := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for i, k := range tasks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			places <- struct{}{}
			defer func() { <-places }()
			out[i] = replay(k.f, k.t, k.policy, seed)
		}()
	}
	wg.Wait()
	return out
}

func replay(f *fleetSpec, t *Trace, name string, seed uint64) *Metrics {
	w := newWorld(f, t)
	bound := w.clairvoyant()
	w.p = policies()[name](w, seed)
	m := w.run()
	m.Policy, m.IdleBound = name, bound
	m.finish(w.coldBound())
	return m
}
