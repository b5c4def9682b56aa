// Command scale measures what daemons spend on control at several sizes. It
// starts the daemons as processes and the platform and engines in its own
// process, all on loopback and idle, and prints for each size the traffic,
// processor time and memory of a daemon. docs/CAPACITY.md works with its
// figures.
//
//	scale -bin DIR [-sizes 4,8,16,32,64] [-seconds 20] [-rate 5.6]
//
// With -rate, callers send that many streamed requests a second to each daemon;
// the processor time then includes their answers.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/check/fleet"
	"github.com/azurespan/azurespan/standin/engine/engsv"
)

type (
	// sample is what a daemon's metrics say at one time.
	sample struct {
		bytes       map[string]float64 // control traffic by source
		cpu, memory float64
	}

	// spent is the mean and the maximum over daemons.
	spent struct {
		bytesMean, bytesMax, cpuMean, cpuMax, memoryMean, memoryMax float64
		sources                                                     map[string]float64
	}
)

const (
	// enginesPerDaemon and the following are the proportions of the target.
	enginesPerDaemon = 600.0 / 320
	modelsPerDaemon  = 260.0 / 320
	adaptersPerModel = 7
	domains          = 8
)

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	sizes := flag.String("sizes", "4,8,16,32,64", "numbers of daemons")
	rate := flag.Float64("rate", 0, "requests a second to each daemon")
	seconds := flag.Int("seconds", 20, "time to measure at each size")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Println("daemons engines  control-B/s mean   max    log  hosts engines  peers  cpu-% mean    max  rss-MB mean   max")
	for _, f := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(f)
		if err != nil || n < 1 || n > 128 {
			fmt.Fprintf(os.Stderr, "size %q is not a number from 1 to 128\n", f)
			os.Exit(2)
		}
		s, err := measure(ctx, *bin, n, time.Duration(*seconds)*time.Second, *rate)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("%7d %7d  %16.0f %5.0f  %5.0f  %5.0f   %5.0f  %5.0f  %10.3f %6.3f  %11.1f %5.1f\n", n, engines(n), s.bytesMean, s.bytesMax,
			s.sources["log"], s.sources["hosts"], s.sources["engines"], s.sources["peers"], s.cpuMean, s.cpuMax, s.memoryMean, s.memoryMax)
	}
}

func engines(n int) int { return int(float64(n) * enginesPerDaemon) }

// measure runs n daemons and returns what they spend.
func measure(ctx context.Context, bin string, n int, d time.Duration, rate float64) (spent, error) {
	dir, err := os.MkdirTemp("", "azurespan-scale-")
	if err != nil {
		return spent{}, err
	}
	defer os.RemoveAll(dir)
	s := &fleet.Site{Fleet: fleet.New(bin, dir), Deployment: deployment(n)}
	defer s.KillAll()
	for i := range s.Deployment.Upstreams {
		u := &s.Deployment.Upstreams[i]
		e, err := engsv.Start("", engsv.Config{Name: u.Name, MemoryBytes: u.MemoryBytes})
		if err != nil {
			return spent{}, err
		}
		defer e.Kill()
		u.Address = e.Address()
	}
	if err := s.StartPlatform(ctx); err != nil {
		return spent{}, err
	}
	for i := range n {
		if _, err := s.StartDaemon(ctx, fmt.Sprintf("entry-%d", i), s.Deployment.FailureDomains[i%domains]); err != nil {
			return spent{}, err
		}
	}
	if err := s.Publish(ctx, "scale"); err != nil {
		return spent{}, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	if rate > 0 {
		go drive(load, s, rate*float64(n))
	}
	// Ownership settles and rebalances within about 25 s.
	if !pause.For(ctx, 30*time.Second) {
		return spent{}, ctx.Err()
	}
	before, err := scrapeAll(s)
	if err != nil {
		return spent{}, err
	}
	if !pause.For(ctx, d) {
		return spent{}, ctx.Err()
	}
	after, err := scrapeAll(s)
	if err != nil {
		return spent{}, err
	}
	return summarise(before, after, d), nil
}

// drive sends requests to random daemons and models until ctx ends. Most go to
// a few models, as most models are idle.
func drive(ctx context.Context, s *fleet.Site, rate float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	c := &fleet.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	models := s.Deployment.Models
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m := models[int(float64(len(models))*math.Pow(rng.Float64(), 4))]
		d := s.Daemons[rng.IntN(len(s.Daemons))]
		q := fleet.Chat{Model: m.Name, Prompt: fmt.Sprint(rng.Uint64()), MaxTokens: 350, Deadline: time.Minute}
		go c.Stream(ctx, d, q, nil)
	}
}

func summarise(before, after []sample, d time.Duration) spent {
	r := spent{sources: map[string]float64{}}
	for i := range after {
		var b float64
		for source, n := range after[i].bytes {
			rate := (n - before[i].bytes[source]) / d.Seconds()
			r.sources[source] += rate / float64(len(after))
			b += rate
		}
		c := 100 * (after[i].cpu - before[i].cpu) / d.Seconds()
		m := after[i].memory / 1e6
		r.bytesMean += b / float64(len(after))
		r.cpuMean += c / float64(len(after))
		r.memoryMean += m / float64(len(after))
		r.bytesMax, r.cpuMax, r.memoryMax = max(r.bytesMax, b), max(r.cpuMax, c), max(r.memoryMax, m)
	}
	return r
}

// deployment returns a configuration in the proportions of the target.
func deployment(n int) *declare.Deployment {
	d := &declare.Deployment{Name: "scale", ColdStartWeight: 0.9, Services: []declare.Service{{Name: "chat", Kind: declare.ModelService}}}
	for i := range domains {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%d", i))
	}
	for i := range engines(n) {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: fmt.Sprintf("engine-%03d", i), Service: "chat", FailureDomain: d.FailureDomains[i%domains],
			MemoryBytes: 320 * declare.GiB, Accelerators: 4, Sequences: 64,
		})
	}
	for i := range max(int(float64(n)*modelsPerDaemon), 1) {
		m := declare.Model{
			Name: fmt.Sprintf("model-%03d", i), Services: []string{"chat"}, Version: "v1",
			Versions: []declare.Version{{Name: "v1", WeightBytes: 30 * declare.GiB}}, KVBytes: 10 * declare.GiB, AdapterSlots: 8, Replicas: 4,
		}
		d.Models = append(d.Models, m)
		for j := range adaptersPerModel {
			d.Adapters = append(d.Adapters, declare.Adapter{Name: fmt.Sprintf("adapter-%03d-%d", i, j), Model: m.Name, Bytes: 100 * declare.MiB})
		}
	}
	return d
}

func scrapeAll(s *fleet.Site) ([]sample, error) {
	var out []sample
	for _, d := range s.Daemons {
		x, err := scrape("http://" + d.Addresses["admin"] + "/metrics")
		if err != nil {
			return nil, err
		}
		out = append(out, x)
	}
	return out, nil
}

// scrape reads a daemon's metrics.
func scrape(url string) (sample, error) {
	s := sample{bytes: map[string]float64{}}
	resp, err := http.Get(url)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), " ")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue // a comment
		}
		switch {
		case strings.HasPrefix(name, "azurespan_control_"):
			source, _, _ := strings.Cut(name[strings.Index(name, `"`)+1:], `"`)
			s.bytes[source] += n
		case name == "process_cpu_seconds_total":
			s.cpu = n
		case name == "process_resident_memory_bytes":
			s.memory = n
		}
	}
	return s, sc.Err()
}
