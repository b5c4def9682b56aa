package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/hub"
)

// desk is beliefs with what it has handed on.
type desk struct {
	*topicView
	holder bool
	ups    []fleet.Upstream
	used   int
}

const (
	drain    = 2 * time.Second
	deadline = 3 * time.Second
)

func at(s float64) time.Time { return time.Unix(0, int64(s*float64(time.Second))) }

func newDesk() *desk {
	d := &desk{}
	d.topicView = newBeliefs(drain, deadline, at(100), func() bool { return d.holder }, func(_ time.Time, ups []fleet.Upstream) {
		d.ups = ups
		d.used++
	})
	return d
}

// reply is what a holder says that has read both topics at the time.
func reply(register, config int64, age time.Duration, ups ...fleet.Upstream) *hub.WatchReply {
	return &hub.WatchReply{
		Register: &roster.Update{AsOf: register, Age: age, Full: true, Put: ups},
		Config:   &hub.TopicState{AsOf: config, Age: age},
	}
}

// TestCallsOfAFleetInContact plays the load of many daemons that hear the
// holder: they make no calls to the log of their own, and each reads the
// configuration once when there is a new one.
func TestCallsOfAFleetInContact(t *testing.T) {
	d := newDesk()
	must.True(t, d.registerDue(at(100)) <= 0)
	must.True(t, d.configDue(at(100)) <= 0)
	d.readConfig(at(100), 5, 5)
	for s := 100.0; s < 160; s += 0.4 {
		d.Apply(at(s), reply(int64(10*s), 5, 300*time.Millisecond, fleet.Upstream{ID: "a"}))
		must.True(t, d.registerDue(at(s+0.4)) > 0)
		must.True(t, d.configDue(at(s+0.4)) > 0)
	}
	must.True(t, d.loaded())
	d.Apply(at(161), reply(1700, 6, 0, fleet.Upstream{ID: "a"}))
	must.True(t, d.configDue(at(161)) <= 0)
	d.readConfig(at(161.01), 6, 6)
	must.True(t, d.configDue(at(161.01)) > 0)
}

// TestSilentHolder answers the loss of the holder, or its own loss of the log:
// the daemon reads the topics itself before what it believes could break an
// agreed time.
func TestSilentHolder(t *testing.T) {
	d := newDesk()
	d.readConfig(at(100), 5, 5)
	d.Apply(at(100), reply(10, 5, 0, fleet.Upstream{ID: "a"}))
	register, config := d.registerDue(at(100)), d.configDue(at(100))
	must.Between(t, drain/2, register, drain*3/4)
	must.Between(t, deadline/2, config, deadline*3/4)
	// The age of what is told counts, not when it is told.
	d.Apply(at(101), reply(10, 5, time.Second, fleet.Upstream{ID: "a"}))
	must.Eq(t, register, d.registerDue(at(100)))
	must.Eq(t, config, d.configDue(at(100)))
	// News of a holder that knows nothing itself are none.
	d.Apply(at(102), &hub.WatchReply{})
	must.True(t, d.registerDue(at(102)) <= 0)
	must.True(t, d.configDue(at(102)) <= 0)
}

// TestHolderReadsForAll guards against a holder that relies on what it was told
// before: it reads both topics at its own pace.
func TestHolderReadsForAll(t *testing.T) {
	d := newDesk()
	d.readConfig(at(100), 5, 5)
	d.Apply(at(100), reply(10, 5, 0))
	must.Eq(t, configWait, d.configWait())
	d.holder = true
	must.Eq(t, holderEvery, d.registerDue(at(100)))
	must.Eq(t, 0, d.configDue(at(100)))
	must.Eq(t, holderConfigWait, d.configWait())
	must.Eq(t, int64(5), d.Config(at(100.2)).AsOf)
	must.Eq(t, 200*time.Millisecond, d.Config(at(100.2)).Age)
}

// TestFirstStartOfManyDaemons plays the load of a fleet that starts at once: the
// holder reads the register, and the others wait for its word a while.
func TestFirstStartOfManyDaemons(t *testing.T) {
	d := newDesk()
	d.firstRead = at(103)
	must.True(t, d.registerDue(at(102.9)) > 0)
	must.True(t, d.registerDue(at(103)) <= 0)
	d.holder = true
	must.True(t, d.registerDue(at(100)) <= 0)
	d.holder = false
	d.Apply(at(101), reply(10, 5, 0))
	must.True(t, d.registerDue(at(102)) > 0)
	must.True(t, d.registerDue(at(103)) <= 0)
}

// TestPartialReadIsNotFresh guards against a daemon that takes the part of a
// topic that one answer holds for all of it.
func TestPartialReadIsNotFresh(t *testing.T) {
	d := newDesk()
	d.readConfig(at(100), 5, 9)
	must.Nil(t, d.Config(at(100)))
	must.True(t, d.configDue(at(100)) <= 0)
	d.readConfig(at(101), 9, 9)
	must.True(t, d.configDue(at(101)) > 0)
}

// TestUsedOnlyWhenChanged guards against work in each daemon that grows with
// the number of upstreams and the rate of their entries.
func TestUsedOnlyWhenChanged(t *testing.T) {
	d := newDesk()
	d.Apply(at(100), reply(10, 5, 0, fleet.Upstream{ID: "a"}))
	must.Eq(t, 1, d.used)
	for s := 101.0; s < 120; s++ {
		d.Apply(at(s), &hub.WatchReply{Register: &roster.Update{AsOf: int64(s)}})
	}
	must.Eq(t, 1, d.used)
	d.Apply(at(121), &hub.WatchReply{Register: &roster.Update{AsOf: 130, Put: []fleet.Upstream{{ID: "a", Leaving: true}}}})
	must.Eq(t, 2, d.used)
	must.True(t, d.ups[0].Leaving)
	register, _ := d.KnownOffsets()
	must.Eq(t, int64(130), register)
}
