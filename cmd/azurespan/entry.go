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
	"github.com/azurespan/azurespan/internal/rule/issuer"
	"github.com/azurespan/azurespan/platform"
)

const (
	// eventLinesPerSecond limits the log lines of each event. It is above the
	// number of decisions per second on a host of the known deployments, so
	// that it only takes effect when an event is abnormally frequent.
	eventLinesPerSecond = 400
	// logCallTimeout bounds a call to the log. Its responses take 4 ms
	// according to the data sheets of the deployments, and 60 times as long
	// when it is slow.
	logCallTimeout = 800 * time.Millisecond
	// settingsPollInterval is the time between two checks of the settings
	// file, which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// bytesPerMB converts the memory limit of the settings.
	bytesPerMB = 1 << 20
	// bytesPerMbit converts the bandwidth of the settings.
	bytesPerMbit = 1e6 / 8
)

// serveEntry runs a daemon on an entry host of the users' platform until ctx
// ends and the daemon has drained.
func serveEntry(ctx context.Context, out io.Writer) error {
	// Until watchSettings handles it, a SIGHUP would end the process.
	signal.Ignore(syscall.SIGHUP)
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
	event.SetRateLimit(eventLinesPerSecond, time.Now)
	logged, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = lines.Run(logged) // returns only the context's error
	}()
	defer func() {
		klog.Flush()
		stopLog()
		<-written
	}()

	debug.SetMemoryLimit(softMemoryLimit(int64(s.MemoryLimitMB) * bytesPerMB))
	log := platform.NewLogClient(s.LogAddress, logCallTimeout)
	port := func(offset int) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+offset)) }
	set := entry.Settings{
		Host: s.Host, FailureDomain: s.FailureDomain,
		Callers: s.CallerAddress, Readiness: s.ReadinessAddress, Peers: port(0), Metrics: port(1), Forward: port(2),
		FirstStart: s.FirstStart, Grace: s.Bounds.GracePeriod, Drain: s.Bounds.DrainDeadline, ConfigDeadline: s.Bounds.ConfigDeadline, HolderPause: s.Bounds.HandoverDelay,
		RetryRatio: s.Bounds.RetryRatio, RetryWindow: s.Bounds.RetryWindow, RetrySlack: s.Bounds.RetrySlack,
		StoreWindow: s.Bounds.StoreLoadWindow,
		Processors:  s.Processors, LinkBytes: s.LinkMbit * bytesPerMbit,
		Memory: s.MemoryLimitMB * bytesPerMB, Descriptors: s.FileDescriptorLimit,
		Allowances: issuer.Settings{Window: s.Bounds.AllowanceWindow, Overshoot: s.Bounds.AllowanceOvershoot, Slack: s.Bounds.AllowanceSlack},
	}
	if s.Bounds.StrictRevoke {
		set.RevokeTime = s.Bounds.RevokeTime
	}
	event.EntryStarted.Log("settings", fmt.Sprintf("%+v", set), "log-address", s.LogAddress, "memory-mb", s.MemoryLimitMB)
	go watchSettings(ctx, path, s, log)
	return entry.New(set, entry.Platform{
		Configuration: log.ConfigTopic(), Upstreams: log.UpstreamTopic(), Holder: log.LeaseTopic(), Quarantine: log.QuarantineTopic(), Origins: log.OriginTopic(),
		Engines: platform.NewEngineClient(), Wire: platform.Codec{},
		DecodeConfig: platform.DecodeConfig, DecodeUpstream: platform.DecodeUpstream,
		ConfigKey: platform.ConfigKey, BootClock: clock.Boottime,
	}, time.Now).Run(ctx)
}

// watchSettings rereads the settings file on SIGHUP and when it has changed. Only
// the address of the log can change while a daemon runs.
func watchSettings(ctx context.Context, path string, s *platform.Settings, log *platform.LogClient) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// Not stopped: while the daemon drains, a SIGHUP would end the process.
	t := time.NewTicker(settingsPollInterval)
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
