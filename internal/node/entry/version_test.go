package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

// TestVersionJoinsWhileOutOfStep guards against a daemon that is out of step while a version
// joins and names the other one for streams that began at the new one (issue 40, ORDER), and
// against daemons that refuse streams of the other version before any can have begun at the
// new one (issue 41, LOST). The service loads no models, so that its upstreams serve from the
// moment at which they register.
func TestVersionJoinsWhileOutOfStep(t *testing.T) {
	for _, c := range []struct {
		name       string
		log, peers bool
		// restarts is set if the daemon is restarted instead.
		restarts bool
	}{
		{name: "in step"},
		{name: "cut off from the log", log: true},
		{name: "cut off from the others", peers: true},
		{name: "cut off from both", log: true, peers: true},
		{name: "restarted", restarts: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, 4, modelDeadline, 1, func(t *testing.T, fl *modelFleet) {
				apart := fl.daemons[0]
				if apart == fl.holder() {
					apart = fl.daemons[1]
				}
				// The tenure has lasted long enough.
				time.Sleep(10 * time.Second)
				apart.setCut(c.log, c.peers)
				time.Sleep(time.Second)
				if c.restarts {
					apart.halt()
					apart.start()
				}
				fl.log.put(modelUpstreams, "w", fleet.Upstream{ID: "w", Born: 1, Service: "s", Address: "w", FailureDomain: "a", Slots: 1, Version: "v2"})
				var opened time.Time
				named, unnamed := 0, 0
				for range 25 * 4 {
					time.Sleep(250 * time.Millisecond)
					for _, d := range fl.daemons {
						state, _ := d.loader.VersionState()
						if opened.IsZero() && (slices.Contains(state.Open["s"], "v2") || d.origins.Admits("s", "v2")) {
							opened = time.Now()
						}
					}
					for _, d := range fl.daemons {
						since := d.platform.BootClock()
						_, only := d.origins.Only(since, since, "s")
						if !only && d != apart {
							known := func() bool {
								_, only = d.origins.Only(d.platform.BootClock(), since, "s")
								return only
							}
							must.NoError(t, d.olog.Lookup(t.Context(), 1, known))
						}
						must.False(t, only && !opened.IsZero(), must.Sprint(d.host))
						if d != apart && opened.IsZero() {
							if unnamed++; only {
								named++
							}
						}
					}
				}
				must.False(t, opened.IsZero())
				must.Eq(t, unnamed, named)
				must.Greater(t, 20, named)
			})
		})
	}
}
