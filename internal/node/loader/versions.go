package loader

import (
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/opener"
)

// updateVersions announces the versions that are about to serve and opens those that
// may be. The caller holds l.mu.
func (l *Loader) updateVersions() {
	now := l.boot()
	if !l.opener.Resumed() {
		state, readAt, fresh := l.origins.Stored()
		if readAt.Before(l.tenureAt) {
			return
		}
		l.opener.Resume(now, state, fresh)
	}
	var changes []opener.Change
	for _, u := range l.upstreams {
		l.opener.Registered(now, u.Service, u.Version)
		if l.config != nil && l.config.Services[u.Service].Engine == nil {
			changes = append(changes, l.opener.Serve(now, u.Service, u.Version)...)
		}
	}
	for _, u := range l.planner.Serving() {
		changes = append(changes, l.opener.Serve(now, u.Service, u.Version)...)
	}
	changes = append(changes, l.opener.Update(now)...)
	for _, c := range changes {
		event.VersionState.Log("service", c.Service, "version", c.Version, "change", c.What, "since-announced", c.After, "missing", c.Missing, "fence", l.fence)
	}
	if _, rev := l.opener.State(); rev != l.stateRev {
		l.stateRev = rev
		l.notifyWatchers()
	}
}

// answerVersions adds the state of versions to a reply. The caller holds l.mu.
func (l *Loader) answerVersions(a *hub.WatchArgs, r *hub.WatchReply) {
	r.KeepsVersions = true
	state, rev := l.opener.State()
	if r.StateRev = rev; rev != knownState(a, l.fence) {
		r.State = &state
	}
}

// knownState returns the revision of this tenure's state of versions that a daemon knows.
func knownState(a *hub.WatchArgs, fence int64) uint64 {
	if a.Fence != fence {
		return 0
	}
	return a.StateRev
}

// VersionState returns what this daemon has decided about versions as the holder, false
// if it isn't the holder or doesn't know what the former one has decided.
func (l *Loader) VersionState() (origin.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isHolder() {
		return origin.State{}, false
	}
	state, rev := l.opener.State()
	return state, rev > 0
}

// VersionStateWritten records that the log has a state that VersionState returned.
func (l *Loader) VersionStateWritten(s origin.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isHolder() {
		l.opener.Written(l.boot(), s)
	}
}
