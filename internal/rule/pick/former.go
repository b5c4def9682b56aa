package pick

import (
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// former holds the upstreams that are no longer registered. An entry of the register
	// may be removed and come back while its upstream runs, as after a report that is
	// written late, and what the upstream has said of itself still holds then.
	former struct{ upstreams map[string]removed }

	// removed is an upstream that was removed at a time.
	removed struct {
		up *upstream
		at time.Time
	}
)

const (
	// formerRetention is how long a removed upstream is kept: upstreams that leave serve
	// on for seconds, and those that are cut off from the log may for minutes.
	formerRetention = 10 * time.Minute
	// maxFormer bounds the removed upstreams, at more than three times those of the
	// largest deployment.
	maxFormer = 2048
)

// add keeps an upstream that was removed at now, without the models that it has loaded.
func (f *former) add(now time.Time, u *upstream) {
	u.models = nil
	clear(u.missing)
	f.upstreams[u.info.ID] = removed{u, now}
	if len(f.upstreams) <= maxFormer {
		return
	}
	oldest := u.info.ID
	for id, r := range f.upstreams {
		if r.at.Before(f.upstreams[oldest].at) {
			oldest = id
		}
	}
	delete(f.upstreams, oldest)
}

// find returns an incarnation of an upstream that was removed, nil if it isn't known.
func (f *former) find(up fleet.Upstream) *upstream {
	if r, ok := f.upstreams[up.ID]; ok && r.up.info.Born == up.Born {
		return r.up
	}
	return nil
}

// take returns what is known of an upstream that is registered, nil if nothing is, and
// forgets its former incarnations.
func (f *former) take(up fleet.Upstream) *upstream {
	u := f.find(up)
	delete(f.upstreams, up.ID)
	return u
}

// expire drops those that were removed too long ago.
func (f *former) expire(now time.Time) {
	for id, r := range f.upstreams {
		if now.Sub(r.at) > formerRetention {
			delete(f.upstreams, id)
		}
	}
}

// find returns an incarnation of an upstream that is registered or was lately, nil if it
// isn't known.
func (t *Table) find(up fleet.Upstream) *upstream {
	if u := t.upstreams[up.ID]; u != nil && u.info.Born == up.Born {
		return u
	}
	return t.former.find(up)
}
