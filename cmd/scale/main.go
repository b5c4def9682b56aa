// Command scale measures what daemons spend on control at several sizes. It
// starts the daemons as processes and the platform and engines in its own
// process, all on loopback and idle, and prints for each size the traffic,
// processor time and memory of a daemon. docs/CAPACITY.md works with its
// figures.
//
//	scale -bin DIR [-sizes 4,8,16,32,64] [-seconds 20]
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/fleet"
	"github.com/azurespan/azurespan/standin/engine/engsv"
)

type (
	// sample is what a daemon's metrics say at one time.
	sample struct{ sent, received, cpu, memory float64 }

	// spent is the mean and the maximum over daemons.
	spent struct{ bytesMean, bytesMax, cpuMean, cpuMax, memoryMean, memoryMax float64 }
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
	seconds := flag.Int("seconds", 20, "time to measure at each size")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Println("daemons engines  control-B/s mean   max  cpu-% mean    max  rss-MB mean   max")
	for _, f := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(f)
		if err != nil || n < 1 || n > 128 {
			fmt.Fprintf(os.Stderr, "size %q is not a number from 1 to 128\n", f)
			os.Exit(2)
		}
		s, err := measure(ctx, *bin, n, time.Duration(*seconds)*time.Second)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("%7d %7d  %16.0f %5.0f  %10.3f %6.3f  %11.1f %5.1f\n", n, engines(n), s.bytesMean, s.bytesMax, s.cpuMean, s.cpuMax, s.memoryMean, s.memoryMax)
	}
}

func engines(n int) int { return int(float64(n) * enginesPerDaemon) }

// measure runs n daemons and returns what they spend.
func measure(ctx context.Context, bin string, n int, d time.Duration) (spent, error) {
	dir, err := os.MkdirTemp("", "azurespan-scale-")
	if err != nil {
		return spent{}, err
	}
	defer os.RemoveAll(dir)
	s := &fleet.Site{Fleet: fleet.New(bin, dir), Deployment: deployment(n)}
	defer s.StopAll()
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
	// Ownership settles and rebalances within about 25 s.
	if !sleep(ctx, 30*time.Second) {
		return spent{}, ctx.Err()
	}
	before, err := scrapeAll(s)
	if err != nil {
		return spent{}, err
	}
	if !sleep(ctx, d) {
		return spent{}, ctx.Err()
	}
	after, err := scrapeAll(s)
	if err != nil {
		return spent{}, err
	}
	return summarise(before, after, d), nil
}

func summarise(before, after []sample, d time.Duration) spent {
	var r spent
	for i := range after {
		b := (after[i].sent + after[i].received - before[i].sent - before[i].received) / d.Seconds()
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
	d := &declare.Deployment{Name: "scale", Services: []declare.Service{{Name: "chat", Kind: declare.ModelService}}}
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
		x, err := scrape("http://" + d.Line["admin"] + "/metrics")
		if err != nil {
			return nil, err
		}
		out = append(out, x)
	}
	return out, nil
}

// scrape reads a daemon's metrics.
func scrape(url string) (sample, error) {
	var s sample
	resp, err := http.Get(url)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	fields := map[string]*float64{
		"azurespan_control_sent_bytes_total": &s.sent, "azurespan_control_received_bytes_total": &s.received,
		"process_cpu_seconds_total": &s.cpu, "process_resident_memory_bytes": &s.memory,
	}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), " ")
		if to := fields[name]; to != nil {
			if *to, err = strconv.ParseFloat(value, 64); err != nil {
				return s, err
			}
		}
	}
	return s, sc.Err()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
