package loader

import "github.com/azurespan/azurespan/internal/node/hub"

// Origin returns what this daemon knows of a stream: what the others have told, and what
// it has read from the log.
func (l *Loader) Origin(a *hub.OriginArgs) (*hub.OriginReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isHolder() {
		return nil, &hub.NotHolderError{Host: l.host}
	}
	s, known := l.origins.Origin(a.ID)
	r := &hub.OriginReply{Fence: l.fence, Known: known, Stream: s}
	if state, rev := l.opener.State(); rev > 0 {
		r.State, r.StateRev = &state, rev
	}
	return r, nil
}
