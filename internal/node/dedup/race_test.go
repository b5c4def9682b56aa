package dedup

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	claimIn struct {
		kind string
		key  string
	}
	claimOut struct {
		granted, replayed bool
		id                claims.ID
	}
	// register is the state of one key.
	register struct {
		id   claims.ID
		done bool
	}
)

// claimModel specifies one key: a claim is granted only if the key is free, and a
// response is replayed only if the claim that holds the key has one. A refusal is
// always allowed.
var claimModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			by[o.Input.(claimIn).key] = append(by[o.Input.(claimIn).key], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return register{} },
	Step: func(state, in, out any) (bool, any) {
		s, o := state.(register), out.(claimOut)
		switch in.(claimIn).kind {
		case "claim":
			switch {
			case o.granted:
				return s.id.IsZero(), register{id: o.id}
			case o.replayed:
				return s.done && s.id == o.id, s
			}
			return true, s
		case "done":
			return s.id == o.id && !s.done, register{id: o.id, done: true}
		default:
			return s.id == o.id && !s.done, register{}
		}
	},
}

// TestRace guards against two grants of a key while two servers take the
// partition from each other, the log loses replies and log calls fail. Each
// grant ends in a response or a withdrawal, and the history must be
// linearizable.
func TestRace(t *testing.T) {
	l := newMemLog()
	now := l.advance(0)
	links := []*memLink{l.link(), l.link()}
	servers := []*Server{start(t, links[0], "h/1"), start(t, links[1], "h/2")}
	first := newKey(now)
	keys := []string{first}
	for len(keys) < 24 {
		if k := newKey(now); partitionOf(t, k) == partitionOf(t, first) {
			keys = append(keys, k)
		}
	}
	part := partitionOf(t, first)
	take(t, servers[0], first)
	var mu sync.Mutex
	var ops []porcupine.Operation
	began := time.Now()
	record := func(client int, in claimIn, from time.Duration, out claimOut) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(from), Output: out, Return: int64(time.Since(began))})
	}
	for _, k := range servers {
		k.assign(part, true)
	}
	var wg sync.WaitGroup
	for w := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 150 {
				key := keys[(i*7+w*5)%len(keys)]
				links[w%2].set(func(l *memLink) { l.loseReply, l.down = i%5 == 0, i%11 == 3 })
				k := servers[(w+i)%2]
				from := time.Since(began)
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
				d, err := k.Claim(ctx, now, ClaimArgs{Key: key, Digest: claims.Digest{1}})
				cancel()
				if err != nil {
					time.Sleep(200 * time.Microsecond)
					continue
				}
				record(w, claimIn{"claim", key}, from, claimOut{d.State == Granted, d.State == Replayed, d.ID})
				if d.State != Granted {
					continue
				}
				// The response or withdrawal may take effect at any time from
				// now on, because a failed call may still do so later.
				kind, from := "withdraw", time.Since(began)
				if i%8 == 0 {
					kind = "done"
				}
				err = errDown
				for try := 0; err != nil && try < 10; try++ {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
					if kind == "done" {
						err = servers[try%2].Done(ctx, now, DoneArgs{Key: key, ID: d.ID, Answer: claims.StoredResponse{Status: 200}})
					} else {
						err = servers[try%2].Withdraw(ctx, now, WithdrawArgs{Key: key, ID: d.ID})
					}
					cancel()
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: 100 + len(ops), Input: claimIn{kind, key}, Call: int64(from), Output: claimOut{id: d.ID}, Return: int64(time.Hour)})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, ops, eventTimeout))
	grants := 0
	for _, o := range ops {
		if o.Output.(claimOut).granted {
			grants++
		}
	}
	must.Positive(t, grants)
	t.Logf("%d operations, %d grants, %d appends", len(ops), grants, l.appendCount())
}
