package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Site is a complete deployment: a platform, the upstreams of a
	// configuration, and daemons.
	Site struct {
		*Fleet
		Deployment *declare.Deployment
		Platform   *Proc
		Upstreams  map[string]*Proc
		Daemons    []*Proc
		// Version is the configuration version published last.
		Version uint64
		// PlatformArgs and EngineArgs are additional flags of the simulated
		// platform and engines.
		PlatformArgs, EngineArgs []string
		// Timing and Limits hold the lines of these sections of the daemons'
		// settings.
		Timing, Limits []string
	}

	// CommandError reports a failed azurespan command or, from SendJSON, a
	// failed HTTP request.
	CommandError struct {
		// Args holds the arguments, or the method and URL.
		Args []string
		// Code is the exit code or the HTTP status.
		Code   int
		Output string
	}
)

// Secret is the default shared secret of daemons.
const Secret = "secret-of-the-test-deployment"

// Error returns the command, its exit code and its output.
func (e *CommandError) Error() string {
	return fmt.Sprintf("azurespan %s: exit code %d: %s", strings.Join(e.Args, " "), e.Code, e.Output)
}

// StartPlatform starts the simulated platform.
func (s *Site) StartPlatform(ctx context.Context) error {
	p, err := s.Start(ctx, "platform", "platform", append([]string{"-host-lag", "200ms"}, s.PlatformArgs...)...)
	s.Platform = p
	return err
}

// StartUpstreams starts a simulated upstream for each upstream of the deployment
// and sets its address in the deployment.
func (s *Site) StartUpstreams(ctx context.Context) error {
	s.Upstreams = map[string]*Proc{}
	for i := range s.Deployment.Upstreams {
		u := &s.Deployment.Upstreams[i]
		p, err := s.StartUpstream(ctx, u, "127.0.0.1:0")
		if err != nil {
			return err
		}
		u.Address = p.Addresses["address"]
	}
	return nil
}

// StartUpstream starts the simulated engine or service for one upstream.
func (s *Site) StartUpstream(ctx context.Context, u *declare.Upstream, listen string) (*Proc, error) {
	program, args := "service", []string{"-listen", listen, "-name", u.Name}
	for _, sv := range s.Deployment.Services {
		if sv.Name == u.Service && sv.Kind == declare.ModelService {
			program = "engine"
			args = append(args, "-memory-bytes", strconv.FormatInt(u.MemoryBytes, 10), "-store", s.URL(),
				"-ignores-fencing="+strconv.FormatBool(u.IgnoresFencing))
			args = append(args, s.EngineArgs...)
		}
	}
	p, err := s.Start(ctx, u.Name, program, args...)
	if err == nil {
		s.Upstreams[u.Name] = p
	}
	return p, err
}

// URL returns the base URL of the platform.
func (s *Site) URL() string { return "http://" + s.Platform.Addresses["address"] }

// StartDaemon starts a daemon as a host of the given name and registers its peer
// address in the host list.
func (s *Site) StartDaemon(ctx context.Context, host, domain string) (*Proc, error) {
	return s.StartDaemonAt(ctx, host, domain, s.URL())
}

// StartDaemonAt is like StartDaemon, but the daemon uses the given base URL of the
// platform.
func (s *Site) StartDaemonAt(ctx context.Context, host, domain, platform string) (*Proc, error) {
	d := Daemon{Host: host, Domain: domain, Platform: platform, Timing: s.Timing, Limits: s.Limits}
	for _, p := range s.Daemons {
		d.Seeds = append(d.Seeds, p.Addresses["peer"])
	}
	p, err := s.RunDaemon(ctx, d)
	if err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, p)
	return p, s.SetHost(host, p.Addresses["peer"], domain, "live")
}

// SetHost sets an entry of the host list.
func (s *Site) SetHost(name, address, domain, state string) error {
	return SendJSON(http.MethodPut, s.URL()+"/admin/hosts/"+name, map[string]string{"address": address, "failure-domain": domain, "state": state}, nil)
}

// SetFaults sets the faults of a simulated platform, engine or service.
func SetFaults(p *Proc, body map[string]any) error {
	return SendJSON(http.MethodPost, "http://"+p.Addresses["address"]+"/admin/faults", body, nil)
}

// FetchRecords reads the records of a simulated platform, engine or service.
func FetchRecords(p *Proc, out any) error {
	return SendJSON(http.MethodGet, "http://"+p.Addresses["address"]+"/admin/records", nil, out)
}

// Publish writes the deployment to a file and publishes it with the azurespan
// command.
func (s *Site) Publish(ctx context.Context, operator string) error {
	path := filepath.Join(s.Dir(), fmt.Sprintf("config-%d.json", s.Version))
	var b bytes.Buffer
	if err := s.Deployment.Encode(&b); err != nil {
		return err
	}
	if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
		return err
	}
	var out struct {
		Version uint64 `json:"version"`
	}
	if err := s.RunCommand(ctx, &out, "publish", "--json", "--config", path, "--replaces", strconv.FormatUint(s.Version, 10),
		"--operator", operator, "--log", s.Platform.Addresses["address"]); err != nil {
		return err
	}
	s.Version = out.Version
	return nil
}

// RunCommand runs the azurespan command and decodes the result of its JSON output
// into out.
func (s *Site) RunCommand(ctx context.Context, out any, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(s.bin, "azurespan"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if err != nil {
		return &CommandError{Args: args, Code: cmd.ProcessState.ExitCode(), Output: stdout.String() + stderr.String()}
	}
	var wrapped struct {
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(stdout.Bytes(), &wrapped); err != nil {
		return err
	}
	return json.Unmarshal(wrapped.Result, out)
}

// Status reads the status of a daemon with the azurespan command and decodes it
// into out.
func (s *Site) Status(ctx context.Context, d *Proc, out any) error {
	secret := filepath.Join(s.Dir(), "secret")
	if err := os.WriteFile(secret, []byte(Secret), 0o600); err != nil {
		return err
	}
	return s.RunCommand(ctx, out, "status", "--json", "--admin", d.Addresses["admin"], "--secret-file", secret)
}

// SendJSON sends an HTTP request with body as JSON unless it is nil, and decodes
// the response into out unless it is nil. A status of 300 or above is a
// *CommandError.
func SendJSON(method, url string, body, out any) error {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, url, r)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &CommandError{Args: []string{method, url}, Code: resp.StatusCode, Output: string(b)}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}
