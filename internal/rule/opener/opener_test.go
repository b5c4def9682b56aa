package opener

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/origin"
)

const wait = 3 * time.Second

func at(s float64) time.Time { return time.Unix(1000, int64(s*float64(time.Second))) }

// resumed returns an Opener that continues from a state in which v1 is open, at 20 s of a
// tenure that began at 0.
func resumed() *Opener {
	o := New(at(0), wait)
	v1 := origin.Versions{"s": {"v1"}}
	o.Resume(at(0), &origin.State{Announced: v1, Open: v1, Complete: true}, false)
	o.Registered(at(20), "s", "v1")
	return o
}

func open(o *Opener) []string {
	s, _ := o.State()
	return s.Open["s"]
}

// TestOpeningIsWritten guards against streams that begin at a version which the next holder
// doesn't know to be open, so that it lets daemons name the other one.
func TestOpeningIsWritten(t *testing.T) {
	o := resumed()
	admitted := func() []string { s, _ := o.State(); return s.Admitted["s"] }
	must.Eq(t, []string{"v1"}, admitted())
	o.Serve(at(20), "s", "v2")
	s, _ := o.State()
	o.Written(at(20), s)
	o.Update(at(23))
	must.Eq(t, []string{"v1", "v2"}, open(o))
	o.Written(at(23), s)
	must.Eq(t, []string{"v1"}, admitted())
	s, rev := o.State()
	o.Written(at(23.1), s)
	must.Eq(t, []string{"v1", "v2"}, admitted())
	_, next := o.State()
	must.Greater(t, rev, next)
}

// TestFirstVersions guards against a deployment that can't begin streams for seconds after
// its first start, and against the first version of a service that opens at once although
// daemons may rely on a former holder.
func TestFirstVersions(t *testing.T) {
	o := New(at(0), wait)
	must.SliceEmpty(t, o.Serve(at(0), "s", "v1"), must.Sprint("before Resume"))
	o.Resume(at(0), nil, true)
	o.Serve(at(0), "s", "v1")
	o.Serve(at(0), "s", "v2")
	o.Update(at(0))
	must.Eq(t, []string{"v1", "v2"}, open(o))
	o.Serve(at(1), "s", "v3")
	o.Update(at(2))
	must.Eq(t, []string{"v1", "v2"}, open(o))

	o = New(at(0), wait)
	o.Resume(at(0), &origin.State{Complete: true}, false)
	o.Serve(at(0), "s", "v1")
	o.Update(at(2.9))
	must.SliceEmpty(t, open(o))
	o.Update(at(3))
	must.Eq(t, []string{"v1"}, open(o))
}

// TestVersionOpens guards against a version that opens before its announcement has stood in
// the log for the wait, before the daemons know it, or never because of one that is gone.
func TestVersionOpens(t *testing.T) {
	for _, c := range []struct {
		name    string
		written float64
		// acks is when the daemon says that it knows the announcement, silent when it is
		// last heard; 0 for never and always.
		acks, silent float64
		opens        float64
		missing      []string
	}{
		{name: "all know", written: 20.1, acks: 20.4, opens: 23.1},
		{name: "not written", acks: 20.4},
		{name: "slow to know", written: 20.1, acks: 27, opens: 27},
		{name: "gone before", written: 20.1, silent: 18, opens: 28.1, missing: []string{"d"}},
		{name: "gone for long", written: 20.1, silent: 5, opens: 23.1, missing: []string{"d"}},
		{name: "gone after", written: 20.1, silent: 21, opens: 31.1, missing: []string{"d"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := resumed()
			o.Heard(at(5), "d", 1)
			o.Serve(at(20), "s", "v2")
			state, rev := o.State()
			opened := 0.0
			for i := 0; i < 150 && opened == 0; i++ {
				s := 20 + float64(i)/10
				if c.written != 0 && s >= c.written {
					o.Written(at(s), state)
				}
				known := uint64(1)
				if c.acks != 0 && s >= c.acks {
					known = rev
				}
				if c.silent == 0 {
					o.Heard(at(s), "d", known)
				} else if s == 20 {
					o.Heard(at(c.silent), "d", 1)
				}
				o.Registered(at(s), "s", "v1")
				o.Registered(at(s), "s", "v2")
				for _, change := range o.Update(at(s)) {
					must.Eq(t, Opened, change.What)
					must.Eq(t, c.missing, change.Missing)
					opened = s
				}
			}
			must.Eq(t, c.opens, opened)
		})
	}
}

// TestNewHolderWaits guards against a version that a holder opens although the former one
// had heard daemons that don't know it yet, or has just announced it.
func TestNewHolderWaits(t *testing.T) {
	o := New(at(100), wait)
	o.Resume(at(101), &origin.State{Announced: origin.Versions{"s": {"v1", "v2"}}, Open: origin.Versions{"s": {"v1"}}, Complete: true}, false)
	o.Update(at(109.9))
	must.Eq(t, []string{"v1"}, open(o))
	o.Update(at(110))
	must.Eq(t, []string{"v1", "v2"}, open(o))
}

// TestIncomplete guards against relying on a state that may lack versions: the log's may be
// from another era, or there are daemons that begin streams at any version.
func TestIncomplete(t *testing.T) {
	isComplete := func(o *Opener, s float64) bool {
		o.Registered(at(s), "s", "v1")
		o.Update(at(s))
		st, _ := o.State()
		return st.Complete
	}
	o := New(at(0), wait)
	o.Resume(at(0), nil, false)
	must.False(t, isComplete(o, 29))
	must.True(t, isComplete(o, 30))

	o = resumed()
	must.True(t, isComplete(o, 20))
	o.Unsure(at(20))
	must.False(t, isComplete(o, 49.9))
	must.True(t, isComplete(o, 50))
}

// TestUpgradeFromEarlierBuilds guards against streams that can't begin for seconds after an
// upgrade, because the versions that serve count as new.
func TestUpgradeFromEarlierBuilds(t *testing.T) {
	o := New(at(0), wait)
	o.Resume(at(0), nil, false)
	o.Serve(at(0), "s", "v1")
	o.Update(at(0))
	o.Serve(at(1), "s", "v2")
	o.Update(at(1))
	must.Eq(t, []string{"v1", "v2"}, open(o))
	s, _ := o.State()
	must.False(t, s.Complete)
}

// TestForgottenVersion guards against a service that counts as one of several versions for
// ever, and against another version that opens while daemons rely on the former one.
func TestForgottenVersion(t *testing.T) {
	o := resumed()
	must.SliceEmpty(t, o.Update(at(50)))
	changes := o.Update(at(50.1))
	must.Len(t, 1, changes)
	must.Eq(t, Forgotten, changes[0].What)
	o.Serve(at(50.2), "s", "v2")
	o.Update(at(53))
	must.SliceEmpty(t, open(o))
	o.Update(at(53.1))
	must.Eq(t, []string{"v2"}, open(o))
}
