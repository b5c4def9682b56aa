// Command faults runs the fault-injection scenarios of package faults with
// daemon processes on the loopback interface. It prints a table line for each
// scenario and exits with 1 if an invariant was violated or an expected answer
// was not received.
//
//	faults -bin DIR [-seed N] [-only NAME,NAME] [-parallel N] [-keep] [-list]
//
// DIR is the directory of the built programs.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/internal/check/faults"
)

// runTimeout bounds the run of all scenarios.
const runTimeout = 5 * time.Minute

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	seed := flag.Uint64("seed", 1, "seed of all random choices of the callers")
	only := flag.String("only", "", "names or parts of names of scenarios, separated by commas")
	parallel := flag.Int("parallel", 2, "number of scenarios that run concurrently")
	keep := flag.Bool("keep", false, "keep the directory with logs and settings")
	list := flag.Bool("list", false, "print the scenarios and what each requires")
	flag.Parse()
	var chosen []faults.Scenario
	for _, s := range faults.Scenarios() {
		if matches(s.Name, *only) {
			chosen = append(chosen, s)
		}
	}
	if *list {
		for _, s := range chosen {
			fmt.Printf("%s\n  covers: %s\n  must be answered: %s\n", s.Name, s.Covers, s.Requires)
		}
		return
	}
	os.Exit(run(*bin, *seed, *parallel, *keep, chosen))
}

// matches reports whether a name contains one of the comma-separated parts.
// Empty parts match every name.
func matches(name, only string) bool {
	if only == "" {
		return true
	}
	for _, part := range strings.Split(only, ",") {
		if strings.Contains(name, strings.TrimSpace(part)) {
			return true
		}
	}
	return false
}

func run(bin string, seed uint64, parallel int, keep bool, chosen []faults.Scenario) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "azurespan-faults-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	began := time.Now()
	fmt.Println(faults.TableHeader)
	failed := 0
	ok := faults.Run(ctx, faults.Options{Bin: bin, Dir: dir, Seed: seed, Parallel: parallel}, chosen, func(r faults.Result) {
		fmt.Println(r.String())
		if !r.OK() {
			failed++
		}
	})
	fmt.Printf("faults: %d scenarios, %d failed, seed %d, %.0f s\n", len(chosen), failed, seed, time.Since(began).Seconds())
	if !ok || keep {
		fmt.Printf("logs are in %s\n", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	if !ok || len(chosen) == 0 {
		return 1
	}
	return 0
}
