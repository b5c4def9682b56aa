// Command model checks the core protocol exhaustively within small bounds.
//
// It searches the specifications in internal/check: for the protocol itself, which
// must have no violation, and with deliberate faults, for each of which a violation
// must be found. It prints the number of states and steps, the depth and the
// shortest counterexamples. It exits with status 1 if a search has another result.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/check/config"
	"github.com/azurespan/azurespan/internal/check/grants"
	"github.com/azurespan/azurespan/internal/check/keys"
	"github.com/azurespan/azurespan/internal/check/search"
	"github.com/azurespan/azurespan/internal/check/tenure"
)

const (
	// defaultJobs is the number of concurrent searches. Each needs up to about
	// 1 GB.
	defaultJobs = 3
	// defaultMaxStates is the number of states after which a search is stopped.
	defaultMaxStates = 10_000_000
)

// outcome is the result of a search and the time that it took.
type outcome struct {
	result search.Result
	took   time.Duration
}

func main() {
	short := flag.Bool("short", false, "run only the searches that the tests run")
	jobs := flag.Int("jobs", defaultJobs, "searches at once; each needs up to about 1 GB")
	limit := flag.Int("limit", defaultMaxStates, "states after which a search is stopped and counts as failed")
	flag.Parse()
	cases := slices.Concat(grants.Cases(), keys.Cases(), config.Cases(), tenure.Cases())
	if *short {
		cases = slices.DeleteFunc(cases, func(c search.Case) bool { return !c.Short })
	}
	for _, p := range slices.Concat(grants.Properties(), keys.Properties(), config.Properties(), tenure.Properties()) {
		fmt.Println("must never hold:", p)
	}
	start := time.Now()
	slots := make(chan struct{}, max(1, *jobs))
	results := make([]chan outcome, len(cases))
	for i, c := range cases {
		results[i] = make(chan outcome, 1)
		go func() {
			slots <- struct{}{}
			searchStart := time.Now()
			r := c.Run(*limit)
			<-slots
			results[i] <- outcome{r, time.Since(searchStart)}
		}()
	}
	failed := 0
	for i, c := range cases {
		o := <-results[i]
		title := c.Name
		if c.Fault != "" {
			title += ", fault " + c.Fault
		}
		fmt.Printf("%s: %d states, %d steps, depth %d, %.1f s\n", title, o.result.States, o.result.Steps, o.result.Depth, o.took.Seconds())
		if v := o.result.Violation; v != nil {
			v.Print(os.Stdout)
		}
		if reason := c.Failure(o.result); reason != "" {
			failed++
			fmt.Println("  FAILED:", reason)
		}
	}
	fmt.Printf("%d searches, %d failed, %.0f s\n", len(cases), failed, time.Since(start).Seconds())
	if failed > 0 {
		os.Exit(1)
	}
}
