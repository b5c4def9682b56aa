package syncer

import (
	"time"

	"github.com/azurespan/azurespan/internal/node/hub"
)

// gapForFleet returns the larger of a minimum and perDaemon for each daemon, so
// that the rate of calls to the holder doesn't grow with the number of daemons.
func (s *Syncer) gapForFleet(minimum, perDaemon time.Duration) time.Duration {
	return max(minimum, time.Duration(s.daemons.Load())*perDaemon)
}

// Daemons returns the number of daemons in contact with the holder, 0 before its first
// reply.
func (s *Syncer) Daemons() int { return int(s.daemons.Load()) }

// WatchPeriod returns the time between two replies of the holder to one of a number of
// daemons while nothing changes.
func WatchPeriod(daemons int) time.Duration {
	return max(idleWatchGap, time.Duration(daemons)*idleGapPerDaemon) + hub.WatchWait
}

// RepliesPerSecond returns the most replies of the holder to a number of daemons in a second
// while no request waits.
func RepliesPerSecond(daemons int) float64 {
	return float64(daemons) / max(idleWatchGap, time.Duration(daemons)*idleGapPerDaemon).Seconds()
}
