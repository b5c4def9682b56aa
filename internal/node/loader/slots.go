package loader

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/share"
)

// maxNamed bounds the contended engines that a log line names.
const maxNamed = 8

// newSlots returns the slots of a tenure that begins at now.
func newSlots(now time.Time) *share.Table {
	return share.New(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// grantSlots takes over what a daemon reports of engines, and returns the grants that it
// wasn't told and those of its requests that can't be served. Others that are granted slots are told with the reply to their Watch. The
// caller holds l.mu.
func (l *Loader) grantSlots(now time.Time, a *hub.TellArgs, running map[string]int) ([]fleet.SlotGrant, []fleet.SlotRefusal) {
	rev, count := l.slots.Rev(), l.slots.Count()
	l.slots.Report(now, a.Host, l.fence, running, &a.Demand)
	if l.slots.Rev() != rev {
		event.EnginesContended.Log("count", l.slots.Count(), "before", count, "engines", strings.Join(l.slots.IDs(maxNamed), ","), "source", a.Host, "fence", l.fence)
		if l.slots.Count() > count {
			l.notifyWatchers()
		}
	}
	for _, host := range l.slots.Allocate(now) {
		if c := l.granted[host]; c != nil && host != a.Host {
			select {
			case c <- struct{}{}:
			default:
			}
		}
	}
	return l.slots.Take(a.Host), l.slots.Refuse(now, a.Host)
}

// grantSignal returns what is signalled when a daemon has grants to be told.
func (l *Loader) grantSignal(host string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.granted[host]
	if c == nil {
		c = make(chan struct{}, 1)
		l.granted[host] = c
	}
	return c
}

// hasSlotNews reports whether a daemon is to be told of slots at once. The caller holds l.mu.
func (l *Loader) hasSlotNews(a *hub.WatchArgs) bool {
	return a.SlotsRev != l.slots.Rev() || l.slots.Has(a.Host)
}

// answerSlots adds to a reply what the daemon is to know of slots. The caller holds l.mu.
func (l *Loader) answerSlots(now time.Time, a *hub.WatchArgs, r *hub.WatchReply) {
	r.SlotsRev = l.slots.Rev()
	if a.Load || a.SlotsRev != r.SlotsRev {
		r.Slots = l.slots.Word(now, a.SlotsRev)
	}
	r.Grants = l.slots.Take(a.Host)
}
