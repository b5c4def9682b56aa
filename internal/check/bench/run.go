package bench

import (
	"runtime"
	"sync"
)

// PolicyNames holds the names of the compared policies in the order of the table.
var PolicyNames = []string{"azurespan", "fixed-keep-alive", "all-loaded"}

// Run replays the traces of all deployments with all policies and returns the
// results in the order of Deployments, Traces and PolicyNames. If selected is not
// nil, only the runs for which it returns true are replayed. Equal seeds give
// equal results.
func Run(seed uint64, selected func(deployment, trace, policy string) bool) []*Metrics {
	type task struct {
		fleet  *fleetSpec
		trace  *Trace
		policy string
	}
	var tasks []task
	for _, deployment := range Deployments() {
		f := newFleet(deployment, seed)
		for _, t := range Traces(deployment, seed) {
			for _, p := range PolicyNames {
				if selected == nil || selected(deployment.Name, t.Name, p) {
					tasks = append(tasks, task{f, t, p})
				}
			}
		}
	}
	out := make([]*Metrics, len(tasks)) // each goroutine fills its own element
	var wg sync.WaitGroup
	// Uses half of the processors.
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for i, k := range tasks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = replay(k.fleet, k.trace, k.policy, seed)
		}()
	}
	wg.Wait()
	return out
}

// replay replays a trace with the named policy.
func replay(f *fleetSpec, t *Trace, name string, seed uint64) *Metrics {
	w := newWorld(f, t)
	bound := w.clairvoyantIdleHours()
	w.policy = policyConstructors()[name](w, seed)
	m := w.run()
	m.Policy, m.IdleBound = name, bound
	m.computePercentiles(w.coldBound())
	return m
}
