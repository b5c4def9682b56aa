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

// network connects Gossips in memory.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*Gossip
	unreachable map[string]bool // by address
	calls       int
}

// meetRounds is a number of rounds after which all daemons know each other.
const meetRounds = 40

var errUnreachable = errors.New("unreachable in this test")

func (n *network) Call(_ context.Context, address, _ string, args, reply any) error {
	n.mu.Lock()
	g, unreachable := n.nodes[address], n.unreachable[address]
	n.calls++
	n.mu.Unlock()
	if unreachable || g == nil {
		return errUnreachable
	}
	*reply.(*Message) = g.Exchange(time.Now(), args.(Message))
	return nil
}

func (n *network) Drop(string) {}

// connectDaemons returns count daemons in three failure domains that know each
// other. Their Run methods are not called.
func connectDaemons(t *testing.T, count int) (*network, []*Gossip) {
	t.Helper()
	n := &network{nodes: map[string]*Gossip{}, unreachable: map[string]bool{}}
	var all []*Gossip
	for i := range count {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		self := member.Fact{Name: fmt.Sprintf("d%02d", i), Domain: fmt.Sprintf("x%d", i%3), Address: address}
		g := New(time.Now(), self, member.Settings{}, Settings{Seeds: []string{"10.0.0.1:1"}}, n,
			rand.New(rand.NewPCG(1, uint64(i))), func() uint64 { return 0 }, func(time.Time, []member.Fact) {})
		n.nodes[address] = g
		all = append(all, g)
	}
	for round := range meetRounds {
		for _, g := range all {
			g.round(t.Context(), time.Now(), round)
		}
	}
	for _, g := range all {
		must.Len(t, count, g.Live(""))
	}
	return n, all
}

// TestSuspectRequestSpreads guards against a daemon that does not yet know of a
// request that crashes upstreams after one round of the daemon that observed it
// and two rounds of all daemons.
func TestSuspectRequestSpreads(t *testing.T) {
	_, all := connectDaemons(t, 12)
	f := member.Fact{Kind: member.SuspectRequest, Name: "bad", Status: member.Suspect, Crashes: []member.Crash{{ID: "u/1", AtMS: 1}}}
	all[4].Report(time.Now(), f)
	all[4].round(t.Context(), time.Now(), changeRound)
	for range 2 {
		for _, g := range all {
			g.round(t.Context(), time.Now(), changeRound)
		}
	}
	for i, g := range all {
		g.Do(func(m *member.Set) {
			_, ok := m.Get(f.Key())
			must.True(t, ok, must.Sprintf("daemon %d", i))
		})
	}
}

// TestHealedPartition guards against a daemon that still counts as dead after a
// network partition has healed.
func TestHealedPartition(t *testing.T) {
	n, all := connectDaemons(t, 6)
	n.unreachable["10.0.0.4:1"] = true
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
	n.unreachable["10.0.0.4:1"] = false
	for round := range meetRounds {
		for _, g := range all {
			g.round(t.Context(), time.Now(), round)
		}
	}
	for i, g := range all {
		must.Len(t, 6, g.Live(""), must.Sprintf("daemon %d", i))
	}
}
