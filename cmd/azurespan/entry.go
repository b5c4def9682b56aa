package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/azurespan/azurespan/internal/base/clock"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/sink"
	"github.com/azurespan/azurespan/internal/node/entry"
	"github.com/azurespan/azurespan/platform"
)

const (
	// logLines is the limit of lines a second for each event: above what a
	// host of the known deployments decides in a second, so that only storms
	// are cut.
	logLines = 400
	// memoryShare of the machine's limit is the runtime's soft limit.
	memoryShare = 0.75
	// logAnswer bounds a call to the log, whose answers take 4 ms by the
	// deployments' sheets and sixty times that when it is slow.
	logAnswer = 800 * time.Millisecond
	// watchSettings is the interval at which the settings file is looked at,
	// since it may change without a signal.
	watchSettings = 2 * time.Second
)

// serveEntry runs a daemon on an entry host of the users' platform until ctx
// ends and it has drained.
func serveEntry(ctx context.Context, out io.Writer) error {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return &refusedError{detail: err.Error()}
	}
	lines := sink.New(out, sink.DefaultLines)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL", "-one_output=true"}); err != nil {
		return err
	}
	klog.SetOutput(lines)
	event.SetRateLimit(logLines)
	logged, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = lines.Run(logged) // ends with the context's error only
	}()
	defer func() {
		klog.Flush()
		stopLog()
		<-written
	}()

	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitMB) * (1 << 20)))
	log := platform.NewLogClient(s.LogAddress, logAnswer)
	port := func(offset int) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+offset)) }
	set := entry.Settings{
		Host: s.Host, FailureDomain: s.FailureDomain,
		Callers: s.CallerAddress, Readiness: s.ReadinessAddress, Peers: port(0), Metrics: port(1),
		FirstStart: s.FirstStart, Grace: s.Bounds.GracePeriod, Drain: s.Bounds.DrainDeadline, ConfigDeadline: s.Bounds.ConfigDeadline, HolderPause: s.Bounds.HandoverDelay,
		RetryRatio: s.Bounds.RetryRatio, RetryWindow: s.Bounds.RetryWindow, RetrySlack: s.Bounds.RetrySlack,
		StoreWindow: s.Bounds.StoreLoadWindow,
	}
	event.EntryStarted.Log("settings", fmt.Sprintf("%+v", set), "log-address", s.LogAddress, "memory-mb", s.MemoryLimitMB)
	go watch(ctx, path, s, log)
	return entry.New(set, entry.Platform{
		Configuration: log.ConfigTopic(), Upstreams: log.UpstreamTopic(), Holder: log.LeaseTopic(),
		Engines: platform.NewEngineClient(), Wire: platform.Codec{},
		DecodeConfig: platform.DecodeConfig, DecodeUpstream: platform.DecodeUpstream,
		ConfigKey: platform.ConfigKey, BootClock: clock.Boottime,
	}, time.Now).Run(ctx)
}

// watch reads the settings file again on SIGHUP and when it has changed. Only
// the address of the log can change while a daemon runs.
func watch(ctx context.Context, path string, s *platform.Settings, log *platform.LogClient) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(watchSettings)
	defer t.Stop()
	var seen time.Time
	if fi, err := os.Stat(path); err == nil {
		seen = fi.ModTime()
	}
	for {
		reason := "changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			reason = "signal"
		case <-t.C:
			fi, err := os.Stat(path)
			if err != nil || fi.ModTime().Equal(seen) {
				continue
			}
			seen = fi.ModTime()
		}
		n, err := platform.ReadSettings(path)
		if err != nil {
			event.EntryReload.Log("reason", reason, "cause", err.Error(), "outcome", "kept the former settings")
			continue
		}
		event.EntryReload.Log("reason", reason, "log-address", n.LogAddress, "log-changed", n.LogAddress != s.LogAddress)
		log.SetAddress(n.LogAddress)
		s = n
	}
}
