package dealer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/quota"
)

const (
	// An upstream may get factor times its limit, and slack requests more, in
	// any window (rule LIMIT of the platform).
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
)

// TestFleetKeepsLimit plays daemons that want to send more than an upstream takes:
// they report to the holder at different times, some replies are lost, the holder is
// replaced, and for a while there is none. It guards against exceeding the limit in
// any window, at any size of the fleet, and against leaving most of it unused while
// the holder answers.
func TestFleetKeepsLimit(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		length   = 60 * time.Second
		interval = 200 * time.Millisecond
		// Without a holder from gapFrom to gapTo; then there is another one.
		gapFrom, gapTo = 20 * time.Second, 26 * time.Second
		dealTTL        = 1500 * time.Millisecond
	)
	for _, c := range []struct {
		daemons   int
		perSecond float64
	}{{1, 0.3}, {4, 2.9}, {4, 0.5}, {33, 5}, {33, 40}, {320, 3}} {
		t.Run(fmt.Sprint(c.daemons, " daemons ", c.perSecond), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(c.daemons), 1))
			start := time.Unix(1000, 0)
			up := fleet.Upstream{ID: "u", Born: 1}
			tables, dealtAt := make([]*quota.Table, c.daemons), make([]time.Time, c.daemons)
			for i := range tables {
				tables[i] = quota.New()
				tables[i].Answered(start, start, up, c.perSecond, true)
				dealtAt[i] = start
			}
			holder := New()
			var sends []time.Time
			for at := time.Duration(0); at < length; at += step {
				now := start.Add(at)
				gap := at >= gapFrom && at < gapTo
				if at == gapTo {
					holder = New()
				}
				for i, tab := range tables {
					if due := (at+time.Duration(i)*step)%interval == 0; due && !gap {
						holder.Learn(now, tab.Named(now))
						permits := holder.Deal(now, map[string]int{"u": 1 + rng.IntN(3)}, true)
						if rng.IntN(10) > 0 {
							tab.Grant(now, permits)
							dealtAt[i] = now
						}
					}
					tab.Accrue(now, c.daemons, now.Sub(dealtAt[i]) < dealTTL)
					for tab.Allows(now, up) {
						tab.Take(now, up)
						sends = append(sends, now)
					}
				}
			}
			allowed := int(factor*c.perSecond*window.Seconds()) + slack
			first := 0
			for i, at := range sends {
				for at.Sub(sends[first]) > window {
					first++
				}
				must.LessEq(t, allowed, i-first+1)
			}
			served := 0
			for _, at := range sends {
				if s := at.Sub(start); s < gapFrom || s >= gapTo {
					served++
				}
			}
			// One in ten permits is lost with its reply.
			must.GreaterEq(t, 0.8*c.perSecond*(length-(gapTo-gapFrom)).Seconds()-1, float64(served))
		})
	}
}

// TestUnknownLimit guards against permits for an upstream whose limit isn't known.
func TestUnknownLimit(t *testing.T) {
	must.MapEmpty(t, New().Deal(time.Unix(1, 0), map[string]int{"u": 3}, true))
}

// TestProbeOfSparedUpstream guards against an upstream that is spared for good after it
// has stopped naming a limit, because other upstreams serve all requests and none of
// its answers says so; and against more than one such request at a time.
func TestProbeOfSparedUpstream(t *testing.T) {
	d := New()
	start := time.Unix(1000, 0)
	d.Learn(start, []fleet.NamedLimit{{RateLimit: fleet.RateLimit{Upstream: "u", Born: 1, PerSecond: 3}}})
	given := 0
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		must.MapEmpty(t, d.Deal(start.Add(at), nil, false))
		n := d.Deal(start.Add(at), nil, true)["u"]
		must.LessEq(t, 1, n)
		must.True(t, n == 0 || at > quota.StaleAfter)
		given += n
	}
	must.Between(t, 2, given, 4)
	d.Learn(start.Add(10*time.Second), []fleet.NamedLimit{{RateLimit: fleet.RateLimit{Upstream: "u", Born: 1, Lifted: true}}})
	must.MapEmpty(t, d.Deal(start.Add(15*time.Second), nil, true))
}
