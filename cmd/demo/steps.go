package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/fleet"
)

type (
	demo struct {
		bin    string
		began  time.Time
		site   *fleet.Site
		caller *fleet.Caller
	}

	step struct {
		name string
		// do returns a description of what it checked.
		do func(context.Context) (string, error)
	}

	// checkError reports a failed check.
	checkError struct{ text string }
)

// model is the model that most steps request.
const model = "tray-harvest-8b"

func (f checkError) Error() string { return f.text }

func failf(format string, args ...any) error { return checkError{fmt.Sprintf(format, args...)} }

func (d *demo) steps() []step {
	return []step{
		{"platform and upstreams", d.startUpstreams},
		{"four daemons, three domains", d.startDaemons},
		{"print and publish configuration", d.publish},
		{"second operator is refused", d.conflict},
		{"cold streamed request", d.coldRequest},
		{"warm request through another daemon", d.warmRequest},
		{"background request", d.background},
		{"booking and its resend", d.booking},
		{"kill a daemon, resume the stream", d.killDaemon},
		{"drain a daemon", d.drainDaemon},
		{"status", d.status},
	}
}

// printConfig runs the configuration program of the Cooperative, which uses the
// declare library, and returns the deployment and the output.
func (d *demo) printConfig(ctx context.Context, args ...string) (*declare.Deployment, []byte, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(d.bin, "cooperative"), args...).Output()
	if err != nil {
		return nil, nil, err
	}
	dep, err := declare.Decode(out)
	return dep, out, err
}

func (d *demo) startUpstreams(ctx context.Context) (string, error) {
	var err error
	if d.site.Deployment, _, err = d.printConfig(ctx); err != nil {
		return "", err
	}
	if err := d.site.StartPlatform(ctx); err != nil {
		return "", err
	}
	if err := d.site.StartUpstreams(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("log, host list and weight store; %d upstreams listen", len(d.site.Upstreams)), nil
}

func (d *demo) startDaemons(ctx context.Context) (string, error) {
	domains := d.site.Deployment.FailureDomains
	for i := range 4 {
		if _, err := d.site.StartDaemon(ctx, fmt.Sprintf("entry-%d", i+1), domains[i%len(domains)]); err != nil {
			return "", err
		}
	}
	return "each printed its addresses; not ready without a configuration", d.waitReady(ctx, http.StatusServiceUnavailable)
}

// waitReady waits until the readiness endpoints of all running daemons respond
// with the given status.
func (d *demo) waitReady(ctx context.Context, status int) error {
	for _, p := range d.site.Daemons {
		if !p.Running() {
			continue
		}
		for {
			resp, err := http.Get("http://" + p.Addresses["caller"] + "/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == status {
					break
				}
			}
			select {
			case <-ctx.Done():
				return failf("%s does not answer readiness with %d", p.Name, status)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (d *demo) publish(ctx context.Context) (string, error) {
	addresses := map[string]string{}
	for name, p := range d.site.Upstreams {
		addresses[name] = p.Addresses["address"]
	}
	b, err := json.Marshal(addresses)
	if err != nil {
		return "", err
	}
	file := filepath.Join(d.site.Dir(), "addresses.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return "", err
	}
	dep, text, err := d.printConfig(ctx, "-addresses", file)
	if err != nil {
		return "", err
	}
	d.site.Deployment = dep
	if err := d.site.Publish(ctx, "haneul"); err != nil {
		return "", err
	}
	began := time.Now()
	if err := d.waitReady(ctx, http.StatusOK); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d bytes, %d models, %d adapters; version %d in force at 4 daemons %.0f ms after acceptance",
		len(bytes.TrimSpace(text)), len(dep.Models), len(dep.Adapters), d.site.Version, float64(time.Since(began).Microseconds())/1000), nil
}

func (d *demo) conflict(ctx context.Context) (string, error) {
	version := d.site.Version
	d.site.Version = 0
	err := d.site.Publish(ctx, "bora")
	d.site.Version = version
	if ce, ok := err.(*fleet.CommandError); ok && ce.Code == 1 && strings.Contains(ce.Output, "haneul") {
		return "exit code 1, names the version and operator in force", nil
	}
	return "", failf("publication over an old version: %v", err)
}

// checkComplete checks that a response is complete: the given number of tokens in
// order, the end marker, and no error.
func (d *demo) checkComplete(a fleet.ChatResponse, tokens int) error {
	if a.Err != nil || !a.Done || a.Tokens != tokens {
		return failf("status %d, %d of %d events, done %v, problem %+v, error %v", a.Status, a.Tokens, tokens, a.Done, a.Problem, a.Err)
	}
	return nil
}

func (d *demo) coldRequest(ctx context.Context) (string, error) {
	a := d.caller.Stream(ctx, d.site.Daemons[0], fleet.Chat{Model: model, Prompt: "how long do figs dry", MaxTokens: 40}, nil)
	if err := d.checkComplete(a, 40); err != nil {
		return "", err
	}
	n, err := d.countLoads(model)
	if err != nil || n != 1 {
		return "", failf("%d loads of %s instead of 1: %v", n, model, err)
	}
	return fmt.Sprintf("40 events and the end mark; first token after %.2f s; engines record 1 load", a.TimeToFirstToken.Seconds()), nil
}

// countLoads returns the number of loads of a model in the event logs of the
// engines.
func (d *demo) countLoads(model string) (int, error) {
	n := 0
	for _, u := range d.site.Deployment.Upstreams {
		if u.Accelerators == 0 {
			continue
		}
		var r struct {
			Entries []struct{ Kind, Model string }
		}
		if err := fleet.FetchRecords(d.site.Upstreams[u.Name], &r); err != nil {
			return 0, err
		}
		for _, e := range r.Entries {
			if e.Kind == "load" && e.Model == model {
				n++
			}
		}
	}
	return n, nil
}

func (d *demo) warmRequest(ctx context.Context) (string, error) {
	a := d.caller.Stream(ctx, d.site.Daemons[1], fleet.Chat{Model: model, Prompt: "how long do plums dry", MaxTokens: 40}, nil)
	if err := d.checkComplete(a, 40); err != nil {
		return "", err
	}
	if n, err := d.countLoads(model); err != nil || n != 1 {
		return "", failf("%d loads of %s instead of 1: %v", n, model, err)
	}
	return fmt.Sprintf("first token after %.0f ms; still 1 load", float64(a.TimeToFirstToken.Microseconds())/1000), nil
}

func (d *demo) background(ctx context.Context) (string, error) {
	a := d.caller.Stream(ctx, d.site.Daemons[2], fleet.Chat{Model: "gyeongju-harvest", Prompt: "season summary", MaxTokens: 60, Class: "background"}, nil)
	if err := d.checkComplete(a, 60); err != nil {
		return "", err
	}
	return "60 events with an adapter of the same model", nil
}

func (d *demo) booking(ctx context.Context) (string, error) {
	key := ulid.Make().String()
	first := d.caller.Call(ctx, d.site.Daemons[0], http.MethodPost, "/services/booking-desk/bookings", key, `{"rack":7,"trays":12}`, 8*time.Second)
	if first.Err != nil || first.Status/100 != 2 {
		return "", failf("booking: %+v", first)
	}
	second := d.caller.Call(ctx, d.site.Daemons[3], http.MethodPost, "/services/booking-desk/bookings", key, `{"rack":7,"trays":12}`, 8*time.Second)
	if second.Err != nil || second.Status != first.Status || second.Body != first.Body || !second.Replayed {
		return "", failf("resend: %+v instead of %+v", second, first)
	}
	runs := 0
	for _, u := range d.site.Deployment.Upstreams {
		if u.Service != "booking-desk" {
			continue
		}
		var r struct {
			Entries []struct{ Kind, Key string }
		}
		if err := fleet.FetchRecords(d.site.Upstreams[u.Name], &r); err != nil {
			return "", err
		}
		for _, e := range r.Entries {
			if e.Kind == "run" && e.Key == key {
				runs++
			}
		}
	}
	if runs != 1 {
		return "", failf("the services record %d runs of the key", runs)
	}
	return "resend through another daemon gets the same answer; the services record 1 run", nil
}

func (d *demo) killDaemon(ctx context.Context) (string, error) {
	victim, other := d.site.Daemons[0], d.site.Daemons[1]
	q := fleet.Chat{Model: model, Prompt: "tell me about racks", MaxTokens: 300}
	a := d.caller.Stream(ctx, victim, q, func(n int) bool {
		if n == 50 {
			victim.Kill()
		}
		return true
	})
	if a.Done || a.Tokens < 50 {
		return "", failf("the stream was not cut: %d events, done %v", a.Tokens, a.Done)
	}
	cut := a.Tokens
	a = d.caller.Resume(ctx, other, a)
	if err := d.checkComplete(a, 300); err != nil {
		return "", err
	}
	again := d.caller.Stream(ctx, other, q, nil)
	if again.Text != a.Text {
		return "", failf("the resumed answer differs from the answer of an undisturbed request")
	}
	return fmt.Sprintf("cut after %d events, resumed at another daemon; all 300 tokens once and in order", cut), nil
}

func (d *demo) drainDaemon(ctx context.Context) (string, error) {
	victim := d.site.Daemons[3]
	var code int
	var waitErr error
	a := d.caller.Stream(ctx, victim, fleet.Chat{Model: model, Prompt: "drain", MaxTokens: 200}, func(n int) bool {
		if n == 20 {
			waitErr = victim.Signal(syscall.SIGTERM)
		}
		return true
	})
	if err := d.checkComplete(a, 200); err != nil {
		return "", err
	}
	if code, waitErr = victim.Wait(10 * time.Second); waitErr != nil || code != 0 {
		return "", failf("exit code %d: %v", code, waitErr)
	}
	return "its stream finished with all 200 tokens; exit code 0", nil
}

func (d *demo) status(ctx context.Context) (string, error) {
	for {
		var s struct {
			Version   uint64 `json:"version"`
			Upstreams []struct {
				Name  string `json:"name"`
				Owner string `json:"owner"`
			} `json:"upstreams"`
			Degraded []string `json:"degraded"`
		}
		if err := d.site.Status(ctx, d.site.Daemons[1], &s); err != nil {
			return "", err
		}
		orphans := 0
		for _, u := range s.Upstreams {
			if strings.HasPrefix(u.Owner, "entry-1/") || strings.HasPrefix(u.Owner, "entry-4/") {
				orphans++
			}
		}
		if orphans == 0 && s.Version == d.site.Version {
			return fmt.Sprintf("version %d; no upstream is owned by a stopped daemon; degraded: %v", s.Version, s.Degraded), nil
		}
		select {
		case <-ctx.Done():
			return "", failf("%d upstreams are still owned by stopped daemons", orphans)
		case <-time.After(200 * time.Millisecond):
		}
	}
}
