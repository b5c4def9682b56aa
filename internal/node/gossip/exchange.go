package gossip

import (
	"context"
	"time"

	"github.com/azurespan/azurespan/internal/core/member"
)

// Exchange merges the message of a peer and returns the reply. It serves the
// call News.
func (g *Gossip) Exchange(now time.Time, in Message) Message {
	g.mu.Lock()
	from, known := g.expand(in.From)
	var changed []member.Fact
	if known {
		changed = g.facts.RecordContact(now, from)
	}
	changed = append(changed, g.facts.Merge(now, in.Facts)...)
	out := Message{From: abbreviated(g.facts.Self()), Known: known, Applied: g.applied()}
	out.Facts = g.facts.Outgoing(g.suspicionOf(in.From.Name), from.Domain, g.settings.MaxBytes)
	if in.Digest != nil {
		out.From = g.facts.Self()
		out.Facts = g.facts.DifferingFacts(out.Facts, *in.Digest)
	}
	if known {
		g.recordApplied(from.Address, in.Applied)
	}
	g.mu.Unlock()
	g.notifyChanged(now, changed, hasNonLoadFact(changed))
	return out
}

// abbreviated returns the part of a daemon's fact about itself that is sent to
// a peer that knows the rest.
func abbreviated(f member.Fact) member.Fact {
	return member.Fact{Kind: f.Kind, Name: f.Name, Counter: f.Counter, Status: f.Status}
}

// expand completes an abbreviated fact with the known address and failure
// domain. It returns false if these are not known. g.mu must be held.
func (g *Gossip) expand(f member.Fact) (member.Fact, bool) {
	if f.Address != "" {
		return f, true
	}
	known, ok := g.facts.Get(f.Key())
	f.Address, f.Domain = known.Address, known.Domain
	return f, ok
}

// suspicionOf returns the fact about a peer that counts as suspect or dead, so
// that the peer can refute it in this exchange. g.mu must be held.
func (g *Gossip) suspicionOf(name string) []member.Fact {
	f, ok := g.facts.Get(member.Key{Kind: member.Daemon, Name: name})
	if !ok || f.Status != member.Suspect && f.Status != member.Dead {
		return nil
	}
	return []member.Fact{f}
}

// hasNonLoadFact reports whether facts contains a fact other than the load of an
// upstream.
func hasNonLoadFact(facts []member.Fact) bool {
	for _, f := range facts {
		if f.Kind != member.UpstreamLoad {
			return true
		}
	}
	return false
}

// exchange sends a message to a peer and merges its reply. A failed call counts
// as a failed probe of the peer.
func (g *Gossip) exchange(ctx context.Context, now time.Time, p target, digest bool, urgent []member.Fact) {
	g.mu.Lock()
	in := Message{From: g.facts.Self(), Applied: g.applied()}
	if g.introducedTo[p.address] {
		in.From = abbreviated(in.From)
	}
	in.Facts = g.facts.Outgoing(append(g.suspicionOf(p.name), urgent...), p.domain, g.settings.MaxBytes)
	if digest {
		d := g.facts.Digest()
		in.Digest = &d
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timeout)
	defer cancel()
	out := new(Message)
	if err := g.client.Call(ctx, p.address, "News", in, out); err != nil {
		g.client.Drop(p.address)
		g.mu.Lock()
		delete(g.introducedTo, p.address)
		g.mu.Unlock()
		if p.name == "" || ctx.Err() == context.Canceled {
			return
		}
		g.mu.Lock()
		suspected := g.facts.RecordFailure(now, p.name)
		f, _ := g.facts.Get(member.Key{Kind: member.Daemon, Name: p.name})
		g.mu.Unlock()
		if suspected {
			g.notifyChanged(now, []member.Fact{f}, true)
		}
		return
	}
	g.mu.Lock()
	g.introducedTo[p.address] = out.Known
	var changed []member.Fact
	if from, ok := g.expand(out.From); ok {
		changed = g.facts.RecordContact(now, from)
	}
	changed = append(changed, g.facts.Merge(now, out.Facts)...)
	g.recordApplied(p.address, out.Applied)
	g.mu.Unlock()
	g.notifyChanged(now, changed, hasNonLoadFact(changed))
}

// recordApplied records the peer with the highest applied offset of the control
// stream. g.mu must be held.
func (g *Gossip) recordApplied(address string, applied uint64) {
	if applied >= g.mostAdvancedOffset {
		g.mostAdvancedPeer, g.mostAdvancedOffset = address, applied
	}
}
