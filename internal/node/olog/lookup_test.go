package olog

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/origin"
)

// TestLookup guards against a lookup that reads the log, which is a megabyte at the
// largest deployment, although the holder knows the stream, or that doesn't although the
// holder doesn't know it or can't be asked.
func TestLookup(t *testing.T) {
	stream := origin.Stream{ID: 1, Service: "s", Version: "v2"}
	for _, c := range []struct {
		name                     string
		asks, holder, log, found bool
		away                     bool
		deafFor                  int
		id                       uint64
		reads                    int
	}{
		{name: "holder knows", asks: true, holder: true, found: true, id: 1},
		{name: "holder knows, log away", asks: true, holder: true, away: true, found: true, id: 1},
		{name: "holder back in a moment, log away", asks: true, holder: true, away: true, deafFor: 1, found: true, id: 1, reads: 1},
		{name: "only the log knows", asks: true, log: true, found: true, id: 1, reads: 1},
		{name: "nobody knows", asks: true, id: 1, reads: 1},
		{name: "no holder", log: true, found: true, id: 1, reads: 1},
		{name: "no holder, nobody knows", id: 1, reads: lookups},
		{name: "no holder, log away", away: true, id: 1, reads: 1},
		{name: "unnamed", asks: true, holder: true, id: 0, reads: lookups},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				topic, now := newSite()
				holder := newDaemon(topic, "h", now, "v1", "v2")
				holder.holds = true
				holder.run(t)
				if c.log || c.holder {
					holder.table.Learn(*now, []origin.Stream{stream})
				}
				if c.log {
					holder.run(t)
				}
				if !c.holder {
					holder = newDaemon(topic, "other", now, "v1", "v2")
				}
				d := newDaemon(topic, "d", now, "v1", "v2")
				if c.asks {
					d.other, d.deafFor = holder, c.deafFor
				}
				if c.away {
					topic.err = errUnavailable
				}
				reads := topic.reads
				known := func() bool {
					s, ok := d.table.Origin(1)
					return ok && s == stream
				}
				err := d.Lookup(t.Context(), c.id, known)
				must.Eq(t, c.found, known())
				must.Eq(t, c.away && !c.found, err != nil)
				must.Eq(t, c.reads, topic.reads-reads)
				must.Eq(t, c.asks && c.id != 0, d.asked > 0)
			})
		})
	}
}
