package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/member"
)

// network connects Gossips in memory; cut holds addresses that can't be reached.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Gossip
	cut   map[string]bool
	calls int
}

var errCut = errors.New("cut under test")

func (n *network) Call(_ context.Context, address, _ string, args, reply any) error {
	n.mu.Lock()
	g, cut := n.nodes[address], n.cut[address]
	n.calls++
	n.mu.Unlock()
	if cut || g == nil {
		return errCut
	}
	*reply.(*Message) = g.Exchange(time.Now(), args.(Message))
	return nil
}

func (n *network) Drop(string) {}

// connect starts count daemons in three failure domains, without their loops,
// and lets them meet.
func connect(t *testing.T, count int) (*network, []*Gossip) {
	t.Helper()
	n := &network{nodes: map[string]*Gossip{}, cut: map[string]bool{}}
	var all []*Gossip
	for i := range count {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		self := member.Fact{Name: fmt.Sprintf("d%02d", i), Domain: fmt.Sprintf("x%d", i%3), Address: address}
		g := New(time.Now(), self, member.Settings{}, Settings{Seeds: []string{"10.0.0.1:1"}}, n,
			rand.New(rand.NewPCG(1, uint64(i))), func() uint64 { return 0 }, func(time.Time, []member.Fact) {})
		n.nodes[address] = g
		all = append(all, g)
	}
	for round := range 40 {
		for _, g := range all {
			g.round(t.Context(), time.Now(), round)
		}
	}
	for _, g := range all {
		must.Len(t, count, g.Live(""))
	}
	return n, all
}

// TestAlarm guards against a daemon that still does not know of a request that
// crashes upstreams after one exchange of the daemon that saw it and one of the
// others.
func TestAlarm(t *testing.T) {
	_, all := connect(t, 12)
	f := member.Fact{Kind: member.SuspectRequest, Name: "bad", Status: member.Suspect, Crashes: []member.Crash{{ID: "u/1", AtMS: 1}}}
	all[4].Report(time.Now(), f)
	all[4].round(t.Context(), time.Now(), kicked)
	for range 2 {
		for _, g := range all {
			g.round(t.Context(), time.Now(), kicked)
		}
	}
	for i, g := range all {
		g.Do(func(m *member.Set) {
			_, ok := m.Get(f.Key())
			must.True(t, ok, must.Sprintf("daemon %d", i))
		})
	}
}

// TestHeal guards against a daemon that stays dead for the others after a cut
// has healed.
func TestHeal(t *testing.T) {
	n, all := connect(t, 6)
	n.cut["10.0.0.4:1"] = true
	for round := range 20 {
		for i, g := range all {
			if i != 3 {
				g.round(t.Context(), time.Now(), round)
				g.tick(time.Now().Add(time.Duration(round) * time.Second))
			}
		}
	}
	for i, g := range all {
		if i != 3 {
			must.Len(t, 5, g.Live(""), must.Sprintf("daemon %d", i))
		}
	}
	n.cut["10.0.0.4:1"] = false
	for round := range 40 {
		for _, g := range all {
			g.round(t.Context(), time.Now(), round)
		}
	}
	for i, g := range all {
		must.Len(t, 6, g.Live(""), must.Sprintf("daemon %d", i))
	}
}
