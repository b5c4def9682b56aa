package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// A replica of a resumable stream stops in the middle of an event, in one of twenty of its
// answers: the body ends there as a body in chunks does. The other replica could go on.
const (
	eventStreams = 400
	eventClients = 20
	eventPieces  = 20
	eventGap     = 10 * time.Millisecond
	// stopAt is the event within which the faulty replica stops.
	stopAt = 7
	// stopEvery is the number of answers of which one is broken off: 5 in 100, the
	// largest share of garble in figtray-coop.toml.
	stopEvery = 20
	// stopFor is how long it does so, for_s of that garble.
	stopFor = 5 * time.Second
)

func init() { cases["event"] = runEvent }

func runEvent(d *deployment) (bool, error) {
	var answers, stopped atomic.Int64
	var until atomic.Pointer[time.Time]
	for n := range 2 {
		faulty := n == 0 && d.trouble
		r, err := newReplica(d.store, d.rec, fmt.Sprintf("i-engine%d", n), "assistant", 48, []string{model}, func(c *conn, q *request) bool {
			d.rec.logf("replica %s: runs %s from event %d on", c.replica.id, q.id, q.after()+1)
			if end := until.Load(); !faulty || end == nil || time.Now().After(*end) || q.after() >= stopAt || answers.Add(1)%stopEvery != 0 {
				return c.writeStream(q, eventPieces, eventGap)
			}
			_, _ = io.WriteString(c, q.streamHead(c))
			for n := q.after() + 1; n < stopAt; n++ {
				time.Sleep(eventGap)
				_ = c.writeChunk(event(q, n))
			}
			half := event(q, stopAt)
			_ = c.writeChunk(half[:len(half)/2])
			_, _ = io.WriteString(c, "0\r\n\r\n")
			stopped.Add(1)
			d.rec.logf("replica %s: stops in the middle of event %d of %s", c.replica.id, stopAt, q.id)
			return true
		})
		if err != nil {
			return false, err
		}
		defer r.end()
	}
	d.store.put(configTopic, "config", configuration(7))
	if _, err := d.platform.add(memoryLimitMB); err != nil {
		return false, err
	}
	if !d.platform.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(stopFor)
	until.Store(&end)
	var whole, short, other atomic.Int64
	var next atomic.Int64
	var wg sync.WaitGroup
	for range eventClients {
		wg.Go(func() {
			c := &client{address: d.platform.daemons[0].front()}
			defer c.close()
			for next.Add(1) <= eventStreams {
				id := newID()
				d.rec.logf("a client sends %s", id)
				r := c.send(ask{id: id, method: "POST", path: streamPath + "x", deadline: 12 * time.Second, headers: streamHeaders(id), body: "prompt"})
				want := ""
				for n := range eventPieces {
					want += event(&request{id: id}, n+1)
				}
				switch {
				case r.status != 200 || r.err != nil:
					other.Add(1)
					d.rec.logf("%s: %s", id, r.outcome())
				case r.body == want:
					whole.Add(1)
					d.rec.logf("%s: %s", id, r.outcome())
				default:
					short.Add(1)
					d.rec.logf("%s: %s, but pieces are missing; its end is %q", id, r.outcome(), r.body[max(0, len(r.body)-40):])
				}
			}
		})
	}
	wg.Wait()
	d.rec.sayf("streams: %d whole, %d not answered with a whole answer, %d broken off by their replica in the middle of an event", whole.Load(), other.Load(), stopped.Load())
	d.rec.sayf("ORDER: streams that end as complete before their last piece: %d", short.Load())
	if d.trouble && stopped.Load() == 0 {
		return false, fmt.Errorf("no answer was broken off")
	}
	return short.Load() == 0, nil
}
