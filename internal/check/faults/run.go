package faults

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/check/mixed"
	"github.com/azurespan/azurespan/internal/check/verify"
)

type (
	// Scenario is a sequence of injected faults under load.
	Scenario struct {
		Name string
		// Covers lists the invariants and the failures of the design document
		// that the scenario tests.
		Covers string
		// Requires describes which requests must be answered.
		Requires string
		Setup    Setup
		// Run injects the faults. An error is an expectation that was not met.
		Run func(env *Env) error
	}

	// Options configures Run.
	Options struct {
		// Bin is the directory of the built programs. Dir is the directory for
		// settings and logs.
		Bin, Dir string
		Seed     uint64
		// Parallel is the number of scenarios that run concurrently; default 1.
		Parallel int
	}

	// Result is the outcome of one scenario.
	Result struct {
		Scenario *Scenario
		// Faults describes the injected faults.
		Faults     []string
		Totals     mixed.Totals
		Violations []verify.Violation
		// Unmet describes the expectations that were not met, such as requests
		// that were not answered.
		Unmet []string
		Took  time.Duration
	}
)

// scenarioTimeout bounds one scenario, including start and shutdown.
const scenarioTimeout = 40 * time.Second

// Run runs scenarios and calls report with the result of each as it completes.
// Calls of report do not overlap. Run returns false if any scenario violated an
// invariant or did not meet an expectation.
func Run(ctx context.Context, o Options, list []Scenario, report func(Result)) bool {
	slots := make(chan struct{}, max(o.Parallel, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ok := true
	for i := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			result := runScenario(ctx, o, &list[i])
			mu.Lock()
			defer mu.Unlock()
			ok = ok && result.OK()
			report(result)
		})
	}
	wg.Wait()
	return ok
}

func runScenario(ctx context.Context, o Options, s *Scenario) Result {
	result := Result{Scenario: s}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	dir := filepath.Join(o.Dir, s.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		result.Unmet = append(result.Unmet, err.Error())
		return result
	}
	env, err := startEnv(ctx, o.Bin, dir, o.Seed, s.Setup)
	if err == nil {
		err = runRecovering(s, env)
	}
	if err != nil {
		result.Unmet = append(result.Unmet, err.Error())
	}
	if ctx.Err() != nil {
		result.Unmet = append(result.Unmet, fmt.Sprintf("the scenario did not end within %v", scenarioTimeout))
	}
	env.close()
	result.Unmet = append(result.Unmet, env.unmet...)
	result.Faults, result.Totals = env.notedFaults, env.driver.Totals()
	result.Violations = env.completeHistory().Check()
	result.Took = time.Since(began)
	return result
}

// runRecovering runs a scenario and returns a panic as an error, so that the
// processes of the scenario are stopped.
func runRecovering(s *Scenario, env *Env) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &unmetError{fmt.Sprintf("panic: %v\n%s", v, debug.Stack())}
		}
	}()
	return s.Run(env)
}

// OK reports whether the scenario violated no invariant and met all
// expectations.
func (r *Result) OK() bool { return len(r.Violations) == 0 && len(r.Unmet) == 0 }

// TableHeader is the header line of the table of results.
const TableHeader = "result scenario                    failures requests answered refused resumed violations   time"

// String returns the table line of the result, followed by a line for each
// violation and each unmet expectation.
func (r *Result) String() string {
	refused := 0
	for _, n := range r.Totals.Refused {
		refused += n
	}
	var b strings.Builder
	verdict := "ok"
	if !r.OK() {
		verdict = "FAIL"
	}
	fmt.Fprintf(&b, "%-6s %-27s %8d %8d %8d %7d %7d %10d %5.1fs", verdict, r.Scenario.Name, len(r.Faults), r.Totals.Requests,
		r.Totals.Answered, refused, r.Totals.Resumed, len(r.Violations), r.Took.Seconds())
	if refused > 0 {
		var kinds []string
		for _, k := range slices.Sorted(maps.Keys(r.Totals.Refused)) {
			kinds = append(kinds, fmt.Sprintf("%s %d", k, r.Totals.Refused[k]))
		}
		fmt.Fprintf(&b, "\n         refused: %s", strings.Join(kinds, ", "))
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "\n         violation of %s", v)
	}
	for _, text := range r.Unmet {
		fmt.Fprintf(&b, "\n         lack of progress: %s", text)
	}
	return b.String()
}
