package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"time"

	"k8s.io/klog/v2"

	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/node/daemon"
)

// listening is the line on standard output that tells where a daemon listens,
// for settings with port 0.
type listening struct {
	Daemon string `json:"daemon"`
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	Admin  string `json:"admin"`
}

// serve runs a daemon until ctx ends and it has drained. The log goes to
// standard error.
func serve(ctx context.Context, out io.Writer, s *setup.Settings) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Parse([]string{"-logtostderr=true"}); err != nil {
		return err
	}
	defer klog.Flush()
	d, err := daemon.New(time.Now(), s)
	var listen *daemon.ListenError
	if errors.As(err, &listen) {
		// Without this, a network error counts as a service out of reach.
		return &refusedError{detail: err.Error()}
	}
	if err != nil {
		return err
	}
	a := d.Addresses()
	if err := json.NewEncoder(out).Encode(listening{Daemon: d.Name(), Caller: a.Caller, Peer: a.Peer, Admin: a.Admin}); err != nil {
		return err
	}
	return d.Run(ctx)
}
