package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/link/engine"
)

// cacheCursor is how far the cache events of an engine have been read.
type cacheCursor struct {
	incarnation int64
	from        uint64
}

// watchCache reads the cache events of the engines that this daemon watches.
// They correct the hints that its own requests left in the routing table. They
// are not passed on, since at the target the events of all engines would exceed
// the control traffic of a daemon.
func (d *Daemon) watchCache(ctx context.Context) error {
	tick := time.NewTicker(d.set.Timing.CacheEventsInterval)
	defer tick.Stop()
	cursors := map[string]cacheCursor{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for _, u := range d.owner.Watched() {
			c, cancel := context.WithTimeout(ctx, d.set.Timing.PeerTimeout)
			cursors[u.Name] = d.readCache(c, time.Now(), u, cursors[u.Name])
			cancel()
		}
	}
}

// readCache reads the events of one engine and returns the new cursor. A
// failure is left to the reports to notice.
func (d *Daemon) readCache(ctx context.Context, now time.Time, u *declare.Upstream, at cacheCursor) cacheCursor {
	ev, err := d.orders.CacheEvents(ctx, u.Address, at.from)
	if err != nil {
		return at
	}
	if at.incarnation != 0 && ev.Incarnation != at.incarnation {
		d.router.CacheGap(u.Name, now)
		return cacheCursor{incarnation: ev.Incarnation}
	}
	if ev.Missed > 0 {
		d.router.CacheGap(u.Name, now)
	}
	for _, e := range ev.Events {
		hash, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue // a checkpoint
		}
		d.router.CacheEvent(u.Name, hash, e.Kind == engine.Stored, time.UnixMilli(e.TimeMS))
	}
	return cacheCursor{incarnation: ev.Incarnation, from: ev.End}
}
