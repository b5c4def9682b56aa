package faults

import (
	"time"

	"github.com/azurespan/azurespan/internal/check/mixed"
)

func networkScenarios() []Scenario {
	return []Scenario{
		{
			Name: "cut-domains", Covers: "I1 I3 I4 I5, failure domains cut off from each other", Requires: "0.9 of the load, through any daemon; each daemon after the cut",
			Run: func(env *Env) error {
				return env.cutUnderLoad(0.9, func() { env.cutDomains("north", "east") })
			},
		},
		{
			Name: "cut-one-way", Covers: "I1 I3 I4 I5, one direction cut", Requires: "0.9 of the load, through any daemon; each daemon after the cut",
			Run: func(env *Env) error {
				return env.cutUnderLoad(0.9, func() {
					env.cutOneWay("east", "north")
					env.noteFault("cut east>north")
				})
			},
		},
		{
			Name: "cut-domain-log", Covers: "I3 I5 I6, one domain cut off from the log only", Requires: "0.9 of the load; a chat at the cut daemon during the cut; each daemon after it",
			Run: func(env *Env) error {
				return env.cutUnderLoad(0.9, func() {
					env.cutPlatform("east", "log")
					env.sleep(time.Second)
					got := env.send(chatPlan(env.node(2), threeReplicaModel, "cut off from the log"))
					env.expect(got.Answered, "the daemon cut off from the log did not serve a loaded model: %s", got.Refusal)
				})
			},
		},
		{
			Name: "cut-domain-all", Covers: "I1 I3 I5, one domain cut off from everything", Requires: "models with a replica on the own side; a refusal with run no on the other side; each daemon after it",
			Run: cutFromAll,
		},
		{
			Name: "slow-links", Covers: "I3 I4, delayed traffic between domains and to the log", Requires: "0.98 of the load",
			Run: slowLinks,
		},
	}
}

// cutUnderLoad applies a cut under load and heals it three seconds after cut has
// returned. The load continues for one more second. Each daemon is expected to
// serve again afterwards.
func (env *Env) cutUnderLoad(share float64, cut func()) error {
	env.underLoad(env.backgroundLoad(10), share, func() {
		env.sleep(300 * time.Millisecond)
		cut()
		env.sleep(3 * time.Second)
		env.expect(env.net.HoldCount() > 0, "the cut held back no traffic")
		env.net.Heal()
		env.sleep(time.Second)
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

// Durations that follow from daemonTiming.
const (
	// peerContact is peer-timeout plus gossip-interval.
	peerContact = 1200 * time.Millisecond
	// suspicion is suspect-after plus gossip-interval.
	suspicion = 1200 * time.Millisecond
	// enginePoll is the report timeout of 1 s plus report-interval.
	enginePoll = 1200 * time.Millisecond
	// unreachableDeadline is the deadline of requests for a model whose replica
	// is on the other side of the cut.
	unreachableDeadline = 600 * time.Millisecond
	// requestCycle is unreachableDeadline plus an interval of 200 ms.
	requestCycle = unreachableDeadline + 200*time.Millisecond

	// detectionLimit is the time within which a failure domain that is cut off
	// from everything must consider the upstreams on the other side dead: three
	// consecutive contacts with peers, the suspicion, three polls of an engine,
	// and the request that observes it.
	detectionLimit = 3*peerContact + suspicion + 3*enginePoll + requestCycle
)

// cutFromAll cuts east off, and requests on both sides models with a replica
// limit of one that are loaded on one side or not at all.
func cutFromAll(env *Env) error {
	for m := 1; m <= 2; m++ {
		p := chatPlan(env.node(1+m%2), coldModel(m), "before the cut")
		p.Attempts = 5
		got := env.send(p)
		env.expect(got.Answered, "%s was not served before the cut: %s", p.Model, got.Refusal)
	}
	_, eastUpstreams := env.membersOf("east")
	inEast := func(model string) bool {
		h := env.lastLoadedOn(model)
		for _, u := range eastUpstreams {
			if u == h {
				return true
			}
		}
		return false
	}
	env.underLoad(env.backgroundLoad(6), 0.7, func() {
		env.cutDomains("east", "north")
		env.cutDomains("east", "south")
		env.cutPlatform("east", "log")
		env.cutPlatform("east", "hosts")
		began := time.Now()
		env.sleep(3 * time.Second)
		for _, m := range []string{oneReplicaModel, coldModel(1), coldModel(2)} {
			here, there := env.node(3), env.node(2)
			if inEast(m) {
				here, there = there, here
			}
			p := chatPlan(here, m, "on the side of the replica")
			p.Deadline = 1500 * time.Millisecond
			got := env.send(p)
			env.expect(got.Answered, "%s was not served at %s on the side of its replica: %s", m, here.Name, got.Refusal)
			// A request that was sent into the cut can only be refused with run
			// unknown. Once the daemon considers the other side unreachable, it
			// must refuse requests with run no.
			for {
				p = chatPlan(there, m, "on the other side")
				p.Deadline = unreachableDeadline
				got = env.send(p)
				env.expect(!got.Answered, "%s was served at %s, which can't reach its replica", m, there.Name)
				if got.Answered || got.Run == "no" {
					break
				}
				if time.Since(began) > detectionLimit {
					env.expect(false, "%s at %s %v after the cut: %s, run %q", m, there.Name, detectionLimit, got.Refusal, got.Run)
					break
				}
			}
		}
		// A model that is loaded nowhere can be loaded only on the side that
		// reaches the log.
		p := chatPlan(env.node(3), coldModel(7), "during the cut")
		p.Attempts = 3
		env.send(p)
		env.send(mixed.Plan{Kind: p.Kind, Model: coldModel(7), Prompt: "other side", Tokens: 8, FirstDaemon: env.node(2).Proc, Deadline: time.Second})
		env.net.Heal()
		env.sleep(time.Second)
	})
	env.expectServed(recoveryLimit, oneReplicaModel, threeReplicaModel)
	return nil
}

func slowLinks(env *Env) error {
	env.underLoad(env.backgroundLoad(10), 0.98, func() {
		env.sleep(300 * time.Millisecond)
		for _, n := range []int{1, 2, 3, 4} {
			name := env.node(n).Name
			env.net.Delay(name, "log", 80*time.Millisecond)
			env.net.Delay("log", name, 80*time.Millisecond)
			for _, m := range []int{1, 2, 3, 4} {
				if n != m {
					env.net.Delay(name, env.node(m).Name, 50*time.Millisecond)
				}
			}
		}
		env.noteFault("delay")
		env.sleep(4 * time.Second)
		env.net.Heal()
	})
	return nil
}
