package gossip

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/member"
)

// Exchange merges a peer's news and returns the reply; it serves the call of
// the same name.
func (g *Gossip) Exchange(now time.Time, in Message) Message {
	g.mu.Lock()
	from, known := g.complete(in.From)
	var changed []member.Fact
	if known {
		changed = g.facts.RecordContact(now, from)
	}
	changed = append(changed, g.facts.Merge(now, in.Facts)...)
	out := Message{From: brief(g.facts.Self()), Known: known, Applied: g.applied()}
	out.Facts = g.facts.Outgoing(g.doubt(in.From.Name), from.Domain, g.set.MaxBytes)
	if in.Digest != nil {
		out.From = g.facts.Self()
		out.Facts = g.facts.DifferingFacts(out.Facts, *in.Digest)
	}
	if known {
		g.noteApplied(from.Address, in.Applied)
	}
	g.mu.Unlock()
	g.changed(now, changed, hasStatus(changed))
	return out
}

// brief returns what is sent of a fact to a peer that knows the rest.
func brief(f member.Fact) member.Fact {
	return member.Fact{Kind: f.Kind, Name: f.Name, Counter: f.Counter, Status: f.Status}
}

// complete fills a brief fact about a daemon with what is known; g.mu is held.
func (g *Gossip) complete(f member.Fact) (member.Fact, bool) {
	if f.Address != "" {
		return f, true
	}
	old, ok := g.facts.Get(f.Key())
	f.Address, f.Domain = old.Address, old.Domain
	return f, ok
}

// doubt returns the fact about a peer that is believed suspect or dead, so
// that the peer refutes it in this exchange. g.mu is held.
func (g *Gossip) doubt(name string) []member.Fact {
	f, ok := g.facts.Get(member.Key{Kind: member.Daemon, Name: name})
	if !ok || f.Status != member.Suspect && f.Status != member.Dead {
		return nil
	}
	return []member.Fact{f}
}

// hasStatus reports whether facts hold more than load reports.
func hasStatus(facts []member.Fact) bool {
	for _, f := range facts {
		if f.Kind != member.UpstreamLoad {
			return true
		}
	}
	return false
}

func (g *Gossip) exchange(ctx context.Context, now time.Time, p target, digest bool, urgent []member.Fact) {
	g.mu.Lock()
	in := Message{From: g.facts.Self(), Applied: g.applied()}
	if g.introduced[p.address] {
		in.From = brief(in.From)
	}
	in.Facts = g.facts.Outgoing(append(g.doubt(p.name), urgent...), p.domain, g.set.MaxBytes)
	if digest {
		d := g.facts.Digest()
		in.Digest = &d
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, g.set.Timeout)
	defer cancel()
	out := new(Message)
	if err := g.caller.Call(ctx, p.address, "News", in, out); err != nil {
		g.caller.Drop(p.address)
		g.mu.Lock()
		delete(g.introduced, p.address)
		g.mu.Unlock()
		if p.name == "" || ctx.Err() == context.Canceled {
			return
		}
		g.mu.Lock()
		suspected := g.facts.RecordFailure(now, p.name)
		f, _ := g.facts.Get(member.Key{Kind: member.Daemon, Name: p.name})
		g.mu.Unlock()
		if suspected {
			g.changed(now, []member.Fact{f}, true)
		}
		return
	}
	g.mu.Lock()
	g.introduced[p.address] = out.Known
	var changed []member.Fact
	if from, ok := g.complete(out.From); ok {
		changed = g.facts.RecordContact(now, from)
	}
	changed = append(changed, g.facts.Merge(now, out.Facts)...)
	g.noteApplied(p.address, out.Applied)
	g.mu.Unlock()
	g.changed(now, changed, hasStatus(changed))
}

// noteApplied remembers which peer is furthest in the control stream.
func (g *Gossip) noteApplied(address string, applied uint64) {
	if applied >= g.aheadAt {
		g.ahead, g.aheadAt = address, applied
	}
}
