package pacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
)

var (
	t0      = time.Unix(1_700_000_000, 0)
	domains = []string{"a", "b", "c"}
)

// newPacers returns n Pacers over the failure domains that know each other as
// owners.
func newPacers(n int, doms []string) []*Pacer {
	var owners []Owner
	for i := range n {
		owners = append(owners, Owner{fmt.Sprint("o", i), doms[i%len(doms)]})
	}
	ps := make([]*Pacer, n)
	for i := range ps {
		ps[i] = New(Settings{Owner: owners[i].Name, FailureDomain: owners[i].FailureDomain, FailureDomains: doms})
		ps[i].SetOwners(owners)
	}
	return ps
}

// exchange passes the status of each Pacer to all Pacers whose failure domain is
// in the same group.
func exchange(now time.Time, ps []*Pacer, group map[string]int) {
	for _, p := range ps {
		for _, q := range ps {
			if group[p.settings.FailureDomain] == group[q.settings.FailureDomain] {
				p.MarkReachable(now, q.settings.FailureDomain)
				p.SetPeerStatus(now, q.Status(now))
			}
		}
	}
}

// running returns the number of loads that all Pacers run.
func running(ps []*Pacer) (n int) {
	for _, p := range ps {
		n += len(p.running)
	}
	return n
}

// TestSharedLimit guards against exceeding the store's concurrency limit while
// each Pacer has a current status of the others, and against slots that stay
// idle while owners wait.
func TestSharedLimit(t *testing.T) {
	for _, n := range []int{1, 3, 4, 20} {
		ps := newPacers(n, domains)
		for i := range 40 {
			class := declare.Urgent
			if i%2 == 1 {
				class = declare.Background
			}
			ps[i%n].Enqueue(Load{ID: uint64(i), Class: class, Bytes: 5e9})
		}
		now, ended, idle := t0, 0, 0
		for step := 0; ended < 40; step++ {
			must.Less(t, 20_000, step, must.Sprintf("%d owners", n))
			now = now.Add(100 * time.Millisecond)
			for _, p := range ps {
				for id, r := range p.running {
					if now.Sub(r.startedAt) >= 5500*time.Millisecond {
						p.Finish(now, id, true)
						ended++
					}
				}
			}
			for _, p := range ps {
				exchange(now, ps, map[string]int{})
				p.Next(now)
			}
			must.LessEq(t, 4, running(ps))
			if running(ps) < 4 && ended+running(ps) < 40 {
				idle++
			}
		}
		must.Less(t, 60, idle, must.Sprintf("%d owners left slots idle in %d steps", n, idle))
	}
}

// TestUrgentFirst guards against urgent loads that wait behind background ones
// of the same or another owner, and against background loads that are never
// promoted.
func TestUrgentFirst(t *testing.T) {
	ps := newPacers(2, domains)
	ps[0].Enqueue(Load{ID: 1, Class: declare.Background, Deadline: t0.Add(time.Hour)})
	ps[1].Enqueue(Load{ID: 2, Class: declare.Urgent, Deadline: t0.Add(time.Minute)})
	ps[1].storeSpeed.usedShare = 0.25
	ps[0].storeSpeed.usedShare = 0.25
	for _, p := range ps {
		p.settings.FailureDomains = nil
	}
	exchange(t0, ps, map[string]int{})
	_, ok := ps[0].Next(t0)
	must.False(t, ok)
	l, ok := ps[1].Next(t0)
	must.True(t, ok)
	must.Eq(t, 2, l.ID)

	p := New(Settings{Owner: "o"})
	p.Enqueue(Load{ID: 1, Class: declare.Urgent, Deadline: t0.Add(time.Minute)})
	p.Enqueue(Load{ID: 2, Class: declare.Background, Deadline: t0.Add(10 * time.Second)})
	p.Enqueue(Load{ID: 2, Class: declare.Background})
	l, _ = p.Next(t0)
	must.Eq(t, 2, l.ID)
	must.Len(t, 1, p.waiting)
}

// TestPartition guards against failure domains that together exceed the limit
// while they can't reach each other, and against one that never gets a slot.
func TestPartition(t *testing.T) {
	for _, doms := range [][]string{domains, {"a", "b", "c", "d", "e", "f", "g", "h"}} {
		ps := newPacers(2*len(doms), doms)
		group := map[string]int{}
		for i, d := range doms {
			group[d] = i
		}
		for i, p := range ps {
			for j := range 3 {
				p.Enqueue(Load{ID: uint64(10*i + j), Class: declare.Urgent})
			}
		}
		used := map[string]bool{}
		for s := range 90 {
			now := t0.Add(time.Duration(s) * time.Second)
			sum := 0
			for i, p := range ps {
				exchange(now, ps, group)
				share := p.Share(now)
				must.Eq(t, len(doms)-1, share.UnreachableDomains)
				if i < len(doms) { // one of each failure domain
					slots, _ := p.reachableSlots(now, 4)
					sum += slots
					used[p.settings.FailureDomain] = used[p.settings.FailureDomain] || slots > 0
				}
			}
			must.LessEq(t, 4, sum)
		}
		must.MapLen(t, len(doms), used)
	}
}

// TestSlowStore guards against full concurrency on a slow store, and against
// concurrency that stays reduced once the store is fast again.
func TestSlowStore(t *testing.T) {
	p := New(Settings{Owner: "o"})
	now, id := t0, uint64(0)
	load := func(took time.Duration) {
		id++
		now = now.Add(time.Second)
		p.Enqueue(Load{ID: id, Bytes: 4e9})
		_, ok := p.Next(now)
		must.True(t, ok)
		now = now.Add(took)
		p.Finish(now, id, true)
	}
	for range 4 {
		load(4500 * time.Millisecond)
	}
	must.Eq(t, 4, p.Share(now).Loads)
	for range 6 {
		load(20 * time.Second)
	}
	must.Eq(t, 1, p.Share(now).Loads)
	must.Greater(t, 10*time.Second, p.storeSpeed.meanDuration)
	for range 20 {
		load(4500 * time.Millisecond)
	}
	must.Eq(t, 4, p.Share(now).Loads)
}

// TestAdapterLoads guards against owners that together exceed the limit of
// concurrent adapter loads.
func TestAdapterLoads(t *testing.T) {
	ps := newPacers(4, []string{"a"})
	for _, p := range ps {
		must.True(t, p.StartAdapterLoad(t0))
	}
	exchange(t0, ps, map[string]int{})
	n := 4
	for _, p := range ps {
		for p.StartAdapterLoad(t0) {
			n++
		}
	}
	must.Eq(t, 32, n)
	ps[0].EndAdapterLoad()
	must.True(t, ps[0].StartAdapterLoad(t0))
}

// BenchmarkShare measures Share over the number of owners.
func BenchmarkShare(b *testing.B) {
	for _, n := range []int{4, 32, 320} {
		b.Run(fmt.Sprintf("owners=%d", n), func(b *testing.B) {
			ps := newPacers(n, []string{"a", "b", "c", "d", "e", "f", "g", "h"})
			for i, p := range ps {
				p.Enqueue(Load{ID: uint64(i)})
				ps[0].MarkReachable(t0, p.settings.FailureDomain)
				ps[0].SetPeerStatus(t0, p.Status(t0))
			}
			b.ReportAllocs()
			for b.Loop() {
				ps[0].Share(t0)
			}
		})
	}
}
