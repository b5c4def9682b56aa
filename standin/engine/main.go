// Command engine simulates a model engine. See package engsv.
package main

import (
	"flag"
	"log"
	"os"
	"strings"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/serve"
)

func main() {
	c := engsv.Config{Exit: func() { os.Exit(3) }}
	addr := flag.String("listen", "127.0.0.1:0", "IP number and port to listen on")
	disk := flag.String("disk", "", "checkpoints on disk at the start, as model@version separated by commas")
	flag.StringVar(&c.Name, "name", "engine", "name in reports")
	flag.Int64Var(&c.MemoryBytes, "memory-bytes", 80e9, "accelerator memory")
	flag.IntVar(&c.Sequences, "sequences", 8, "sequences decoded at once")
	flag.Float64Var(&c.TokensPerSecond, "tokens-per-second", 800, "token rate over all sequences")
	flag.BoolVar(&c.IgnoresFencing, "ignores-fencing", false, "accept orders with an old fencing number")
	flag.StringVar(&c.Store, "store", "", "base URL of the weight store; empty loads without one")
	flag.DurationVar(&c.RemoteLoad, "remote-load", 2*time.Second, "time of a remote load without a weight store")
	flag.DurationVar(&c.AdapterLoad, "adapter-load", 5*time.Millisecond, "time of an adapter load without a weight store")
	flag.DurationVar(&c.MemoryLoad, "memory-load", 100*time.Millisecond, "time of a load from memory")
	flag.DurationVar(&c.DiskLoad, "disk-load", 500*time.Millisecond, "time of a load from disk")
	flag.DurationVar(&c.ReportLag, "report-lag", 200*time.Millisecond, "age of the state that a report shows")
	flag.DurationVar(&c.CacheEventLag, "cache-lag", 500*time.Millisecond, "delay of cache events")
	flag.Uint64Var(&c.CacheEventDropInterval, "cache-gap", 10, "every how many cache events one is lost; 0 loses none")
	flag.StringVar(&c.Poison, "poison", "", "text in a prompt that crashes the engine")
	flag.Parse()
	if *disk != "" {
		c.InitialDisk = strings.Split(*disk, ",")
	}
	s, err := engsv.Start(*addr, c)
	if err != nil {
		log.Fatal(err)
	}
	serve.Main("engine", c.Name, s.Server)
}
