package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/link/engine"
)

// cacheCursor is the position up to which the cache events of an engine have
// been read.
type cacheCursor struct {
	incarnation int64
	from        uint64
}

// pollCacheEvents reads the cache events of the engines that this daemon
// watches. They correct the entries that this daemon's own requests left in the
// routing table. They are not sent to peers, because at the target size the
// events of all engines would exceed a daemon's limit on control traffic.
func (d *Daemon) pollCacheEvents(ctx context.Context) error {
	tick := time.NewTicker(d.settings.Timing.CacheEventsInterval)
	defer tick.Stop()
	cursors := map[string]cacheCursor{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for _, u := range d.owner.Watched() {
			c, cancel := context.WithTimeout(ctx, d.settings.Timing.PeerTimeout)
			cursors[u.Name] = d.readCacheEvents(c, time.Now(), u, cursors[u.Name])
			cancel()
		}
	}
}

// readCacheEvents reads the cache events of one engine after the cursor and
// returns the new cursor. Errors are ignored: the polls of the engine's reports
// detect a failed engine.
func (d *Daemon) readCacheEvents(ctx context.Context, now time.Time, u *declare.Upstream, cursor cacheCursor) cacheCursor {
	ev, err := d.engineControl.CacheEvents(ctx, u.Address, cursor.from)
	if err != nil {
		return cursor
	}
	if cursor.incarnation != 0 && ev.Incarnation != cursor.incarnation {
		d.router.CacheGap(u.Name, now)
		return cacheCursor{incarnation: ev.Incarnation}
	}
	if ev.Missed > 0 {
		d.router.CacheGap(u.Name, now)
	}
	for _, e := range ev.Events {
		hash, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue // The event is about a checkpoint, not a prefix hash.
		}
		d.router.CacheEvent(u.Name, hash, e.Kind == engine.Stored, time.UnixMilli(e.TimeMS))
	}
	return cacheCursor{incarnation: ev.Incarnation, from: ev.End}
}
