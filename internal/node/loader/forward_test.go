package loader

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/rule/paths"
)

// TestForwarders guards against a daemon that is told to ask daemons which have lost
// their own path, are gone, or all stand in one failure domain, and against telling it
// the same ones with each report.
func TestForwarders(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Loader{daemons: map[string]*daemonState{}}
	add := func(host, domain string, cutOff bool, age time.Duration) {
		l.daemons[host] = &daemonState{at: now.Add(-age), path: fleet.PathReport{Address: host, FailureDomain: domain, CutOff: cutOff}}
	}
	add("self", "a", false, 0)
	add("lost", "a", true, 0)
	add("gone", "a", false, 3*time.Second)
	add("old", "", false, 0)
	l.daemons["old"].path = fleet.PathReport{}
	for i := range 6 {
		add(fmt.Sprint("near-", i), "a", false, 0)
		add(fmt.Sprint("far-", i), "b", false, 0)
	}
	ask := &hub.TellArgs{Host: "self", Path: fleet.PathReport{Address: "self", FailureDomain: "a"}}
	got := l.forwardersFor(now, ask)
	must.SliceLen(t, maxForwarders, got)
	for i, prefix := range []string{"near-", "far-", "near-", "far-"} {
		must.StrHasPrefix(t, prefix, got[i])
	}
	ask.Path.Known = paths.Digest(got)
	must.Nil(t, l.forwardersFor(now, ask))
	l.daemons[got[0]].path.CutOff = true
	later := l.forwardersFor(now.Add(forwardersTTL+time.Millisecond), ask)
	must.SliceNotContains(t, later, got[0])
	must.Nil(t, l.forwardersFor(now, &hub.TellArgs{Host: "old"}))
}

// TestForwarderStartsLater guards against a daemon that has none to ask for a while,
// because it reported to the holder before the others did.
func TestForwarderStartsLater(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Loader{daemons: map[string]*daemonState{"self": {at: now}}}
	ask := &hub.TellArgs{Host: "self", Path: fleet.PathReport{Address: "self", FailureDomain: "a"}}
	must.SliceEmpty(t, l.forwardersFor(now, ask))
	l.daemons["other"] = &daemonState{at: now, path: fleet.PathReport{Address: "other", FailureDomain: "b"}}
	must.Eq(t, []string{"other"}, l.forwardersFor(now.Add(time.Millisecond), ask))
}
