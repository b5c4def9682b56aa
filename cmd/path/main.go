// Command path measures what a daemon costs in the path of a streamed answer.
// It starts the platform's stand-in, a model engine's stand-in and one daemon
// as processes on loopback, and sends the same traffic to the engine directly
// and through the daemon, in turn within one run, so that the ratios hold on a
// machine whose absolute times vary.
//
//	path -bin DIR [-pairs 100] [-rounds 4] [-seconds 4] [-steps 8] [-seed 1]
//
// It prints the ratios of the first token times (pairs of single requests, and
// open-loop traffic), the ratio of the token rates, the processor time for a
// token at the share of one daemon, and the most tokens a second that the
// daemon carries. It exits with 1 if an answer was wrong.
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
	// options are the flags.
	options struct {
		bin                  string
		pairs, rounds, steps int
		seconds              float64
		seed                 uint64
	}

	// bench is a deployment of one engine and one daemon.
	bench struct {
		options
		site   *fleet.Site
		daemon *fleet.Proc
	}
)

// limit bounds the whole run.
const limit = 10 * time.Minute

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder of the built programs")
	flag.IntVar(&o.pairs, "pairs", 100, "pairs of single requests, at most 1,000")
	flag.IntVar(&o.rounds, "rounds", 4, "rounds of open-loop traffic, at most 50")
	flag.IntVar(&o.steps, "steps", 8, "largest number of steps in which the load is raised")
	flag.Float64Var(&o.seconds, "seconds", 4, "time of each part of a round, at most 30 s")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the traffic")
	flag.Parse()
	if o.pairs < 1 || o.pairs > 1000 || o.rounds < 1 || o.rounds > 50 || o.steps < 0 || o.steps > 12 || !(o.seconds > 0 && o.seconds <= 30) {
		fmt.Fprintln(os.Stderr, "a flag is out of range")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, limit)
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
		do     func(context.Context, *bench, *report) error
	}{
		{engineSize{tokensPerSecond: latencyRate, sequences: 64}, latency},
		{engineSize{tokensPerSecond: shareTokens, sequences: shareStreams}, share},
		{engineSize{tokensPerSecond: 400_000, sequences: 2048}, saturation},
	} {
		if err := with(ctx, o, part.engine, func(b *bench) error { return part.do(ctx, b, &out) }); err != nil {
			return err
		}
	}
	return json.NewEncoder(os.Stdout).Encode(out)
}

// engineSize describes the engine of a part.
type engineSize struct {
	tokensPerSecond float64
	sequences       int
}

// with runs do on a deployment of its own.
func with(ctx context.Context, o options, e engineSize, do func(*bench) error) error {
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
	b := &bench{options: o, site: s, daemon: d}
	if err := b.warm(ctx); err != nil {
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

// warm sends requests through the daemon until one is answered, which loads
// the model.
func (b *bench) warm(ctx context.Context) error {
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
