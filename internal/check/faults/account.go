package faults

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/fleet"
)

type (
	// keyTransport sends a key with each request.
	keyTransport struct {
		key  string
		next http.RoundTripper
	}

	// keyProbe is the response to a call with a key.
	keyProbe struct {
		status int
		kind   string
	}
)

const (
	// keptKey is a key that accounts have throughout, removedKey one that is taken
	// away, and unknownKey one that none ever had.
	keptKey, removedKey, unknownKey = "kept-key-of-16-bytes", "removed-key-of-16-bytes", "unknown-key-of-16-bytes"
	// revokeTime is the time within which no daemon serves a removed key.
	revokeTime = 5 * time.Second
	// accountsInForce bounds the time until daemons in contact have a configuration.
	accountsInForce = 2 * time.Second
	// probeInterval is the pause between rounds of probes, and probeDeadline bounds a
	// probe.
	probeInterval = 100 * time.Millisecond
	probeDeadline = 2 * time.Second
)

func accountScenarios() []Scenario {
	return []Scenario{
		{
			Name: "accounts-cut", Covers: "client accounts, a key removed while a daemon is cut off from the log", Requires: "the kept key at daemons in contact, always, and everywhere after the cut",
			Run: accountsCut,
		},
		{
			Name: "accounts-freeze", Covers: "client accounts, a key removed while a daemon is frozen", Requires: "the kept key at the other daemons, always, and everywhere after the freeze",
			Run: accountsFreeze,
		},
		{
			Name: "accounts-power-loss", Covers: "client accounts, a key removed while all daemons are down", Requires: "the kept key at each daemon after its start",
			Run: accountsPowerLoss,
		},
	}
}

// RoundTrip implements http.RoundTripper.
func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return t.next.RoundTrip(r)
}

// publishAccounts publishes the deployment with one account that has keys.
func (env *Env) publishAccounts(keys ...string) error {
	d := *env.site.Deployment
	a := declare.Account{Name: "orchard"}
	for _, k := range keys {
		a.KeyHashes = append(a.KeyHashes, declare.HashKey(k))
	}
	d.Accounts, d.Limits.RevokeMS = []declare.Account{a}, revokeTime.Milliseconds()
	env.site.Deployment = &d
	if err := env.site.Publish(env.ctx, "haneul"); err != nil {
		return err
	}
	env.noteFault("publish %d keys", len(keys))
	return nil
}

// probe calls the plain service at a daemon with a key. The status is 0 if there is no
// response.
func (env *Env) probe(p *fleet.Proc, key string) keyProbe {
	t := &http.Transport{DisableKeepAlives: true}
	c := fleet.Caller{HTTP: &http.Client{Transport: keyTransport{key, t}, Timeout: probeDeadline}}
	r := c.Call(env.ctx, p, http.MethodGet, "/services/"+bookingService+"/availability", "", "", probeDeadline)
	if r.Err != nil {
		return keyProbe{}
	}
	return keyProbe{r.Status, r.Problem.Kind()}
}

// awaitKeys waits until all daemons that callers use answer each key with a status.
func (env *Env) awaitKeys(limit time.Duration, want map[string]int) error {
	last := ""
	err := env.waitUntil("keys", limit, func() bool {
		for _, p := range env.callable() {
			for key, status := range want {
				if got := env.probe(p, key); got.status != status {
					last = fmt.Sprintf("%s answers the key %s with %d %s instead of %d", p.Name, key, got.status, got.kind, status)
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		return &unmetError{last}
	}
	return nil
}

// startAccounts puts a configuration with both keys in force.
func (env *Env) startAccounts() error {
	if err := env.publishAccounts(keptKey, removedKey); err != nil {
		return err
	}
	return env.awaitKeys(accountsInForce, map[string]int{keptKey: http.StatusOK, removedKey: http.StatusOK, unknownKey: http.StatusUnauthorized})
}

// awaitRemoval waits until no daemon serves the removed key and all serve the other.
func (env *Env) awaitRemoval(limit time.Duration) error {
	return env.awaitKeys(limit, map[string]int{keptKey: http.StatusOK, removedKey: http.StatusUnauthorized, unknownKey: http.StatusUnauthorized})
}

// probeRemoval probes daemons for a time after a key was removed. Those in contact must
// serve the kept key and, soon, refuse the removed one as unknown; none may serve that
// one after revokeTime, or call the kept one unknown.
func (env *Env) probeRemoval(removed time.Time, length time.Duration, lost *node) (refusedKept bool) {
	for time.Since(removed) < length && env.ctx.Err() == nil {
		for _, p := range env.callable() {
			sent := time.Since(removed)
			kept, gone := env.probe(p, keptKey), env.probe(p, removedKey)
			env.expect(kept.status != http.StatusUnauthorized, "%s calls the kept key unknown %v after the removal", p.Name, sent)
			env.expect(gone.status != http.StatusOK || sent < revokeTime, "%s serves the removed key %v after its removal", p.Name, sent)
			if p == lost.Proc {
				refusedKept = refusedKept || kept.kind == "configuration-age"
				continue
			}
			env.expect(kept.status == http.StatusOK, "%s answers the kept key with %d %s %v after the removal", p.Name, kept.status, kept.kind, sent)
			env.expect(gone.status == http.StatusUnauthorized || sent < accountsInForce, "%s answers the removed key with %d %s %v after its removal", p.Name, gone.status, gone.kind, sent)
		}
		env.sleep(probeInterval)
	}
	return refusedKept
}

func accountsCut(env *Env) error {
	if err := env.startAccounts(); err != nil {
		return err
	}
	env.cutPlatform("east", "log")
	env.sleep(300 * time.Millisecond)
	if err := env.publishAccounts(keptKey); err != nil {
		return err
	}
	refused := env.probeRemoval(time.Now(), revokeTime+2*time.Second, env.node(2))
	env.expect(refused, "the daemon that was cut off from the log serves keys on")
	env.net.Heal()
	return env.awaitRemoval(recoveryLimit)
}

func accountsFreeze(env *Env) error {
	if err := env.startAccounts(); err != nil {
		return err
	}
	frozen := env.node(2)
	resume := env.pause(frozen)
	if err := env.publishAccounts(keptKey); err != nil {
		resume()
		return err
	}
	removed := time.Now()
	env.probeRemoval(removed, revokeTime+500*time.Millisecond, frozen)
	// Requests that wait in the frozen daemon's sockets are the first it sees.
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			got := env.probe(frozen.Proc, removedKey)
			env.expect(got.status != http.StatusOK, "%s serves the removed key when it wakes", frozen.Name)
		})
	}
	env.sleep(200 * time.Millisecond)
	resume()
	wg.Wait()
	env.probeRemoval(removed, time.Since(removed)+time.Second, frozen)
	return env.awaitRemoval(recoveryLimit)
}

func accountsPowerLoss(env *Env) error {
	if err := env.startAccounts(); err != nil {
		return err
	}
	for n := 1; n <= defaultDaemons; n++ {
		env.kill(env.node(n))
	}
	if err := env.publishAccounts(keptKey); err != nil {
		return err
	}
	for n := 1; n <= defaultDaemons; n++ {
		fresh, err := env.startDaemon(fmt.Sprintf("again-%d", n), env.node(n).domain)
		if err != nil {
			return err
		}
		// Without a configuration nobody can say that a key is unknown.
		err = env.waitUntil(fresh.Name+" does not serve the kept key", readyTimeout, func() bool {
			kept, gone := env.probe(fresh.Proc, keptKey), env.probe(fresh.Proc, removedKey)
			env.expect(kept.status != http.StatusUnauthorized, "%s calls the kept key unknown at its start", fresh.Name)
			env.expect(gone.status != http.StatusOK, "%s serves the removed key after its start", fresh.Name)
			return kept.status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return env.awaitRemoval(recoveryLimit)
}
