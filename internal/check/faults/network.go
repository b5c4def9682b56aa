package faults

import (
	"time"

	"github.com/azurespan/azurespan/internal/check/mixed"
)

func networkScenarios() []Scenario {
	return []Scenario{
		{
			Name: "cut-domains", Covers: "I1 I3 I4 I5, failure domains cut off from each other", Must: "0.9 of the load, through any daemon; each daemon after the cut",
			Run: func(w *World) error {
				return w.around(0.9, func() { w.cut("north", "east") })
			},
		},
		{
			Name: "cut-one-way", Covers: "I1 I3 I4 I5, one direction cut", Must: "0.9 of the load, through any daemon; each daemon after the cut",
			Run: func(w *World) error {
				return w.around(0.9, func() {
					w.oneWay("east", "north")
					w.induce("cut east>north")
				})
			},
		},
		{
			Name: "cut-domain-log", Covers: "I3 I5 I6, one domain cut off from the log only", Must: "0.9 of the load; a chat at the cut daemon during the cut; each daemon after it",
			Run: func(w *World) error {
				return w.around(0.9, func() {
					w.cutPlatform("east", "log")
					w.sleep(time.Second)
					got := w.ask(chat(w.node(2), trio, "cut off from the log"))
					w.must(got.Answered, "the daemon cut off from the log did not serve a loaded model: %s", got.Refusal)
				})
			},
		},
		{
			Name: "cut-domain-all", Covers: "I1 I3 I5, one domain cut off from everything", Must: "models with a replica on the own side; a refusal with run no on the other side; each daemon after it",
			Run: cutFromAll,
		},
		{
			Name: "slow-links", Covers: "I3 I4, delayed traffic between domains and to the log", Must: "0.98 of the load",
			Run: slowLinks,
		},
	}
}

// around applies a cut for four seconds under load, and requires that each
// daemon serves after it.
func (w *World) around(share float64, cut func()) error {
	w.during(w.mix(10), share, func() {
		w.sleep(300 * time.Millisecond)
		cut()
		w.sleep(3 * time.Second)
		w.must(w.net.Held() > 0, "no traffic was held up by the cut")
		w.net.Heal()
		w.sleep(time.Second)
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

// cutKnown is the time in which a failure domain that is cut off from
// everything must find the upstreams on the other side dead. It follows from
// the scenarios' settings: three contacts in turn (peer-timeout and
// gossip-interval each), suspect-after and one interval, three polls of an
// engine (the report timeout of 1 s and report-interval each), and the deadline
// and interval of the request that finds out.
const cutKnown = 3*1200*time.Millisecond + 1200*time.Millisecond + 3*1200*time.Millisecond + 800*time.Millisecond

// cutFromAll separates east, and asks on both sides for models with a replica
// limit of one that are loaded on one side or nowhere.
func cutFromAll(w *World) error {
	for m := 1; m <= 2; m++ {
		p := chat(w.node(1+m%2), coldName(m), "before the cut")
		p.Attempts = 5
		got := w.ask(p)
		w.must(got.Answered, "%s was not served before the cut: %s", p.Model, got.Refusal)
	}
	_, eastern := w.inDomain("east")
	inEast := func(model string) bool {
		h := w.lastAt(model)
		for _, u := range eastern {
			if u == h {
				return true
			}
		}
		return false
	}
	w.during(w.mix(6), 0.7, func() {
		w.cut("east", "north")
		w.cut("east", "south")
		w.cutPlatform("east", "log")
		w.cutPlatform("east", "hosts")
		began := time.Now()
		w.sleep(3 * time.Second)
		for _, m := range []string{solo, coldName(1), coldName(2)} {
			here, there := w.node(3), w.node(2)
			if inEast(m) {
				here, there = there, here
			}
			p := chat(here, m, "on the side of the replica")
			p.Deadline = 1500 * time.Millisecond
			got := w.ask(p)
			w.must(got.Answered, "%s was not served at %s on the side of its replica: %s", m, here.Name, got.Refusal)
			// A request on its way into the cut can only end with run unknown,
			// until the daemon knows that the other side can't be reached.
			for {
				p = chat(there, m, "on the other side")
				p.Deadline = 600 * time.Millisecond
				got = w.ask(p)
				w.must(!got.Answered, "%s was served at %s, which can't reach its replica", m, there.Name)
				if got.Answered || got.Run == "no" {
					break
				}
				if time.Since(began) > cutKnown {
					w.must(false, "%s at %s %v after the cut: %s, run %q", m, there.Name, cutKnown, got.Refusal, got.Run)
					break
				}
			}
		}
		// A model that is loaded nowhere may be loaded on the side of the log.
		p := chat(w.node(3), coldName(7), "during the cut")
		p.Attempts = 3
		w.ask(p)
		w.ask(mixed.Plan{Kind: p.Kind, Model: coldName(7), Prompt: "other side", Tokens: 8, First: w.node(2).Proc, Deadline: time.Second})
		w.net.Heal()
		w.sleep(time.Second)
	})
	w.probe(5*time.Second, solo, trio)
	return nil
}

func slowLinks(w *World) error {
	w.during(w.mix(10), 0.98, func() {
		w.sleep(300 * time.Millisecond)
		for _, n := range []int{1, 2, 3, 4} {
			name := w.node(n).Name
			w.net.Delay(name, "log", 80*time.Millisecond)
			w.net.Delay("log", name, 80*time.Millisecond)
			for _, m := range []int{1, 2, 3, 4} {
				if n != m {
					w.net.Delay(name, w.node(m).Name, 50*time.Millisecond)
				}
			}
		}
		w.induce("delay")
		w.sleep(4 * time.Second)
		w.net.Heal()
	})
	return nil
}
