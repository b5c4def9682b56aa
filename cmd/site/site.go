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
	// site is a deployment of an example.
	site struct {
		*fleet.Site
		bin, dir, example string
		base              int
		relays            []*relay
	}

	// readyError reports daemons that did not become ready.
	readyError struct{ daemon string }
)

const (
	// daemons run, one in each failure domain in turn; settings of one spare
	// host are written beside theirs.
	daemons = 4

	// Offsets of the ports from base.
	callerPort, peerPort, adminPort, platformPort, relayPort = 80, 180, 280, 300, 310

	// readyTimeout bounds the time from a publication until all daemons are
	// ready.
	readyTimeout = 20 * time.Second
	// watchInterval is the time between looks at the folder of cuts.
	watchInterval = 200 * time.Millisecond
)

func (e *readyError) Error() string { return e.daemon + " did not become ready; see its log" }

// address returns the loopback address at a port offset.
func (s *site) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", s.base+offset) }

// start runs the platform, the upstreams and the daemons, and publishes.
func (s *site) start(ctx context.Context) error {
	out, err := exec.CommandContext(ctx, filepath.Join(s.bin, s.example)).Output()
	if err != nil {
		return err
	}
	if s.Deployment, err = declare.Decode(out); err != nil {
		return err
	}
	if err := s.write("config.json", out); err != nil {
		return err
	}
	if err := s.write("secret", []byte(fleet.Secret+"\n")); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(s.dir, "cut"), 0o755); err != nil {
		return err
	}
	if s.Platform, err = s.launch(ctx, "platform", "platform", "-listen", s.address(platformPort), "-host-lag", "500ms"); err != nil {
		return err
	}
	if err := s.upstreams(ctx); err != nil {
		return err
	}
	for i, domain := range s.Deployment.FailureDomains {
		r, err := listen(s.address(relayPort+i), s.address(platformPort), filepath.Join(s.dir, "cut", domain))
		if err != nil {
			return err
		}
		s.relays = append(s.relays, r)
	}
	for i := range daemons + 1 {
		if err := s.daemon(ctx, i); err != nil {
			return err
		}
	}
	if err := s.Publish(ctx, "site"); err != nil {
		return err
	}
	return s.ready(ctx)
}

func (s *site) upstreams(ctx context.Context) error {
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

// daemon writes the settings of entry host i and runs it, unless it is the
// spare one.
func (s *site) daemon(ctx context.Context, i int) error {
	domains := s.Deployment.FailureDomains
	// The spare host replaces the last one.
	name, domain := fmt.Sprintf("entry-%d", i+1), domains[min(i, daemons-1)%len(domains)]
	var peers []string
	for j := range daemons + 1 {
		peers = append(peers, s.address(peerPort+j))
	}
	platform := s.address(relayPort + slices.Index(domains, domain))
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
`, name, domain, s.address(callerPort+i), s.address(peerPort+i), s.address(adminPort+i), strings.Join(peers, ", "), platform, platform)
	if err := s.write(name+".ini", []byte(text)); err != nil {
		return err
	}
	args := []string{"serve", "--settings", filepath.Join(s.dir, name+".ini")}
	if i == daemons {
		return s.script(name, "azurespan", args)
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
// starts it again.
func (s *site) launch(ctx context.Context, name, program string, args ...string) (*fleet.Proc, error) {
	// Logs are appended to; those of an earlier run would mislead the reader.
	if err := os.Remove(filepath.Join(s.dir, name+".log")); err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	p, err := s.Start(ctx, name, program, args...)
	if err != nil {
		return nil, err
	}
	if err := s.write(name+".pid", []byte(strconv.Itoa(p.Pid())+"\n")); err != nil {
		return nil, err
	}
	return p, s.script(name, program, args)
}

// script writes a shell script that starts a program in its place, with its
// log appended to the same file.
func (s *site) script(name, program string, args []string) error {
	text := fmt.Sprintf("#!/bin/sh\necho $$ > '%s'\nexec '%s' %s 2>> '%s'\n", filepath.Join(s.dir, name+".pid"),
		filepath.Join(s.bin, program), strings.Join(args, " "), filepath.Join(s.dir, name+".log"))
	return s.write(name+".sh", []byte(text))
}

func (s *site) write(name string, b []byte) error {
	return os.WriteFile(filepath.Join(s.dir, name), b, 0o600)
}

// ready waits until all daemons serve.
func (s *site) ready(ctx context.Context) error {
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

// watch cuts failure domains off and joins them again until ctx ends.
func (s *site) watch(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		for _, r := range s.relays {
			if r.update() {
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
