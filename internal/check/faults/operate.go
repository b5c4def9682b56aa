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
			Name: "two-operators", Covers: "I9, conflicting publications", Requires: "one of two publications in each of 20 rounds; all of the load",
			Run: twoOperators,
		},
		{
			Name: "publish-cut-daemon", Covers: "I9, configuration at a daemon cut off from the log", Requires: "the configuration in force everywhere within 4 s, three times",
			Run: publishWhileCut,
		},
	}
}

// observationInterval separates the requests to one daemon for its models.
const observationInterval = 50 * time.Millisecond

// publisher publishes configurations on behalf of one or two operators. Each
// configuration has a marker model, whose name identifies the publication.
type publisher struct {
	env *Env
	// version is the latest accepted version.
	version uint64
	rounds  int
}

func (env *Env) newPublisher() *publisher { return &publisher{env: env, version: env.site.Version} }

// publish publishes the deployment with a marker model as the replacement of the
// version over.
func (pub *publisher) publish(operator, marker string, over uint64, round int) verify.Publication {
	env := pub.env
	p := verify.Publication{Round: round, MarkerModel: marker}
	path := filepath.Join(env.site.Dir(), marker+".json")
	var b strings.Builder
	if err := withMarkerModel(env.site.Deployment, marker).Encode(&b); err != nil {
		env.expect(false, "%v", err)
		return p
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		env.expect(false, "%v", err)
		return p
	}
	var out struct {
		Version uint64 `json:"version"`
	}
	err := env.site.RunCommand(env.ctx, &out, "publish", "--json", "--config", path, "--replaces", strconv.FormatUint(over, 10),
		"--operator", operator, "--log", env.platform.Address())
	p.At = time.Now()
	var ce *fleet.CommandError
	switch {
	case err == nil:
		p.Accepted, p.Version = true, out.Version
	case errors.As(err, &ce) && ce.Code == 1:
		// Another publication replaced the version first.
	default:
		env.expect(false, "publication of %s: %v", marker, err)
	}
	return p
}

// publishConcurrently has two operators replace the same version at the same
// time.
func (pub *publisher) publishConcurrently() {
	pub.rounds++
	over := pub.version
	var wg sync.WaitGroup
	var got [2]verify.Publication
	for i, name := range []string{"haneul", "bora"} {
		wg.Go(func() { got[i] = pub.publish(name, fmt.Sprintf("mark-%d-%s", pub.rounds, name), over, pub.rounds) })
	}
	wg.Wait()
	pub.recordPublications(got[:]...)
}

func (pub *publisher) recordPublications(list ...verify.Publication) {
	pub.env.mu.Lock()
	defer pub.env.mu.Unlock()
	pub.env.history.Rounds = pub.rounds
	for _, p := range list {
		pub.env.history.Publications = append(pub.env.history.Publications, p)
		if p.Accepted {
			pub.version = p.Version
		}
	}
}

// observe polls all daemons for the marker model of their configuration until
// the returned function is called.
func (pub *publisher) observe() (stop func()) {
	ctx, cancel := context.WithCancel(pub.env.ctx)
	var wg sync.WaitGroup
	for _, p := range pub.env.callable() {
		wg.Go(func() {
			for ctx.Err() == nil {
				s, err := observeConfiguration(ctx, p)
				// A failed request shows no configuration in force.
				if err == nil {
					pub.env.mu.Lock()
					pub.env.history.Observations = append(pub.env.history.Observations, s)
					pub.env.mu.Unlock()
				}
				pub.env.sleep(observationInterval)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// observeConfiguration reads the list of models of a daemon.
func observeConfiguration(ctx context.Context, p *fleet.Proc) (verify.Observation, error) {
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

func twoOperators(env *Env) error {
	pub := env.newPublisher()
	stop := pub.observe()
	env.underLoad(env.backgroundLoad(4), 0.98, func() {
		for range 20 {
			pub.publishConcurrently()
		}
		env.noteFault("20 pairs of publications")
		env.sleep(time.Second)
	})
	stop()
	return nil
}

// publishWhileCut publishes three times while east is cut off from the log, and
// waits for longer than the time within which a configuration must be in force
// everywhere.
func publishWhileCut(env *Env) error {
	pub := env.newPublisher()
	stop := pub.observe()
	env.underLoad(env.backgroundLoad(6), 0.9, func() {
		env.cutPlatform("east", "log")
		for i := range 3 {
			env.sleep(300 * time.Millisecond)
			p := pub.publish("haneul", fmt.Sprintf("mark-%d", i), pub.version, 0)
			env.expect(p.Accepted, "publication %d was not accepted", i)
			pub.recordPublications(p)
		}
		env.sleep(verify.ActivationLimit + 500*time.Millisecond)
		env.net.Heal()
	})
	stop()
	return nil
}
