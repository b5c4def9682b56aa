package poison

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestJudge guards against quarantining a request that only ran beside the one
// that caused the crash, and against a request that causes crashes without being
// quarantined.
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
	// Two suspects on one upstream: the crash can't be attributed to either.
	tab.Observe("bad", Crash{ID: "u2/1", At: at.Add(time.Second)})
	tab.Observe("other", Crash{ID: "u2/1", At: at.Add(time.Second)})
	must.Eq(t, Suspect, judge("bad"))
	must.Eq(t, Suspect, judge("other"))
	// "other" completes; "bad" is the only suspect at the next crash.
	must.True(t, tab.Clear("other"))
	tab.Observe("bad", Crash{ID: "u3/1", At: at.Add(2 * time.Second)})
	tab.Observe("fresh", Crash{ID: "u3/1", At: at.Add(2 * time.Second)})
	must.Eq(t, Quarantined, judge("bad"))
	must.Eq(t, Suspect, judge("fresh"))
	must.Eq(t, Suspect, judge("innocent"))
	at = at.Add(11 * time.Minute)
	must.Eq(t, Clean, judge("bad"))
}

// TestProgress guards against quarantining a long response whose engines ended
// for other reasons, and against a request that is never quarantined because it
// crashes engines only after it has produced tokens.
func TestProgress(t *testing.T) {
	at := time.UnixMilli(0)
	tab := New(0)
	for i, want := range []Verdict{Suspect, Suspect, Suspect, Quarantined} {
		tab.Observe("long", Crash{ID: string(rune('a' + i)), At: at, Progress: true})
		got, _ := tab.Judge(at, "long")
		must.Eq(t, want, got)
	}
}
