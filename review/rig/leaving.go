package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// An engine leaves. It says so in all its answers, but never reports
// draining: its entry is removed, and it serves on for a while. A status report that it
// sent before, and that the store didn't answer, is carried out seconds later, so that the
// entry stands in the register once more until it expires. Then the replica exits.
const (
	// One of leavingEngines leaves: 0.25, the largest share of scale_in in figtray-coop.toml.
	leavingEngines = 4
	// leavingClients is the number of streams in progress, 83 % of the slots of the others.
	leavingClients = 120
	leavingPieces  = 40
	leavingGap     = 75 * time.Millisecond
	// leavesAt is when the replica begins to leave, and removedAfter when its entry is
	// removed.
	leavesAt     = 6 * time.Second
	removedAfter = 500 * time.Millisecond
	// lateAfter is when the late report is carried out, 4 s after it was sent; the pages
	// have up to 6 s.
	lateAfter = 3500 * time.Millisecond
	// expiresAfter is three intervals of status reports.
	expiresAfter = lateAfter + 3*beatInterval
	// exitsAfter is when the replica exits: drainMs after its leaving and some seconds,
	// which the pages allow.
	exitsAfter = 6 * time.Second
	drain      = 2 * time.Second
)

func init() { cases["leaving"] = runLeaving }

func runLeaving(d *deployment) (bool, error) {
	var leaving atomic.Bool
	// passedOn is when the daemon first passed on an answer that says that the replica
	// leaves, and sent when a request was sent, by ID.
	var mu sync.Mutex
	var passedOn time.Time
	sent := map[string]time.Time{}
	late := map[string]bool{}
	var replicas []*replica
	for n := range leavingEngines {
		r, err := newReplica(d.store, d.rec, fmt.Sprintf("i-engine%d", n), "assistant", 48, []string{model}, func(c *conn, q *request) bool {
			c.replica.ran(q.id)
			says := ""
			if c.replica.id == "i-engine0" && leaving.Load() {
				says = "Server-Leaving: 1\r\n"
				mu.Lock()
				if !passedOn.IsZero() && sent[q.id].After(passedOn.Add(drain)) {
					late[q.id] = true
					d.rec.logf("replica %s, which said that it leaves: gets %s, sent %v after an answer with Server-Leaving was passed on", c.replica.id, q.id, sent[q.id].Sub(passedOn))
				}
				mu.Unlock()
			}
			d.rec.logf("replica %s: runs %s", c.replica.id, q.id)
			return c.writeStream(q, leavingPieces, leavingGap, says)
		})
		if err != nil {
			return false, err
		}
		defer r.end()
		replicas = append(replicas, r)
	}
	d.store.put(configTopic, "config", configuration(7))
	if _, err := d.platform.add(memoryLimitMB); err != nil {
		return false, err
	}
	if !d.platform.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	began := time.Now()
	var steps sync.WaitGroup
	steps.Go(func() {
		r := replicas[0]
		step := func(after time.Duration, what string, f func()) {
			time.Sleep(time.Until(began.Add(leavesAt + after)))
			d.rec.sayf("replica %s: %s", r.id, what)
			f()
		}
		report := r.entry("ready")
		step(0, "begins to leave, and says so in its answers", func() { leaving.Store(true) })
		step(removedAfter, "its entry is removed", r.leaveRegister)
		if d.trouble {
			step(lateAfter, "a status report from before is carried out late", func() { d.store.put(registerTopic, r.id, report) })
		}
		step(exitsAfter, "exits", r.end)
		if d.trouble {
			step(expiresAfter, "its entry expires", func() { d.store.put(registerTopic, r.id, nil) })
		}
	})
	var served, lost, ranLost atomic.Int64
	var wg sync.WaitGroup
	for n := range leavingClients {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * leavingPieces * leavingGap / leavingClients)
			c := &client{address: d.platform.daemons[0].front()}
			defer c.close()
			for time.Since(began) < leavesAt+exitsAfter+time.Second {
				id := newID()
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				d.rec.logf("a client sends %s", id)
				onHead := func(h http.Header) {
					mu.Lock()
					defer mu.Unlock()
					if h.Get("Server-Leaving") == "1" && passedOn.IsZero() {
						passedOn = time.Now()
						d.rec.logf("%s: the daemon has passed on an answer with Server-Leaving", id)
					}
				}
				r := c.send(ask{id: id, method: "POST", path: summaryPath + "x", deadline: 20 * time.Second, headers: streamHeaders(id), body: "prompt", onHead: onHead})
				d.rec.logf("%s: %s, leaving %q", id, r.outcome(), r.header.Get("Server-Leaving"))
				switch {
				case r.status == 200 && r.err == nil:
					served.Add(1)
				default:
					lost.Add(1)
					if replicas[0].ran(id) > 1 {
						ranLost.Add(1)
					}
				}
			}
		})
	}
	wg.Wait()
	steps.Wait()
	mu.Lock()
	defer mu.Unlock()
	if passedOn.IsZero() {
		return false, fmt.Errorf("no answer with Server-Leaving was passed on")
	}
	d.rec.sayf("streams served %d, not served %d, of these broken off by the end of the replica that left %d", served.Load(), lost.Load(), ranLost.Load())
	d.rec.sayf("DRAIN: requests that were sent later than drainMs after the daemon had passed on Server-Leaving, and reached that replica: %d", len(late))
	return len(late) == 0, nil
}
