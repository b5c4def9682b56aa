package pick

import (
	"github.com/azurespan/azurespan/internal/core/fleet"
)

// Notice takes over what a response of an upstream said of it and reports
// whether that is news.
func (t *Table) Notice(up fleet.Upstream, n fleet.Notice) (news bool) {
	u := t.upstreams[up.ID]
	if u == nil || u.info.Born != up.Born {
		return false
	}
	if n.Leaving && !u.leaving() {
		u.saidLeaving, news = true, true
	}
	return news
}

// leaving reports whether the upstream must get no new requests, by the register or by
// what it has said.
func (u *upstream) leaving() bool { return u.info.Leaving || u.saidLeaving }
