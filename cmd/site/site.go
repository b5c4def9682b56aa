package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/fleet"
)

type (
	// site is a running example deployment.
	site struct {
		*fleet.Site
		bin, dir, example string
		basePort          int
		relays            []*relay
	}

	// readyError reports daemons that did not become ready.
	readyError struct{ daemon string }
)

const (
	// daemonCount is the number of daemons, which are assigned to failure domains
	// round-robin. Settings of one spare host are written as well.
	daemonCount = 4

	// Port offsets from site.basePort.
	callerPortOffset, peerPortOffset, adminPortOffset, platformPortOffset, relayPortOffset = 80, 180, 280, 300, 310

	// readyTimeout is the maximum time from the publication until all daemons are
	// ready.
	readyTimeout = 20 * time.Second
	// watchInterval is the time between checks of the files that cut off failure
	// domains, and between readiness checks.
	watchInterval = 200 * time.Millisecond
)

func (e *readyError) Error() string { return e.daemon + " did not become ready; see its log" }

// address returns the loopback address with the given port offset.
func (s *site) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.basePort+offset) }

// start starts the platform, the upstreams and the daemons, publishes the
// configuration and waits until all daemons are ready.
func (s *site) start(ctx context.Context) error {
	out, err := exec.CommandContext(ctx, filepath.Join(s.bin, s.example)).Output()
	if err != nil {
		return err
	}
	if s.Deployment, err = declare.Decode(out); err != nil {
		return err
	}
	if err := s.writeFile("config.json", out); err != nil {
		return err
	}
	if err := s.writeFile("secret", []byte(fleet.Secret+"\n")); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(s.dir, "cut"), 0o755); err != nil {
		return err
	}
	if s.Platform, err = s.launch(ctx, "platform", "platform", "-listen", s.address(platformPortOffset), "-host-lag", "500ms"); err != nil {
		return err
	}
	if err := s.startUpstreams(ctx); err != nil {
		return err
	}
	for i, domain := range s.Deployment.FailureDomains {
		r, err := startRelay(s.address(relayPortOffset+i), s.address(platformPortOffset), filepath.Join(s.dir, "cut", domain))
		if err != nil {
			return err
		}
		s.relays = append(s.relays, r)
	}
	for i := range daemonCount + 1 {
		if err := s.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	if err := s.Publish(ctx, "site"); err != nil {
		return err
	}
	return s.waitReady(ctx)
}

func (s *site) startUpstreams(ctx context.Context) error {
	model := map[string]bool{}
	for _, v := range s.Deployment.Services {
		model[v.Name] = v.Kind == declare.ModelService
	}
	for _, u := range s.Deployment.Upstreams {
		program, args := "service", []string{"-listen", u.Address, "-name", u.Name}
		if model[u.Service] {
			program = "engine"
			args = append(args, "-memory-bytes", strconv.FormatInt(u.MemoryBytes, 10), "-sequences", strconv.Itoa(u.Sequences),
				"-store", s.URL(), "-ignores-fencing="+strconv.FormatBool(u.IgnoresFencing), "-poison", "crash-the-engine")
		}
		if _, err := s.launch(ctx, u.Name, program, args...); err != nil {
			return err
		}
	}
	fmt.Printf("%d upstreams at %s to %s\n", len(s.Deployment.Upstreams), s.Deployment.Upstreams[0].Address, s.Deployment.Upstreams[len(s.Deployment.Upstreams)-1].Address)
	return nil
}

// startDaemon writes the settings of entry host i and starts its daemon, except
// on the spare host.
func (s *site) startDaemon(ctx context.Context, i int) error {
	domains := s.Deployment.FailureDomains
	// The spare host replaces the last one, in the same failure domain.
	name, domain := fmt.Sprintf("entry-%d", i+1), domains[min(i, daemonCount-1)%len(domains)]
	var peers []string
	for j := range daemonCount + 1 {
		peers = append(peers, s.address(peerPortOffset+j))
	}
	platform := s.address(relayPortOffset + slices.Index(domains, domain))
	text := fmt.Sprintf(`[daemon]
name = %s
failure-domain = %s
caller-address = %s
peer-address = %s
admin-address = %s
[peers]
addresses = %s
[platform]
log-address = %s
hosts-address = %s
[secret]
shared-secret-file = secret
`, name, domain, s.address(callerPortOffset+i), s.address(peerPortOffset+i), s.address(adminPortOffset+i), strings.Join(peers, ", "), platform, platform)
	if err := s.writeFile(name+".ini", []byte(text)); err != nil {
		return err
	}
	args := []string{"serve", "--settings", filepath.Join(s.dir, name+".ini")}
	if i == daemonCount {
		return s.writeScript(name, "azurespan", args)
	}
	p, err := s.launch(ctx, name, "azurespan", args...)
	if err != nil {
		return err
	}
	s.Daemons = append(s.Daemons, p)
	fmt.Printf("%s in %-12s callers %s, peers %s, operators %s\n", name, domain, p.Addresses["caller"], p.Addresses["peer"], p.Addresses["admin"])
	return s.SetHost(name, p.Addresses["peer"], domain, "live")
}

// launch starts a program and writes its process identifier and a script that
// restarts it.
func (s *site) launch(ctx context.Context, name, program string, args ...string) (*fleet.Proc, error) {
	// Programs append to their log, which must not start with that of a previous
	// run.
	if err := os.Remove(filepath.Join(s.dir, name+".log")); err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	p, err := s.Start(ctx, name, program, args...)
	if err != nil {
		return nil, err
	}
	if err := s.writeFile(name+".pid", []byte(strconv.Itoa(p.Pid())+"\n")); err != nil {
		return nil, err
	}
	return p, s.writeScript(name, program, args)
}

// writeScript writes a shell script that replaces itself by the program, updates
// the process identifier file and appends to the same log.
func (s *site) writeScript(name, program string, args []string) error {
	text := fmt.Sprintf("#!/bin/sh\necho $$ > '%s'\nexec '%s' %s 2>> '%s'\n", filepath.Join(s.dir, name+".pid"),
		filepath.Join(s.bin, program), strings.Join(args, " "), filepath.Join(s.dir, name+".log"))
	return s.writeFile(name+".sh", []byte(text))
}

func (s *site) writeFile(name string, b []byte) error {
	return os.WriteFile(filepath.Join(s.dir, name), b, 0o600)
}

// waitReady waits until all daemons are ready.
func (s *site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range s.Daemons {
		for {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addresses["caller"]+"/readyz", nil)
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return &readyError{daemon: p.Name}
			case <-time.After(watchInterval):
			}
		}
	}
	return nil
}

// watchCuts partitions and reconnects failure domains as their files appear and
// disappear, until ctx ends.
func (s *site) watchCuts(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		for _, r := range s.relays {
			if r.updateCut() {
				fmt.Printf("site: platform reachable from %s: %t\n", filepath.Base(r.file), !r.cut.Load())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
