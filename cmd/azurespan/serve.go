package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/node/daemon"
)

// listenAddresses is printed on standard output when a daemon listens, because
// the settings may leave the choice of a port to the system (port 0).
type listenAddresses struct {
	Daemon string `json:"daemon"`
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	Admin  string `json:"admin"`
}

// serve runs a daemon until ctx ends and the daemon has drained. The log goes to
// standard error.
func serve(ctx context.Context, out io.Writer, s *setup.Settings) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Parse([]string{"-logtostderr=true"}); err != nil {
		return err
	}
	defer klog.Flush()
	debug.SetMemoryLimit(softMemoryLimit(s.Limits.Memory))
	d, err := daemon.New(time.Now(), s)
	var listenErr *daemon.ListenError
	if errors.As(err, &listenErr) {
		// exitCode would report a network error as an unreachable service.
		return &refusedError{detail: err.Error()}
	}
	if err != nil {
		return err
	}
	a := d.Addresses()
	if err := json.NewEncoder(out).Encode(listenAddresses{Daemon: d.Name(), Caller: a.Caller, Peer: a.Peer, Admin: a.Admin}); err != nil {
		return err
	}
	return d.Run(ctx)
}
