package follow

import "time"

// pollShare bounds the wait of a read, as a share of the time within which a removed key
// must not be served, so that contact is proven several times within it.
const pollShare = 0.25

// Freshness returns the time since the control state was last known to be the newest,
// on the clock of Settings.Boot, and whether the log is unreachable, so that newer
// records may exist. ok is false if it was never known to be the newest.
func (f *Follower) Freshness(now time.Time) (age time.Duration, unreachable, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return now.Sub(f.provenAt), !f.logUp, !f.provenAt.IsZero()
}

// setProven records that the control state was the newest at a time: the beginning of a
// read, since its answer may have waited while the machine was suspended.
func (f *Follower) setProven(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.provenAt = at
}

// maxWait returns the bound of the wait of a read. f.mu must be held.
func (f *Follower) maxWait() time.Duration {
	d := f.state.Config().Deployment
	if len(d.Accounts) == 0 {
		return f.settings.PollWait
	}
	return min(f.settings.PollWait, time.Duration(pollShare*float64(d.Limits.RevokeTime())))
}
