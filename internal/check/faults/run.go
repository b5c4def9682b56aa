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
	// Scenario is one sequence of failures.
	Scenario struct {
		Name string
		// Covers lists the invariants and the failures of the design page
		// that the scenario is about.
		Covers string
		// Must states which requests have to be answered.
		Must   string
		Tuning Tuning
		// Run induces the failures. An error is a lack of progress.
		Run func(w *World) error
	}

	// Options of Run.
	Options struct {
		// Bin is the folder of the built programs, Dir that of logs.
		Bin, Dir string
		Seed     uint64
		// Parallel is the number of scenarios at the same time; default 1.
		Parallel int
	}

	// Row is the outcome of one scenario.
	Row struct {
		Scenario   *Scenario
		Induced    []string
		Count      mixed.Count
		Violations []verify.Violation
		// Lacks are expected answers that did not come.
		Lacks []string
		Took  time.Duration
	}
)

// limit bounds one scenario, start and end included.
const limit = 40 * time.Second

// Run runs scenarios and calls report with each row as it is complete. It
// returns false if any has a violation or lacks progress.
func Run(ctx context.Context, o Options, list []Scenario, report func(Row)) bool {
	slots := make(chan struct{}, max(o.Parallel, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ok := true
	for i := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			row := one(ctx, o, &list[i])
			mu.Lock()
			defer mu.Unlock()
			ok = ok && row.OK()
			report(row)
		})
	}
	wg.Wait()
	return ok
}

func one(ctx context.Context, o Options, s *Scenario) Row {
	row := Row{Scenario: s}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dir := filepath.Join(o.Dir, s.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		row.Lacks = append(row.Lacks, err.Error())
		return row
	}
	w, err := start(ctx, o.Bin, dir, o.Seed, s.Tuning)
	if err == nil {
		err = guarded(s, w)
	}
	if err != nil {
		row.Lacks = append(row.Lacks, err.Error())
	}
	if ctx.Err() != nil {
		row.Lacks = append(row.Lacks, fmt.Sprintf("the scenario did not end within %v", limit))
	}
	w.close()
	row.Lacks = append(row.Lacks, w.lacks...)
	row.Induced, row.Count = w.induced, w.driver.Count()
	row.Violations = w.collect().Check()
	row.Took = time.Since(began)
	return row
}

// guarded runs a scenario and returns its panic as an error, so that its
// processes are ended.
func guarded(s *Scenario, w *World) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &lack{fmt.Sprintf("panic: %v\n%s", v, debug.Stack())}
		}
	}()
	return s.Run(w)
}

// OK reports whether the row has neither violations nor lacks.
func (r *Row) OK() bool { return len(r.Violations) == 0 && len(r.Lacks) == 0 }

// Header is the head of the table of rows.
const Header = "result scenario                    failures requests answered refused resumed violations   time"

// String returns the line of the table and a line for each finding.
func (r *Row) String() string {
	refused := 0
	for _, n := range r.Count.Refused {
		refused += n
	}
	var b strings.Builder
	result := "ok"
	if !r.OK() {
		result = "FAIL"
	}
	fmt.Fprintf(&b, "%-6s %-27s %8d %8d %8d %7d %7d %10d %5.1fs", result, r.Scenario.Name, len(r.Induced), r.Count.Requests,
		r.Count.Answered, refused, r.Count.Resumed, len(r.Violations), r.Took.Seconds())
	if refused > 0 {
		var kinds []string
		for _, k := range slices.Sorted(maps.Keys(r.Count.Refused)) {
			kinds = append(kinds, fmt.Sprintf("%s %d", k, r.Count.Refused[k]))
		}
		fmt.Fprintf(&b, "\n         refused: %s", strings.Join(kinds, ", "))
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "\n         violation of %s", v)
	}
	for _, l := range r.Lacks {
		fmt.Fprintf(&b, "\n         lack of progress: %s", l)
	}
	return b.String()
}
