package loader

import (
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/hrw"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/paths"
)

type (
	// forwarderList is the forwarders that a daemon was last told.
	forwarderList struct {
		at        time.Time
		addresses []string
	}

	// scored is a forwarder and its weight for the daemon that asks.
	scored struct {
		address string
		score   uint64
	}
)

const (
	// maxForwarders bounds the forwarders that a daemon is told.
	maxForwarders = 4
	// forwardersTTL is how long a list of maxForwarders is kept: each goes over all
	// daemons.
	forwardersTTL = time.Second
)

// forwardersFor returns the daemons that may forward connections to upstreams for the
// one that reports, nil if it knows them. The caller holds l.mu.
func (l *Loader) forwardersFor(now time.Time, a *hub.TellArgs) []string {
	if a.Path.Address == "" {
		return nil
	}
	f := l.daemons[a.Host].forwarders
	if f == nil || len(f.addresses) < maxForwarders || now.Sub(f.at) > forwardersTTL {
		f = &forwarderList{at: now, addresses: l.chooseForwarders(now, a)}
		l.daemons[a.Host].forwarders = f
	}
	if paths.Digest(f.addresses) == a.Path.Known {
		return nil
	}
	return f.addresses
}

// chooseForwarders chooses the forwarders for a daemon. Each daemon has others first,
// so that those that lose their path together don't ask the same ones; and since the
// daemons of a failure domain may do so, the asking daemon's domain and the others take
// turns. The caller holds l.mu.
func (l *Loader) chooseForwarders(now time.Time, a *hub.TellArgs) []string {
	var near, far []scored
	for host, d := range l.daemons {
		if host == a.Host || d.path.Address == "" || d.path.CutOff || now.Sub(d.at) > daemonTTL {
			continue
		}
		s := scored{d.path.Address, hrw.Score(a.Host, host)}
		if d.path.FailureDomain == a.Path.FailureDomain {
			near = insert(near, s)
		} else {
			far = insert(far, s)
		}
	}
	var out []string
	for i := range maxForwarders {
		for _, list := range [][]scored{near, far} {
			if i < len(list) && len(out) < maxForwarders {
				out = append(out, list[i].address)
			}
		}
	}
	return out
}

// insert adds s to a list of the maxForwarders with the highest scores, in descending
// order.
func insert(list []scored, s scored) []scored {
	i, _ := slices.BinarySearchFunc(list, s, func(x, y scored) int {
		if x.score > y.score {
			return -1
		}
		return 1
	})
	list = slices.Insert(list, i, s)
	return list[:min(len(list), maxForwarders)]
}
