package poison

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestJudge guards against blaming a request that only ran beside a crash,
// and against a crashing request that is never found.
func TestJudge(t *testing.T) {
	at := time.UnixMilli(0)
	tab := New(0)
	judge := func(fp string) Verdict { v, _ := tab.Judge(at, fp); return v }
	must.Eq(t, Clean, judge("bad"))
	for _, fp := range []string{"bad", "innocent", "other"} {
		tab.Observe(fp, Crash{ID: "u1/1", At: at})
		tab.Observe(fp, Crash{ID: "u1/1", At: at})
		must.Eq(t, Suspect, judge(fp))
	}
	// Two suspects on one replica: the crash proves nothing about either.
	tab.Observe("bad", Crash{ID: "u2/1", At: at.Add(time.Second)})
	tab.Observe("other", Crash{ID: "u2/1", At: at.Add(time.Second)})
	must.Eq(t, Suspect, judge("bad"))
	must.Eq(t, Suspect, judge("other"))
	// The other one completes, the bad one crashes a replica alone.
	must.True(t, tab.Clear("other"))
	tab.Observe("bad", Crash{ID: "u3/1", At: at.Add(2 * time.Second)})
	tab.Observe("fresh", Crash{ID: "u3/1", At: at.Add(2 * time.Second)})
	must.Eq(t, Quarantined, judge("bad"))
	must.Eq(t, Suspect, judge("fresh"))
	must.Eq(t, Suspect, judge("innocent"))
	at = at.Add(11 * time.Minute)
	must.Eq(t, Clean, judge("bad"))
}

// TestProgress guards against quarantining a long answer whose engines ended
// for other reasons, and against one that crashes engines late for ever.
func TestProgress(t *testing.T) {
	at := time.UnixMilli(0)
	tab := New(0)
	for i, want := range []Verdict{Suspect, Suspect, Suspect, Quarantined} {
		tab.Observe("long", Crash{ID: string(rune('a' + i)), At: at, Progress: true})
		got, _ := tab.Judge(at, "long")
		must.Eq(t, want, got)
	}
}
