package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Three of four engines crash, one after the other, and start again under the id that they
// had, with a new software version. Meanwhile one daemon of three is cut off from the store
// and from the others, while clients and engines reach it.
const (
	// versionClients are at the daemon that is cut off, and otherClients at the other one,
	// whose demand has the model loaded again where it is missing.
	versionClients = 72
	otherClients   = 100
	versionPieces  = 80
	versionGap     = 50 * time.Millisecond
	// cutAt and cutFor are the cut; figtray-coop.toml has node_cut for up to 12 s.
	cutAt  = 6 * time.Second
	cutFor = 11 * time.Second
	// crashesAt is the first crash, crashGap the time to the next one.
	crashesAt = cutAt + time.Second
	crashGap  = 4 * time.Second
	// versionEngines has each crash strike 0.25 of the engines, the largest share of
	// srv_crash in figtray-coop.toml; it lasts up to 4.5 s there.
	versionEngines = 4
	versionDown    = 300 * time.Millisecond
	// joinedAllowed is the number of streams that the rule allows.
	joinedAllowed = 2
)

func init() { cases["version"] = runVersion }

func runVersion(d *deployment) (bool, error) {
	var engines []*replica
	for n := range versionEngines {
		r, err := newReplica(d.store, d.rec, fmt.Sprintf("i-engine%d", n), "assistant", 48, []string{model}, func(c *conn, q *request) bool {
			c.replica.mu.Lock()
			version := c.replica.version
			c.replica.mu.Unlock()
			d.rec.logf("replica %s, version %s: runs %s from event %d on", c.replica.id, version, q.id, q.after()+1)
			return c.writeStreamOf(q, versionPieces, versionGap, version)
		})
		if err != nil {
			return false, err
		}
		defer r.end()
		engines = append(engines, r)
	}
	d.store.put(configTopic, "config", configuration(7))
	holder, err := d.platform.add(memoryLimitMB)
	if err != nil {
		return false, err
	}
	if !d.platform.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	time.Sleep(2 * time.Second)
	if _, err := d.platform.add(memoryLimitMB); err != nil {
		return false, err
	}
	if !d.platform.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	time.Sleep(2 * time.Second)
	var path gate
	peer := holder.ip + ":7380"
	way, err := relay(&path, peer)
	if err != nil {
		return false, err
	}
	door, err := newDoor(d.store, &path)
	if err != nil {
		return false, err
	}
	door.replace = strings.NewReplacer(`"`+peer+`"`, `"`+way+`"`)
	cut, err := d.platform.addAt(memoryLimitMB, door.address)
	if err != nil {
		return false, err
	}
	if !d.platform.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	var steps sync.WaitGroup
	at := func(when time.Duration, what string, f func()) {
		steps.Go(func() {
			time.Sleep(time.Until(began.Add(when)))
			d.rec.sayf("%s", what)
			f()
		})
	}
	// CUT=0 leaves out the cut alone.
	if d.trouble && os.Getenv("CUT") != "0" {
		at(cutAt, cut.name+" is cut off from the store and the other daemon", func() { path.set(true) })
		at(cutAt+cutFor, cut.name+" is no longer cut off", func() { path.set(false) })
	}
	for n := range versionEngines - 1 {
		if !d.trouble {
			break
		}
		at(crashesAt+time.Duration(n)*crashGap, engines[n].id+" crashes and starts again with version v2", func() {
			if err := engines[n].restart(versionDown, "v2"); err != nil {
				d.rec.sayf("%s does not start: %v", engines[n].id, err)
			}
		})
	}
	var whole, failed, joined atomic.Int64
	var wg sync.WaitGroup
	for n := range versionClients + otherClients {
		wg.Go(func() {
			c := &client{address: cut.front()}
			if n >= versionClients {
				c.address = holder.front()
			}
			defer c.close()
			time.Sleep(time.Duration(n%versionClients) * 50 * time.Millisecond)
			for time.Since(began) < cutAt+cutFor {
				id := newID()
				d.rec.logf("client %d sends %s", n, id)
				r := c.send(ask{id: id, method: "POST", path: streamPath + "x", deadline: 12 * time.Second, headers: streamHeaders(id), body: "prompt"})
				one, two := strings.Count(r.body, " of v1\n"), strings.Count(r.body, " of v2\n")
				d.rec.logf("client %d: %s: %s, %d events of v1, %d events of v2", n, id, r.outcome(), one, two)
				switch {
				case one > 0 && two > 0:
					joined.Add(1)
				case r.status == 200 && r.err == nil:
					whole.Add(1)
				default:
					failed.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	steps.Wait()
	d.rec.sayf("streams: %d whole, %d failed", whole.Load(), failed.Load())
	d.rec.sayf("ORDER: streams that hold events of two software versions in one answer: %d (more than %d break the rule)", joined.Load(), joinedAllowed)
	return joined.Load() <= joinedAllowed, nil
}
