// Command service simulates a plain service. See package servsv.
package main

import (
	"flag"
	"log"
	"os"

	"github.com/azurespan/azurespan/standin/serve"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

func main() {
	c := servsv.Config{Exit: func() { os.Exit(3) }}
	addr := flag.String("listen", "127.0.0.1:0", "IP number and port to listen on")
	flag.StringVar(&c.Name, "name", "service", "name in answers and records")
	flag.DurationVar(&c.Latency, "latency", 0, "time before each run")
	flag.Parse()
	s, err := servsv.Start(*addr, c)
	if err != nil {
		log.Fatal(err)
	}
	serve.Main("service", c.Name, s.Server)
}
