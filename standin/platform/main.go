// Command platform simulates the log service, host list and weight store of the
// platform. See package platsv.
package main

import (
	"flag"
	"log"
	"time"

	"github.com/azurespan/azurespan/standin/platform/platsv"
	"github.com/azurespan/azurespan/standin/serve"
)

func main() {
	var c platsv.Config
	addr := flag.String("listen", "127.0.0.1:0", "IP number and port to listen on")
	flag.DurationVar(&c.Retention, "retain", 0, "time that log records are kept; 0 keeps all")
	flag.IntVar(&c.RetentionCount, "retain-count", 0, "log records kept per stream; 0 keeps all")
	flag.Float64Var(&c.AppendsPerSecond, "appends-per-second", 400, "append calls accepted a second")
	flag.DurationVar(&c.HostListLag, "host-lag", 2*time.Second, "time until a change shows in the host list")
	flag.Float64Var(&c.StoreLoadsPerSecond, "store-loads-per-second", 4, "weight loads started a second")
	flag.IntVar(&c.StoreConcurrency, "store-at-once", 4, "weight loads at full speed")
	flag.Float64Var(&c.StoreBytesPerSecond, "store-bytes-per-second", 10e9, "full speed of one weight load")
	flag.Parse()
	s, err := platsv.Start(*addr, c)
	if err != nil {
		log.Fatal(err)
	}
	serve.Main("platform", "", s.Server)
}
