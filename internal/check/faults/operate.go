package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/check/fleet"
	"github.com/azurespan/azurespan/internal/check/verify"
)

func operatorScenarios() []Scenario {
	return []Scenario{
		{
			Name: "two-operators", Covers: "I9, conflicting publications", Must: "one of two publications in each of 20 rounds; all of the load",
			Run: twoOperators,
		},
		{
			Name: "publish-cut-daemon", Covers: "I9, configuration at a daemon cut off from the log", Must: "the configuration in force everywhere within 4 s, three times",
			Run: publishCut,
		},
	}
}

type operators struct {
	w *World
	// version is the one accepted last.
	version uint64
	rounds  int
}

func (w *World) operators() *operators { return &operators{w: w, version: w.site.Version} }

// publish publishes the deployment with a mark over a version.
func (o *operators) publish(operator, mark string, over uint64, round int) verify.Publication {
	w := o.w
	p := verify.Publication{Round: round, MarkerModel: mark}
	path := filepath.Join(w.site.Dir(), mark+".json")
	var b strings.Builder
	if err := markModel(w.site.Deployment, mark).Encode(&b); err != nil {
		w.must(false, "%v", err)
		return p
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		w.must(false, "%v", err)
		return p
	}
	var out struct {
		Version uint64 `json:"version"`
	}
	err := w.site.RunCommand(w.ctx, &out, "publish", "--json", "--config", path, "--replaces", strconv.FormatUint(over, 10),
		"--operator", operator, "--log", w.platform.Address())
	p.At = time.Now()
	var ce *fleet.CommandError
	switch {
	case err == nil:
		p.Accepted, p.Version = true, out.Version
	case errors.As(err, &ce) && ce.Code == 1:
		// Another publication came first.
	default:
		w.must(false, "publication of %s: %v", mark, err)
	}
	return p
}

// round has two operators publish at once.
func (o *operators) round() {
	o.rounds++
	over := o.version
	var wg sync.WaitGroup
	var got [2]verify.Publication
	for i, name := range []string{"haneul", "bora"} {
		wg.Go(func() { got[i] = o.publish(name, fmt.Sprintf("mark-%d-%s", o.rounds, name), over, o.rounds) })
	}
	wg.Wait()
	o.record(got[:]...)
}

func (o *operators) record(list ...verify.Publication) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	o.w.history.Rounds = o.rounds
	for _, p := range list {
		o.w.history.Publications = append(o.w.history.Publications, p)
		if p.Accepted {
			o.version = p.Version
		}
	}
}

// watch asks all daemons which mark is in force until the returned function is
// called.
func (o *operators) watch() (stop func()) {
	ctx, cancel := context.WithCancel(o.w.ctx)
	var wg sync.WaitGroup
	for _, p := range o.w.callable() {
		wg.Go(func() {
			for ctx.Err() == nil {
				s, err := sight(ctx, p)
				// A daemon that does not answer shows nothing in force.
				if err == nil {
					o.w.mu.Lock()
					o.w.history.Observations = append(o.w.history.Observations, s)
					o.w.mu.Unlock()
				}
				o.w.sleep(50 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// sight reads the models that a daemon lists.
func sight(ctx context.Context, p *fleet.Proc) (verify.Observation, error) {
	s := verify.Observation{Daemon: p.Name, Sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addresses["caller"]+"/v1/models", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return s, err
	}
	s.Ended = time.Now()
	for _, m := range list.Data {
		if strings.HasPrefix(m.ID, "mark-") {
			s.MarkerModel = m.ID
		}
	}
	return s, nil
}

func twoOperators(w *World) error {
	o := w.operators()
	stop := o.watch()
	w.during(w.mix(4), 0.98, func() {
		for range 20 {
			o.round()
		}
		w.induce("20 pairs of publications")
		w.sleep(time.Second)
	})
	stop()
	return nil
}

// publishCut publishes three times while east is cut off from the log, and
// waits for longer than a configuration may take.
func publishCut(w *World) error {
	o := w.operators()
	stop := o.watch()
	w.during(w.mix(6), 0.9, func() {
		w.cutPlatform("east", "log")
		for i := range 3 {
			w.sleep(300 * time.Millisecond)
			p := o.publish("haneul", fmt.Sprintf("mark-%d", i), o.version, 0)
			w.must(p.Accepted, "publication %d was not accepted", i)
			o.record(p)
		}
		w.sleep(verify.ActivationLimit + 500*time.Millisecond)
		w.net.Heal()
	})
	stop()
	return nil
}
