// Command faults runs the failure scenarios of package faults with real daemon
// processes on loopback. It prints a row for each scenario and exits with 1 if
// an invariant was violated or an expected answer did not come.
//
//	faults -bin DIR [-seed N] [-only NAME,NAME] [-parallel N] [-keep] [-list]
//
// DIR holds the built programs.
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

// limit bounds the whole run.
const limit = 5 * time.Minute

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	seed := flag.Uint64("seed", 1, "seed of all choices of the callers")
	only := flag.String("only", "", "names or parts of names of scenarios, separated by commas")
	parallel := flag.Int("parallel", 2, "scenarios at the same time")
	keep := flag.Bool("keep", false, "keep the folder with logs and settings")
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
			fmt.Printf("%s\n  covers: %s\n  must be answered: %s\n", s.Name, s.Covers, s.Must)
		}
		return
	}
	os.Exit(run(*bin, *seed, *parallel, *keep, chosen))
}

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
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "azurespan-faults-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	began := time.Now()
	fmt.Println(faults.Header)
	failed := 0
	ok := faults.Run(ctx, faults.Options{Bin: bin, Dir: dir, Seed: seed, Parallel: parallel}, chosen, func(r faults.Row) {
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
