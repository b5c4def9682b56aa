package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/check/load"
)

type (
	// report is printed as JSON. Ratios are values through the daemon divided by
	// values for direct requests.
	report struct {
		PairP50  float64 `json:"pair-first-token-p50-ratio"`
		PairP95  float64 `json:"pair-first-token-p95-ratio"`
		OpenP50  float64 `json:"open-first-token-p50-ratio"`
		OpenP95  float64 `json:"open-first-token-p95-ratio"`
		OpenRate float64 `json:"open-token-rate-ratio"`
		// Share is the load of one daemon in the target deployment, with its
		// interval between tokens, so that each token is read and written
		// separately.
		Share loadStep `json:"share"`
		// Best is the step with the highest token rate through the daemon.
		Best loadStep `json:"saturation"`
		// BestDirect is the step with the highest token rate of direct requests.
		BestDirect loadStep `json:"saturation-direct"`
	}

	// loadStep holds the results for one request rate.
	loadStep struct {
		Rate           float64 `json:"requests-per-second"`
		Tokens         float64 `json:"tokens-per-second"`
		MicrosPerToken float64 `json:"processor-us-per-token"`
		Cores          float64 `json:"processor-cores"`
		FirstP95       float64 `json:"first-token-p95-ms"`
		HeldBack       int     `json:"held-back"`
		Unanswered     int     `json:"unanswered"`
	}
)

const (
	model   = "tray-8b"
	version = "v1"

	// latencyTokensPerSecond is the total token rate of the engine. With
	// latencyPromptBytes its prefill takes 200 ms: the simulated engine counts 40
	// bytes of an uncached prompt as one token of work.
	latencyTokensPerSecond = 3200
	latencyPromptBytes     = 200 * latencyTokensPerSecond * 40 / 1000
	latencySequences       = 64
	// answerTokens is the length of responses: at the target, 630,000 tokens and
	// 1,800 requests per second give 350 tokens per response.
	answerTokens = 350
	// shareTokensPerSecond and shareRequestsPerSecond are the load of one of 320
	// daemons at the peak of the target deployment.
	shareTokensPerSecond   = 630_000.0 / 320
	shareRequestsPerSecond = 1_800.0 / 320
	// shareStreams concurrent streams have 79 ms between tokens at
	// shareTokensPerSecond.
	shareStreams = 155
	// maxStreams is the maximum number of concurrent streams.
	maxStreams                = 2048
	saturationTokensPerSecond = 400_000
	// minGrowth is the ratio to the best token rate so far that a step must
	// exceed for another step to follow.
	minGrowth = 1.1
)

// plan returns a traffic plan for the daemon or, if direct is set, the engine.
func (b *testbed) plan(direct bool, seed uint64) load.Plan {
	p := load.Plan{
		Targets: []string{b.daemon.Addresses["caller"]}, Models: []load.Model{{Name: model, Base: model, Version: version}},
		Duration: time.Duration(b.seconds * float64(time.Second)), Concurrency: maxStreams, Tokens: answerTokens,
		Deadline: time.Minute, Seed: seed, Check: true, Rate: 1,
	}
	if direct {
		p.Targets, p.Engine, p.Salt = []string{b.site.Upstreams["engine-1"].Addresses["address"]}, true, 1
	}
	return p
}

// measureLatency compares the times to first token with a prefill of 200 ms.
func measureLatency(ctx context.Context, b *testbed, out *report) error {
	var pairs, open [2][]time.Duration
	var clients [2]*http.Client
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
	}
	for n := range b.pairs {
		for k := range 2 {
			// The order alternates because the first request may be slower.
			i := (n + k) % 2
			p := b.plan(i == 0, b.seed)
			p.PromptBytes, p.Tokens = latencyPromptBytes, 16
			d, err := load.RunOne(ctx, clients[i], p, n)
			if err != nil {
				return err
			}
			pairs[i] = append(pairs[i], d)
		}
	}
	var rates [2]float64
	for n := range b.rounds {
		for k := range 2 {
			i := (n + k) % 2
			p := b.plan(i == 0, b.seed+uint64(n))
			// At 2.5 requests per second, 80 tokens and a prefill worth 640
			// tokens use 1,800 of the engine's 3,200 tokens per second.
			p.PromptBytes, p.Tokens, p.Rate = latencyPromptBytes, 80, 2.5
			r, err := runPlan(ctx, p)
			if err != nil {
				return err
			}
			open[i] = append(open[i], r.FirstTokenTimes...)
			rates[i] += r.TokensPerSecond / float64(b.rounds)
		}
	}
	for i := range 2 {
		slices.Sort(pairs[i])
		slices.Sort(open[i])
	}
	out.PairP50, out.PairP95 = ratio(pairs, 0.5), ratio(pairs, 0.95)
	out.OpenP50, out.OpenP95 = ratio(open, 0.5), ratio(open, 0.95)
	out.OpenRate = rates[1] / rates[0]
	fmt.Println("first token, ms               direct  daemon   ratio")
	for _, x := range []struct {
		name  string
		times [2][]time.Duration
		q     float64
	}{
		{"single requests, p50", pairs, 0.5}, {"single requests, p95", pairs, 0.95},
		{"2.5 requests a second, p50", open, 0.5}, {"2.5 requests a second, p95", open, 0.95},
	} {
		fmt.Printf("%-28s %7.1f %7.1f  %6.3f   (%d and %d)\n", x.name, load.Quantile(x.times[0], x.q), load.Quantile(x.times[1], x.q),
			ratio(x.times, x.q), len(x.times[0]), len(x.times[1]))
	}
	fmt.Printf("%-28s %7.0f %7.0f  %6.3f\n", "tokens a second", rates[0], rates[1], out.OpenRate)
	return nil
}

func ratio(t [2][]time.Duration, q float64) float64 {
	return load.Quantile(t[1], q) / load.Quantile(t[0], q)
}

// runPlan runs p and fails if responses were wrong or incomplete.
func runPlan(ctx context.Context, p load.Plan) (*load.Result, error) {
	r, err := load.Run(ctx, p)
	if err != nil {
		return nil, err
	}
	if r.Failed() {
		return nil, fmt.Errorf("answers were wrong or broken: %v", r.Errors)
	}
	return r, nil
}

// measureShare sends the token rate of one daemon of the target deployment,
// directly and through the daemon, over a number of streams that gives the
// target's interval between tokens.
func measureShare(ctx context.Context, b *testbed, out *report) error {
	var tokens [2]float64
	for i := range 2 {
		before, err := b.cpuSeconds()
		if err != nil {
			return err
		}
		p := b.plan(i == 0, b.seed+50)
		// The streams start within 2 s and last about 8 s.
		p.Rate, p.Requests, p.Duration, p.Tokens = shareStreams/2, shareStreams, 10*time.Second, 100
		r, err := runPlan(ctx, p)
		if err != nil {
			return err
		}
		after, err := b.cpuSeconds()
		if err != nil {
			return err
		}
		tokens[i] = r.TokensPerSecond
		out.Share = newLoadStep(p.Rate, r, after-before)
		fmt.Printf("share, %-7s %3d streams: %6.0f tokens a second, gap p50 %.1f and p95 %.1f ms\n", [2]string{"direct", "daemon"}[i], r.Answered, r.TokensPerSecond, r.TokenGap.P50, r.TokenGap.P95)
	}
	fmt.Printf("share: ratio of the token rates %.3f, %.1f us of the daemon's processor time a token, %.3f cores\n", tokens[1]/tokens[0], out.Share.MicrosPerToken, out.Share.Cores)
	return nil
}

// measureSaturation doubles the request rate until the token rate through the
// daemon no longer exceeds the best one by the factor minGrowth. Each step is
// preceded by the same load on the engine directly.
func measureSaturation(ctx context.Context, b *testbed, out *report) error {
	fmt.Printf("share of one of 320 daemons: %.1f requests and %.0f tokens a second\n", shareRequestsPerSecond, shareTokensPerSecond)
	fmt.Println("requests/s   direct tokens/s  daemon tokens/s  ratio  daemon us/token  cores  p95 ms  held back  unanswered")
	rate := shareRequestsPerSecond
	for n := range b.steps {
		var steps [2]loadStep
		for i := range 2 {
			var err error
			if steps[i], err = b.measureStep(ctx, i == 0, rate, b.seed+100+uint64(n)); err != nil {
				return err
			}
		}
		d, e := steps[1], steps[0]
		fmt.Printf("%10.1f  %16.0f %16.0f  %5.3f  %15.1f  %5.2f  %6.1f  %9d  %10d\n", rate, e.Tokens, d.Tokens, d.Tokens/e.Tokens,
			d.MicrosPerToken, d.Cores, d.FirstP95, d.HeldBack, d.Unanswered)
		if e.Tokens > out.BestDirect.Tokens {
			out.BestDirect = e
		}
		grown := d.Tokens > minGrowth*out.Best.Tokens
		if d.Tokens > out.Best.Tokens {
			out.Best = d
		}
		if !grown {
			break
		}
		rate *= 2
	}
	return nil
}

// measureStep sends requests at the given rate and measures the processor time
// of the daemon.
func (b *testbed) measureStep(ctx context.Context, direct bool, rate float64, seed uint64) (loadStep, error) {
	before, err := b.cpuSeconds()
	if err != nil {
		return loadStep{}, err
	}
	p := b.plan(direct, seed)
	p.Rate = rate
	r, err := runPlan(ctx, p)
	if err != nil {
		return loadStep{}, err
	}
	after, err := b.cpuSeconds()
	return newLoadStep(rate, r, after-before), err
}

// newLoadStep returns the results of r, during which the daemon used cpu seconds
// of processor time.
func newLoadStep(rate float64, r *load.Result, cpu float64) loadStep {
	return loadStep{
		Rate: rate, Tokens: r.TokensPerSecond, FirstP95: r.FirstToken.P95, HeldBack: r.Skipped, Unanswered: r.Requests - r.Answered,
		MicrosPerToken: cpu * 1e6 / float64(max(r.Tokens, 1)), Cores: cpu / r.Seconds,
	}
}

// cpuSeconds returns the total processor time of the daemon.
func (b *testbed) cpuSeconds() (float64, error) {
	resp, err := http.Get("http://" + b.daemon.Addresses["admin"] + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if name, value, _ := strings.Cut(sc.Text(), " "); name == "process_cpu_seconds_total" {
			return strconv.ParseFloat(value, 64)
		}
	}
	if err := sc.Err(); err != nil {
		return 0, err
	}
	return 0, fmt.Errorf("the daemon's metrics have no process_cpu_seconds_total")
}
