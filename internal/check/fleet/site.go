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
	// Site is a whole deployment: the platform, the upstreams of a
	// configuration, and daemons.
	Site struct {
		*Fleet
		Deployment *declare.Deployment
		Platform   *Proc
		Upstreams  map[string]*Proc
		Daemons    []*Proc
		// Version is the last one published.
		Version uint64
		// PlatformArgs and EngineArgs are further flags of the stand-ins.
		PlatformArgs, EngineArgs []string
		// Timing holds lines for the section [timing] of the daemons.
		Timing []string
	}

	// CommandError reports a command of the product that failed.
	CommandError struct {
		Args   []string
		Code   int
		Output string
	}
)

// Secret is the shared secret of the daemons of a Site.
const Secret = "secret-of-the-test-deployment"

// Error gives the command and its output.
func (e *CommandError) Error() string {
	return fmt.Sprintf("azurespan %s: exit code %d: %s", strings.Join(e.Args, " "), e.Code, e.Output)
}

// StartPlatform runs the platform's stand-in.
func (s *Site) StartPlatform(ctx context.Context) error {
	p, err := s.Start(ctx, "platform", "platform", append([]string{"-host-lag", "200ms"}, s.PlatformArgs...)...)
	s.Platform = p
	return err
}

// StartUpstreams runs a stand-in for each upstream of the deployment and puts
// its address into the deployment.
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

// StartUpstream runs the stand-in of one upstream.
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

// StartDaemon runs a daemon on a host of the given name and registers its peer
// address in the host list.
func (s *Site) StartDaemon(ctx context.Context, host, domain string) (*Proc, error) {
	return s.StartDaemonAt(ctx, host, domain, s.URL())
}

// StartDaemonAt is StartDaemon with another address of the platform.
func (s *Site) StartDaemonAt(ctx context.Context, host, domain, platform string) (*Proc, error) {
	d := Daemon{Host: host, Domain: domain, Platform: platform, Timing: s.Timing}
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

// SetHost changes an entry of the host list.
func (s *Site) SetHost(name, address, domain, state string) error {
	return SendJSON(http.MethodPut, s.URL()+"/admin/hosts/"+name, map[string]string{"address": address, "failure-domain": domain, "state": state}, nil)
}

// Faults sets faults of a stand-in.
func Faults(p *Proc, body map[string]any) error {
	return SendJSON(http.MethodPost, "http://"+p.Addresses["address"]+"/admin/faults", body, nil)
}

// Records reads the stand-in's own records.
func FetchRecords(p *Proc, out any) error {
	return SendJSON(http.MethodGet, "http://"+p.Addresses["address"]+"/admin/records", nil, out)
}

// Publish prints the deployment and publishes it with the product's command.
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

// Command runs the product's command line and decodes its JSON output.
func (s *Site) RunCommand(ctx context.Context, out any, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(s.bin, "azurespan"), args...)
	var text, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &text, &errs
	err := cmd.Run()
	if err != nil {
		return &CommandError{Args: args, Code: cmd.ProcessState.ExitCode(), Output: text.String() + errs.String()}
	}
	var wrapped struct {
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(text.Bytes(), &wrapped); err != nil {
		return err
	}
	return json.Unmarshal(wrapped.Result, out)
}

// Status asks a daemon for its status.
func (s *Site) Status(ctx context.Context, d *Proc, out any) error {
	secret := filepath.Join(s.Dir(), "secret")
	if err := os.WriteFile(secret, []byte(Secret), 0o600); err != nil {
		return err
	}
	return s.RunCommand(ctx, out, "status", "--json", "--admin", d.Addresses["admin"], "--secret-file", secret)
}

// Send makes one JSON call and decodes the answer into out unless it is nil.
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
	if resp.StatusCode >= 300 {
		return &CommandError{Args: []string{method, url}, Code: resp.StatusCode, Output: string(b)}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}
