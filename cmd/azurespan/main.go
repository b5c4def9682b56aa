// Command azurespan runs a daemon, checks and publishes configurations, and shows
// operators the status and the decisions of daemons. docs/cli.md describes its
// commands and exit codes.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := run(ctx, os.Args[1:], environment{in: os.Stdin, out: os.Stdout, errOut: os.Stderr, now: time.Now, entropy: rand.Reader})
	stop()
	os.Exit(code)
}
