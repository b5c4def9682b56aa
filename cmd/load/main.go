// Command load sends seeded open-loop traffic to running daemons, or with -engine
// to engines in their own protocol. It prints the measurements as a table and as
// one line of JSON. It exits with status 1 if an answer was wrong or a
// connection broke, and with 2 if the flags are invalid.
//
//	load -target ADDRESS[,ADDRESS…] -model NAME[,NAME…] -rate R -seconds N
//	     -concurrency C -tokens T -class urgent|background -deadline D -seed S
//	     [-engine] [-check] [-prompt-bytes N] [-remote]
//
// A model is given as NAME. For -engine and -check it is given as
// MODEL@VERSION[+ADAPTER] or NAME=MODEL@VERSION[+ADAPTER].
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/load"
)

// Exit statuses.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() {
	var p load.Plan
	targets := flag.String("target", "", "addresses of daemons or engines, separated by commas")
	models := flag.String("model", "", "models, separated by commas")
	seconds := flag.Float64("seconds", 10, "time in which requests begin")
	class := flag.String("class", "urgent", "urgent or background")
	flag.Float64Var(&p.Rate, "rate", 10, "mean number of requests a second")
	flag.IntVar(&p.Requests, "requests", 100_000, "largest number of requests")
	flag.IntVar(&p.Concurrency, "concurrency", 64, "largest number of requests in progress")
	flag.IntVar(&p.Tokens, "tokens", 64, "tokens of each answer")
	flag.IntVar(&p.PromptBytes, "prompt-bytes", 200, "length of each prompt")
	flag.DurationVar(&p.Deadline, "deadline", 30*time.Second, "deadline of each request")
	flag.Uint64Var(&p.Seed, "seed", 1, "seed of arrival times and prompts")
	flag.BoolVar(&p.Engine, "engine", false, "the targets are engines")
	flag.BoolVar(&p.Check, "check", false, "compare each answer with the stand-in engine's text")
	flag.BoolVar(&p.Remote, "remote", false, "allow targets outside loopback")
	flag.Parse()
	p.Duration = time.Duration(*seconds * float64(time.Second))
	p.Class = declare.Class(*class)
	if *targets != "" {
		p.Targets = strings.Split(*targets, ",")
	}
	os.Exit(run(p, *models))
}

// run sends the traffic of p for the models, which are separated by commas, and
// returns the exit status.
func run(p load.Plan, models string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, m := range strings.FieldsFunc(models, func(r rune) bool { return r == ',' }) {
		model, err := load.ParseModel(m)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		p.Models = append(p.Models, model)
	}
	r, err := load.Run(ctx, p)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var pe *load.PlanError
		if errors.As(err, &pe) {
			return exitUsage
		}
		return exitFailed
	}
	if err := r.WriteTable(os.Stdout); err != nil {
		return exitFailed
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return exitFailed
	}
	if r.Failed() {
		return exitFailed
	}
	return exitOK
}
