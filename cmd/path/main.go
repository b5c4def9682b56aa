// Command path measures the overhead of a daemon in the path of a streamed
// response. It starts the simulated platform, a simulated engine and one daemon as
// processes on loopback, and sends the same traffic to the engine directly and
// through the daemon. Both alternate within one run, so that the ratios are
// meaningful on machines whose absolute times vary.
//
//	path -bin DIR [-pairs 100] [-rounds 4] [-seconds 4] [-steps 8] [-seed 1]
//
// It prints the ratios of the times to first token (for pairs of single requests
// and for open-loop traffic), the ratio of the token rates, the processor time per
// token at the load of one daemon in the target deployment, and the maximum token
// rate through the daemon. It exits with 1 if a response was wrong.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/fleet"
)

type (
	// options are the command-line flags.
	options struct {
		bin                  string
		pairs, rounds, steps int
		seconds              float64
		seed                 uint64
	}

	// testbed is a deployment of one engine and one daemon.
	testbed struct {
		options
		site   *fleet.Site
		daemon *fleet.Proc
	}
)

const (
	// runTimeout is the maximum duration of the program.
	runTimeout = 10 * time.Minute

	// Limits of flag values.
	maxPairs, maxRounds, maxSteps = 1000, 50, 12
	maxSeconds                    = 30
)

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder of the built programs")
	flag.IntVar(&o.pairs, "pairs", 100, "pairs of single requests, at most 1,000")
	flag.IntVar(&o.rounds, "rounds", 4, "rounds of open-loop traffic, at most 50")
	flag.IntVar(&o.steps, "steps", 8, "largest number of steps in which the load is raised")
	flag.Float64Var(&o.seconds, "seconds", 4, "time of each part of a round, at most 30 s")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the traffic")
	flag.Parse()
	if o.pairs < 1 || o.pairs > maxPairs || o.rounds < 1 || o.rounds > maxRounds || o.steps < 0 || o.steps > maxSteps || !(o.seconds > 0 && o.seconds <= maxSeconds) {
		fmt.Fprintln(os.Stderr, "a flag is out of range")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	err := run(ctx, o)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	var out report
	for _, part := range []struct {
		engine engineSize
		do     func(context.Context, *testbed, *report) error
	}{
		{engineSize{tokensPerSecond: latencyTokensPerSecond, sequences: latencySequences}, measureLatency},
		{engineSize{tokensPerSecond: shareTokensPerSecond, sequences: shareStreams}, measureShare},
		{engineSize{tokensPerSecond: saturationTokensPerSecond, sequences: maxStreams}, measureSaturation},
	} {
		if err := withDeployment(ctx, o, part.engine, func(b *testbed) error { return part.do(ctx, b, &out) }); err != nil {
			return err
		}
	}
	return json.NewEncoder(os.Stdout).Encode(out)
}

// engineSize is the capacity of the engine in one part of the measurement.
type engineSize struct {
	tokensPerSecond float64
	sequences       int
}

// withDeployment runs do on a new deployment and stops it afterwards.
func withDeployment(ctx context.Context, o options, e engineSize, do func(*testbed) error) error {
	dir, err := os.MkdirTemp("", "azurespan-path-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := &fleet.Site{Fleet: fleet.New(o.bin, dir), Deployment: deployment(e.sequences)}
	defer s.KillAll()
	s.EngineArgs = []string{"-tokens-per-second", fmt.Sprint(e.tokensPerSecond), "-sequences", fmt.Sprint(e.sequences), "-report-lag", "0"}
	if err := s.StartPlatform(ctx); err != nil {
		return err
	}
	if err := s.StartUpstreams(ctx); err != nil {
		return err
	}
	d, err := s.StartDaemon(ctx, "entry-1", s.Deployment.FailureDomains[0])
	if err != nil {
		return err
	}
	if err := s.Publish(ctx, "path"); err != nil {
		return err
	}
	b := &testbed{options: o, site: s, daemon: d}
	if err := b.warmUp(ctx); err != nil {
		return err
	}
	return do(b)
}

func deployment(sequences int) *declare.Deployment {
	return &declare.Deployment{
		Name: "path", FailureDomains: []string{"domain-1"},
		Services: []declare.Service{{Name: "chat", Kind: declare.ModelService}},
		Upstreams: []declare.Upstream{{
			Name: "engine-1", Service: "chat", FailureDomain: "domain-1",
			MemoryBytes: 80 * declare.GiB, Accelerators: 4, Sequences: sequences,
		}},
		Models: []declare.Model{{
			Name: model, Services: []string{"chat"}, Version: version, Replicas: 1, MinReplicas: 1,
			Versions: []declare.Version{{Name: version, WeightBytes: 30 * declare.GiB}}, KVBytes: 10 * declare.GiB,
		}},
	}
}

// warmUp sends requests through the daemon until one is complete, so that the
// model is loaded.
func (b *testbed) warmUp(ctx context.Context) error {
	c := &fleet.Caller{HTTP: &http.Client{}}
	for {
		a := c.Stream(ctx, b.daemon, fleet.Chat{Model: model, Prompt: "warm", MaxTokens: 8, Deadline: 30 * time.Second}, nil)
		if a.Done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the first request was not answered: %w; %+v", ctx.Err(), a.Problem)
		case <-time.After(200 * time.Millisecond):
		}
	}
}
