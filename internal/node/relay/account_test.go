package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// accountConfig returns a configuration with one account of the key "a".
func accountConfig(r fleet.Route) *fleet.Config {
	return (&fleet.Config{
		Version: 2, Routes: []fleet.Route{r}, Services: map[string]fleet.Service{"s": {Name: "s"}},
		Accounts: []fleet.Account{{Name: "one", Keys: []fleet.KeyHash{fleet.HashKey("a")}, Rank: 1}},
	}).Index()
}

// TestKeyOfConfiguration guards against a 401 for a key that a newer configuration may
// have, and against serving a key that a newer one may lack where that is forbidden.
func TestKeyOfConfiguration(t *testing.T) {
	const configTTL, keyTTL = 2 * time.Second, 3 * time.Second
	f := newFixture(t, route(fleet.Safe, 1, false))
	cfg := accountConfig(route(fleet.Safe, 1, false))
	key := func(s string) *fleet.KeyHash {
		k := fleet.HashKey(s)
		return &k
	}
	for _, c := range []struct {
		name   string
		key    *fleet.KeyHash
		fresh  fleet.Freshness
		strict bool
		status int
	}{
		{"valid", key("a"), fleet.Freshness{}, true, 0},
		{"valid, old", key("a"), fleet.Freshness{Age: time.Hour}, false, 0},
		{"valid, too old", key("a"), fleet.Freshness{Age: keyTTL + 1}, true, http.StatusServiceUnavailable},
		{"valid, newer one known", key("a"), fleet.Freshness{Age: keyTTL, Outdated: true}, true, 0},
		{"unknown", key("b"), fleet.Freshness{Age: configTTL}, true, http.StatusUnauthorized},
		{"none", nil, fleet.Freshness{}, true, http.StatusUnauthorized},
		{"unknown, old", key("b"), fleet.Freshness{Age: configTTL + 1}, false, http.StatusServiceUnavailable},
		{"unknown, newer one known", key("b"), fleet.Freshness{Outdated: true}, true, http.StatusServiceUnavailable},
	} {
		f.relay.settings.ConfigTTL, f.relay.settings.KeyTTL = configTTL, 0
		if c.strict {
			f.relay.settings.KeyTTL = keyTTL
		}
		req := &fleet.Request{Key: c.key, Account: "forged"}
		account, resp, ok := f.relay.authorize(cfg, &cfg.Routes[0], req, c.fresh)
		must.Eq(t, c.status, resp.code, must.Sprint(c.name))
		must.Eq(t, c.status == 0, ok, must.Sprint(c.name))
		must.Eq(t, c.status == http.StatusServiceUnavailable, resp.retryAfter > 0, must.Sprint(c.name))
		if ok {
			must.Eq(t, "one", account.Name)
			must.Eq(t, "one", req.Account)
		} else {
			must.Eq(t, "", req.Account)
		}
	}
	// An anonymous route needs no key, however old the configuration is.
	account, _, ok := f.relay.authorize(cfg, &fleet.Route{Anonymous: true}, &fleet.Request{Key: key("a"), Account: "forged"}, fleet.Freshness{Age: time.Hour})
	must.True(t, ok)
	must.Nil(t, account)
}
