// Command load sends seeded open-loop traffic to running daemons, or with
// -engine to an engine in its own protocol, and prints what it measured as a
// table and as one line of JSON. It exits with 1 if an answer was wrong or
// broken, and with 2 if its flags are not allowed.
//
//	load -target ADDRESS[,ADDRESS…] -model NAME[,NAME…] -rate R -seconds N
//	     -concurrency C -tokens T -class urgent|background -deadline D -seed S
//	     [-engine] [-check] [-prompt-bytes N] [-remote]
//
// A model is given as NAME, or as MODEL@VERSION or NAME=MODEL@VERSION+ADAPTER
// for -engine and -check.
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

func run(p load.Plan, models string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, m := range strings.FieldsFunc(models, func(r rune) bool { return r == ',' }) {
		model, err := load.ParseModel(m)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		p.Models = append(p.Models, model)
	}
	r, err := load.Run(ctx, p)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var pe *load.PlanError
		if errors.As(err, &pe) {
			return 2
		}
		return 1
	}
	if err := r.WriteTable(os.Stdout); err != nil {
		return 1
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return 1
	}
	if r.Failed() {
		return 1
	}
	return 0
}
