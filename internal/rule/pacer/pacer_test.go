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

// fleet returns n pacers over the failure domains, all of which hear all.
func fleet(n int, doms []string) []*Pacer {
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

// exchange lets all pacers in the same group of failure domains hear each
// other.
func exchange(now time.Time, ps []*Pacer, group map[string]int) {
	for _, p := range ps {
		for _, q := range ps {
			if group[p.s.FailureDomain] == group[q.s.FailureDomain] {
				p.MarkReachable(now, q.s.FailureDomain)
				p.SetPeerStatus(now, q.Status(now))
			}
		}
	}
}

func running(ps []*Pacer) (n int) {
	for _, p := range ps {
		n += len(p.running)
	}
	return n
}

// TestSharedLimit guards against more loads at once than the store takes while
// news is fresh, against places that stay empty while owners wait, and against
// background loads ahead of urgent ones.
func TestSharedLimit(t *testing.T) {
	for _, n := range []int{1, 3, 4, 20} {
		ps := fleet(n, domains)
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
					if now.Sub(r.at) >= 5500*time.Millisecond {
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
		must.Less(t, 60, idle, must.Sprintf("%d owners left places empty in %d steps", n, idle))
	}
}

// TestUrgentFirst guards against urgent wakes behind background ones, also
// between owners, and against background loads that are never promoted.
func TestUrgentFirst(t *testing.T) {
	ps := fleet(2, domains)
	ps[0].Enqueue(Load{ID: 1, Class: declare.Background, Deadline: t0.Add(time.Hour)})
	ps[1].Enqueue(Load{ID: 2, Class: declare.Urgent, Deadline: t0.Add(time.Minute)})
	ps[1].speed.factor = 0.25
	ps[0].speed.factor = 0.25
	for _, p := range ps {
		p.s.FailureDomains = nil
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
// while they can't hear each other, and against one that may never load.
func TestPartition(t *testing.T) {
	for _, doms := range [][]string{domains, {"a", "b", "c", "d", "e", "f", "g", "h"}} {
		ps := fleet(2*len(doms), doms)
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
					places, _ := p.reachable(now, 4)
					sum += places
					used[p.s.FailureDomain] = used[p.s.FailureDomain] || places > 0
				}
			}
			must.LessEq(t, 4, sum)
		}
		must.MapLen(t, len(doms), used)
	}
}

// TestSlowStore guards against keeping full concurrency on a slow store, and
// against never raising it again.
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
	must.Greater(t, 10*time.Second, p.speed.mean)
	for range 20 {
		load(4500 * time.Millisecond)
	}
	must.Eq(t, 4, p.Share(now).Loads)
}

// TestAdapters guards against more adapter loads than the owners' shares.
func TestAdapters(t *testing.T) {
	ps := fleet(4, []string{"a"})
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

func BenchmarkShare(b *testing.B) {
	for _, n := range []int{4, 32, 320} {
		b.Run(fmt.Sprintf("owners=%d", n), func(b *testing.B) {
			ps := fleet(n, []string{"a", "b", "c", "d", "e", "f", "g", "h"})
			for i, p := range ps {
				p.Enqueue(Load{ID: uint64(i)})
				ps[0].MarkReachable(t0, p.s.FailureDomain)
				ps[0].SetPeerStatus(t0, p.Status(t0))
			}
			b.ReportAllocs()
			for b.Loop() {
				ps[0].Share(t0)
			}
		})
	}
}
