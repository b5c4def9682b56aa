package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

type (
	// machine is what a daemon's settings say of its host.
	machine struct {
		name     string
		memoryMB int
		fds      int
		// first says that the whole system starts for the first time.
		first bool
	}

	// daemon is a process of the program of the deploy file.
	daemon struct {
		machine
		ip, callers, readiness string
		firstPort              int
		command                *exec.Cmd
		exited                 chan struct{}
		folder, program, store string
	}
)

const (
	// settingsText are the settings of a host of figtray-coop.
	settingsText = `nodeName=%s
role=entry
machineClass=frontend
serves=frontend
ip=%s
zone=yeongcheon
region=yeongnam
zones.yeongcheon=yeongnam
zones.gyeongsan=yeongnam
zones.cheongdo=yeongnam
listen.frontend=%s
listen.readiness=%s
internalPorts=%d,%d
bootstrap=%t
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%d
limits.maxFds=%d
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedStalenessS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.gracePeriodS=8
bounds.lossSlackMs=200
bounds.configDeadlineMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=52
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.requireFence=false
bounds.leaseTtlMs=3000
bounds.thawSlackMs=300
bounds.ceilingWindowS=5
bounds.ceilingOvershoot=1.1
platform.address=%s
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.partMbPerS=20.0
platform.readMbPerS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partitionMb=200
platform.minTtlMs=1000
`
	// ports is the number of ports for connections between daemons.
	ports = 4
	// readyWait is how long a daemon may take to become ready.
	readyWait = 15 * time.Second
	// pollInterval is the interval of checks.
	pollInterval = 20 * time.Millisecond
)

// newDaemon starts a daemon on a loopback address of its own.
func newDaemon(m machine, ip, folder, storeAddress string) (*daemon, error) {
	free, err := freePorts(ip, ports+2)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		machine: m, ip: ip, firstPort: free, folder: folder, store: storeAddress,
		callers: net.JoinHostPort(ip, strconv.Itoa(free+ports)), readiness: net.JoinHostPort(ip, strconv.Itoa(free+ports+1)),
		program: filepath.Join("target", "azurespan"),
	}
	return d, d.start(m.first)
}

// freePorts returns the first of so many successive free ports.
func freePorts(ip string, n int) (int, error) {
	for try := 0; try < 50; try++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		ok := first+n < 1<<16
		for p := first; ok && p < first+n; p++ {
			var l net.Listener
			if l, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p))); err != nil {
				ok = false
				continue
			}
			_ = l.Close()
		}
		if ok {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports at %s", n, ip)
}

// start starts the process.
func (d *daemon) start(first bool) error {
	path := filepath.Join(d.folder, d.name+".conf")
	text := fmt.Sprintf(settingsText, d.name, d.ip, d.callers, d.readiness, d.firstPort, d.firstPort+ports-1, first, d.memoryMB, d.fds, d.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(d.program, "entry")
	c.Env = []string{"AZURESPAN_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH")}
	c.Stdout, c.Stderr = out, out
	// If this process is ended, the daemon ends with it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(exited)
	}()
	d.command, d.exited = c, exited
	return nil
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady() error {
	until := time.Now().Add(readyWait)
	for time.Now().Before(until) {
		res, err := http.Get("http://" + d.readiness + "/-/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("daemon %s isn't ready after %v", d.name, readyWait)
}

// ended reports whether the process has ended.
func (d *daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// kill ends the process.
func (d *daemon) kill() {
	_ = d.command.Process.Kill()
	<-d.exited
}

// residentKB returns the resident memory of the process, and the most that it was.
func (d *daemon) residentKB() (now, most int) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		name, value, _ := strings.Cut(line, ":")
		n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		switch name {
		case "VmRSS":
			now = n
		case "VmHWM":
			most = n
		}
	}
	return now, most
}
