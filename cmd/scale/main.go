// Command scale measures the control overhead of daemons in deployments of
// several sizes. It starts the daemons and the platform as processes and the
// engines within its own process, all on loopback and idle, and prints the control
// traffic, processor time and memory of a daemon for each size.
// docs/CAPACITY.md is based on its results.
//
//	scale -bin DIR [-sizes 4,8,16,32,64] [-seconds 20] [-rate 5.6]
//
// With -rate, callers send that number of streamed requests per second to each
// daemon. The processor time then includes the streaming of responses.
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
	// usage holds the metrics of a daemon at one time.
	usage struct {
		bytes       map[string]float64 // control traffic in bytes by source
		cpu, memory float64            // seconds, bytes
	}

	// usageSummary holds means and maxima over daemons: control traffic in bytes
	// per second, processor time in percent of a core, memory in MB.
	usageSummary struct {
		bytesMean, bytesMax, cpuMean, cpuMax, memoryMean, memoryMax float64
		sources                                                     map[string]float64
	}
)

const (
	// Proportions of the target deployment.
	enginesPerDaemon = 600.0 / 320
	modelsPerDaemon  = 260.0 / 320
	adaptersPerModel = 7
	domainCount      = 8

	// settleTime exceeds the 25 s within which ownership settles and rebalances.
	settleTime = 30 * time.Second

	maxDaemons     = 128
	responseTokens = 350

	// popularityExponent skews requests to the first models.
	popularityExponent = 4
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
		if err != nil || n < 1 || n > maxDaemons {
			fmt.Fprintf(os.Stderr, "size %q is not a number from 1 to 128\n", f)
			os.Exit(2)
		}
		s, err := measureSize(ctx, *bin, n, time.Duration(*seconds)*time.Second, *rate)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("%7d %7d  %16.0f %5.0f  %5.0f  %5.0f   %5.0f  %5.0f  %10.3f %6.3f  %11.1f %5.1f\n", n, engineCount(n), s.bytesMean, s.bytesMax,
			s.sources["log"], s.sources["hosts"], s.sources["engines"], s.sources["peers"], s.cpuMean, s.cpuMax, s.memoryMean, s.memoryMax)
	}
}

func engineCount(n int) int { return int(float64(n) * enginesPerDaemon) }

// measureSize runs n daemons and returns their resource usage over d.
func measureSize(ctx context.Context, bin string, n int, d time.Duration, rate float64) (usageSummary, error) {
	dir, err := os.MkdirTemp("", "azurespan-scale-")
	if err != nil {
		return usageSummary{}, err
	}
	defer os.RemoveAll(dir)
	s := &fleet.Site{Fleet: fleet.New(bin, dir), Deployment: deployment(n)}
	defer s.KillAll()
	for i := range s.Deployment.Upstreams {
		u := &s.Deployment.Upstreams[i]
		e, err := engsv.Start("", engsv.Config{Name: u.Name, MemoryBytes: u.MemoryBytes})
		if err != nil {
			return usageSummary{}, err
		}
		defer e.Kill()
		u.Address = e.Address()
	}
	if err := s.StartPlatform(ctx); err != nil {
		return usageSummary{}, err
	}
	for i := range n {
		if _, err := s.StartDaemon(ctx, fmt.Sprintf("entry-%d", i), s.Deployment.FailureDomains[i%domainCount]); err != nil {
			return usageSummary{}, err
		}
	}
	if err := s.Publish(ctx, "scale"); err != nil {
		return usageSummary{}, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	if rate > 0 {
		go sendRequests(load, s, rate*float64(n))
	}
	if !pause.For(ctx, settleTime) {
		return usageSummary{}, ctx.Err()
	}
	before, err := scrapeAll(s)
	if err != nil {
		return usageSummary{}, err
	}
	if !pause.For(ctx, d) {
		return usageSummary{}, ctx.Err()
	}
	after, err := scrapeAll(s)
	if err != nil {
		return usageSummary{}, err
	}
	return summarise(before, after, d), nil
}

// sendRequests sends requests to random daemons and models until ctx ends. A
// few models get most requests, as most models of the target are idle.
func sendRequests(ctx context.Context, s *fleet.Site, rate float64) {
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
		m := models[int(float64(len(models))*math.Pow(rng.Float64(), popularityExponent))]
		d := s.Daemons[rng.IntN(len(s.Daemons))]
		q := fleet.Chat{Model: m.Name, Prompt: fmt.Sprint(rng.Uint64()), MaxTokens: responseTokens, Deadline: time.Minute}
		go c.Stream(ctx, d, q, nil)
	}
}

// summarise returns the usage between two samples that are d apart.
func summarise(before, after []usage, d time.Duration) usageSummary {
	r := usageSummary{sources: map[string]float64{}}
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

// deployment returns a configuration for n daemons in the proportions of the
// target deployment.
func deployment(n int) *declare.Deployment {
	d := &declare.Deployment{Name: "scale", ColdStartWeight: 0.9, Services: []declare.Service{{Name: "chat", Kind: declare.ModelService}}}
	for i := range domainCount {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%d", i))
	}
	for i := range engineCount(n) {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: fmt.Sprintf("engine-%03d", i), Service: "chat", FailureDomain: d.FailureDomains[i%domainCount],
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

func scrapeAll(s *fleet.Site) ([]usage, error) {
	var out []usage
	for _, d := range s.Daemons {
		x, err := scrape("http://" + d.Addresses["admin"] + "/metrics")
		if err != nil {
			return nil, err
		}
		out = append(out, x)
	}
	return out, nil
}

// scrape fetches the metrics of a daemon.
func scrape(url string) (usage, error) {
	s := usage{bytes: map[string]float64{}}
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
