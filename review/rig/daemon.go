package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// daemon is a daemon of the system on a machine of its own, that is, at an IP of its own.
// The platform starts it again when it has ended.
type daemon struct {
	name, ip, dir string
	// store is the address at which it reaches the store.
	store    string
	memoryMB int
	platform *platform

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  bool
	kills  int
	peakMB int
}

// platform starts the daemons of a deployment and kills those that exceed their memory.
type platform struct {
	root, temp, store string
	rec               *record
	network           string
	daemons           []*daemon
}

const (
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
	// restartDelay is the delay after which a process that has ended starts again.
	restartDelay = 500 * time.Millisecond
)

// newPlatform prepares a deployment whose machines have the IPs 127.x.y.1 and so on.
func newPlatform(root string, s *store, rec *record) (*platform, error) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &platform{root: root, temp: temp, store: s.address, rec: rec, network: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))}, nil
}

// add starts a daemon on a new machine.
func (p *platform) add(memoryMB int) (*daemon, error) { return p.addAt(memoryMB, p.store) }

// addAt is add for a machine that reaches the store at an address of its own.
func (p *platform) addAt(memoryMB int, store string) (*daemon, error) {
	n := len(p.daemons) + 1
	d := &daemon{name: fmt.Sprintf("frontend-z1-%d", n), ip: p.network + strconv.Itoa(n), memoryMB: memoryMB, store: store, platform: p}
	d.dir = filepath.Join(p.temp, d.name)
	if err := os.Mkdir(d.dir, 0o755); err != nil {
		return nil, err
	}
	p.daemons = append(p.daemons, d)
	if err := d.start(true); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *daemon) settings(bootstrap bool) string {
	return strings.NewReplacer("IP", d.ip, "NAME", d.name, "STORE", d.store, "MEMORY", strconv.Itoa(d.memoryMB), "NET", d.platform.network, "BOOTSTRAP", strconv.FormatBool(bootstrap)).Replace(`nodeName=NAME
role=entry
machineClass=frontend
serves=frontend
ip=IP
zone=z1
region=r1
zones.z1=r1
listen.frontend=IP:8149
listen.readiness=IP:8141
listen.control=IP:8144
internalPorts=7380,7395
seeds=NET1:8144
bootstrap=BOOTSTRAP
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=MEMORY
limits.maxFds=4200
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
platform.address=STORE
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
`)
}

// start starts the program of the deploy file and watches it.
func (d *daemon) start(bootstrap bool) error {
	file := filepath.Join(d.dir, "local.conf")
	if err := os.WriteFile(file, []byte(d.settings(bootstrap)), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/azurespan", "entry")
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.platform.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AZURESPAN_NODE_FILE=" + file}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd = cmd
	d.platform.rec.logf("platform: %s starts, process %d", d.name, cmd.Process.Pid)
	go d.watch(cmd)
	return nil
}

// watch waits for the end of the process, and starts it again.
func (d *daemon) watch(cmd *exec.Cmd) {
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case err := <-done:
			d.mu.Lock()
			ended := d.ended
			d.mu.Unlock()
			d.platform.rec.logf("platform: %s has ended: %v", d.name, err)
			if ended {
				return
			}
			time.Sleep(restartDelay)
			if err := d.start(false); err != nil {
				d.platform.rec.sayf("platform: %s does not start: %v", d.name, err)
			}
			return
		case <-t.C:
		}
		mb := memoryMB(cmd.Process.Pid)
		d.mu.Lock()
		d.peakMB = max(d.peakMB, mb)
		over := mb > d.memoryMB && d.memoryMB > 0 && !d.ended
		if over {
			d.kills++
		}
		d.mu.Unlock()
		if over {
			d.platform.rec.sayf("platform: %s takes %d MB of memory, its limit is %d MB: killed", d.name, mb, d.memoryMB)
			_ = cmd.Process.Kill()
			<-done
			done <- fmt.Errorf("killed for its memory")
			t.Reset(time.Hour)
		}
	}
}

// memoryMB returns the resident memory of a process that this program has started.
func memoryMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize() >> 20
}

// front is the address for clients.
func (d *daemon) front() string { return net.JoinHostPort(d.ip, strconv.Itoa(frontPort)) }

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/-/readyz", d.ip, readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (p *platform) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, d := range p.daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// end ends all daemons and removes the temporary folder.
func (p *platform) end() {
	for _, d := range p.daemons {
		d.mu.Lock()
		d.ended = true
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
		}
		d.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.temp)
	} else {
		fmt.Println("kept", p.temp)
	}
}
