// Command demo starts a complete deployment as processes on loopback and
// demonstrates the main functions of azurespan. It prints one line for each step,
// stops all processes that it started, and exits with 1 if a step failed.
//
//	demo -bin DIR
//
// DIR is the directory of the built programs.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/internal/check/fleet"
)

// demoTimeout is the maximum duration of the program.
const demoTimeout = 60 * time.Second

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	keep := flag.Bool("keep", false, "keep the folder with logs and settings")
	flag.Parse()
	os.Exit(run(*bin, *keep))
}

func run(bin string, keep bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "azurespan-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	d := &demo{
		bin: bin, began: time.Now(),
		site:   &fleet.Site{Fleet: fleet.New(bin, dir)},
		caller: &fleet.Caller{HTTP: &http.Client{}},
	}
	defer d.site.KillAll()
	for _, s := range d.steps() {
		startedAt := time.Now()
		checked, err := s.do(ctx)
		if err != nil {
			fmt.Printf("FAIL %-34s %6.2fs  %v\n", s.name, time.Since(startedAt).Seconds(), err)
			fmt.Printf("logs are in %s\n", dir)
			return 1
		}
		fmt.Printf("ok   %-34s %6.2fs  %s\n", s.name, time.Since(startedAt).Seconds(), checked)
	}
	fmt.Printf("demo: all steps passed in %.1f s\n", time.Since(d.began).Seconds())
	if !keep {
		_ = os.RemoveAll(dir)
	}
	return 0
}
