// Command model explores the core protocol exhaustively within small bounds.
//
// It searches the specifications in internal/check, each for the protocol
// itself, which must violate no property, and with deliberate faults, each of
// which must be caught. It prints states, steps, depth and the shortest
// counterexamples, and exits with status 1 if a search ends otherwise.
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
)

// done is a finished search.
type done struct {
	result search.Result
	took   time.Duration
}

func main() {
	short := flag.Bool("short", false, "run only the searches that the tests run")
	jobs := flag.Int("jobs", 3, "searches at once; each needs up to about 1 GB")
	limit := flag.Int("limit", 10_000_000, "states after which a search is stopped and counts as failed")
	flag.Parse()
	cases := slices.Concat(grants.Cases(), keys.Cases(), config.Cases())
	if *short {
		cases = slices.DeleteFunc(cases, func(c search.Case) bool { return !c.Short })
	}
	for _, p := range slices.Concat(grants.Properties(), keys.Properties(), config.Properties()) {
		fmt.Println("must never hold:", p)
	}
	began := time.Now()
	slots := make(chan struct{}, max(1, *jobs))
	results := make([]chan done, len(cases))
	for i, c := range cases {
		results[i] = make(chan done, 1)
		go func() {
			slots <- struct{}{}
			start := time.Now()
			r := c.Run(*limit)
			<-slots
			results[i] <- done{r, time.Since(start)}
		}()
	}
	failed := 0
	for i, c := range cases {
		d := <-results[i]
		title := c.Name
		if c.Fault != "" {
			title += ", fault " + c.Fault
		}
		fmt.Printf("%s: %d states, %d steps, depth %d, %.1f s\n", title, d.result.States, d.result.Steps, d.result.Depth, d.took.Seconds())
		if v := d.result.Violation; v != nil {
			v.Print(os.Stdout)
		}
		if why := c.Failure(d.result); why != "" {
			failed++
			fmt.Println("  FAILED:", why)
		}
	}
	fmt.Printf("%d searches, %d failed, %.0f s\n", len(cases), failed, time.Since(began).Seconds())
	if failed > 0 {
		os.Exit(1)
	}
}
