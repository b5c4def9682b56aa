package verify

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/standin/engine/engsv"
)

// checkDeadlines checks I3: every exchange ends within DeadlineGrace after its
// deadline, with an answer or a refusal, unless the scenario killed or paused its
// daemon. After SIGTERM an exchange may also end without a response.
func (c *checker) checkDeadlines(h *History) {
	for i := range h.Requests {
		r := &h.Requests[i]
		for j := range r.Exchanges {
			x := &r.Exchanges[j]
			if h.duringOutage(x) {
				continue
			}
			if took := x.Ended.Sub(x.Sent); took > x.Deadline+DeadlineGrace {
				c.add("I3", "%s %s at %s ended after %v, deadline %v", r.Kind, r.ID, x.Daemon, took.Round(time.Millisecond), x.Deadline)
			}
			if !x.Complete && (x.Status != 0 || !h.afterTermination(x)) {
				c.add("I3", "%s %s at %s ended early without a refusal: status %d, %s", r.Kind, r.ID, x.Daemon, x.Status, x.Error)
			}
		}
	}
}

// checkAnswers checks I4: the received text is a prefix of the expected text, and
// all of it if the answer was complete.
func (c *checker) checkAnswers(h *History) {
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind == Call || r.Text == "" && !r.Done {
			continue
		}
		t, ok := h.Targets[r.Model]
		if !ok {
			c.add("I4", "answer from undeclared model %s", r.Model)
			continue
		}
		want, err := engsv.ExpectedCompletion(t.Model, t.Version, t.Adapter, r.Body)
		if err != nil {
			c.add("I4", "%s: %v", r.ID, err)
			continue
		}
		full := want.Text(0, want.Tokens)
		switch {
		case r.Done && r.Text != full:
			c.add("I4", "%s %s of %s has %d words, want %d; first difference at byte %d", r.Kind, r.ID, r.Model,
				strings.Count(r.Text, " "), want.Tokens, firstDifference(r.Text, full))
		case !strings.HasPrefix(full, r.Text):
			c.add("I4", "incomplete %s %s of %s differs at byte %d", r.Kind, r.ID, r.Model, firstDifference(r.Text, full))
		case r.Kind == Stream && r.Done && int64(r.Tokens) != want.Tokens:
			c.add("I4", "%s %s has %d events, want %d", r.Kind, r.ID, r.Tokens, want.Tokens)
		}
	}
}

// firstDifference returns the index of the first byte at which a and b differ, or
// the length of the shorter one.
func firstDifference(a, b string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// checkRefusals checks I5: a request that was refused with run "no" is not in the
// records of any upstream, neither before nor after the refusal.
func (c *checker) checkRefusals(h *History) {
	ran := map[string]string{}
	for i := range h.Engines {
		for _, x := range h.Engines[i].Records.Entries {
			if x.Kind == "run" {
				ran[x.Request] = h.Engines[i].Name
			}
		}
	}
	for i := range h.Services {
		for _, x := range h.Services[i].Entries {
			if x.Kind == "run" {
				ran[x.Request] = h.Services[i].Name
			}
		}
	}
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Refusal == "" {
			continue
		}
		if r.Run == "" {
			c.add("I5", "%s %s was refused (%s) without a value for run", r.Kind, r.ID, r.Refusal)
		}
		if r.ID == "" {
			c.add("I5", "refusal (%s) without a request ID", r.Refusal)
		}
		if r.Run == "no" && (ran[r.ID] != "" || r.Tokens > 0) {
			c.add("I5", "%s %s was refused (%s, run: no) but ran on %s", r.Kind, r.ID, r.Refusal, ran[r.ID])
		}
	}
}

// checkKeys checks I6 and I4 for calls with a key: each key runs at most once, and
// all requests with a key get the same answer, which comes from a run.
func (c *checker) checkKeys(h *History) {
	runs := map[string][]string{}
	for i := range h.Services {
		for _, x := range h.Services[i].Entries {
			if x.Kind == "run" && x.Key != "" {
				runs[x.Key] = append(runs[x.Key], h.Services[i].Name+" at "+formatTime(x.TimeUS))
			}
		}
	}
	for k, where := range runs {
		if len(where) > 1 {
			c.add("I6", "key %s ran %d times: %s", k, len(where), strings.Join(where, ", "))
		}
	}
	answers := map[string]string{}
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind != Call || r.Key == "" || !r.Done {
			continue
		}
		if first, ok := answers[r.Key]; ok && first != r.Text {
			c.add("I4", "key %s was answered with both %q and %q", r.Key, first, r.Text)
		}
		answers[r.Key] = r.Text
		if len(runs[r.Key]) == 0 {
			c.add("I4", "key %s was answered with %q but did not run", r.Key, r.Text)
		}
	}
}

// checkTerminations checks I8: a daemon that gets SIGTERM completes every answer
// that has begun.
func (c *checker) checkTerminations(h *History) {
	for i := range h.Requests {
		r := &h.Requests[i]
		for j := range r.Exchanges {
			x := &r.Exchanges[j]
			if x.Status == http.StatusOK && h.afterTermination(x) && !h.duringOutage(x) && (!x.Complete || r.Refusal != "" && j == len(r.Exchanges)-1) {
				c.add("I8", "%s %s was interrupted by the shutdown of %s after %d tokens: %s%s", r.Kind, r.ID, x.Daemon, r.Tokens, r.Refusal, x.Error)
			}
		}
	}
}

// checkPublications checks I9: exactly one of two concurrent publications is
// accepted, and each daemon puts the accepted ones in force in the order of their
// versions and within ActivationLimit.
func (c *checker) checkPublications(h *History) {
	accepted := map[int]int{}
	version := map[string]uint64{}
	var published []Publication
	for _, p := range h.Publications {
		if p.Accepted {
			accepted[p.Round]++
			version[p.MarkerModel] = p.Version
			published = append(published, p)
		}
	}
	for r := 1; r <= h.Rounds; r++ {
		if accepted[r] != 1 {
			c.add("I9", "%d publications of round %d were accepted", accepted[r], r)
		}
	}
	last := map[string]Observation{}
	observations := slices.Clone(h.Observations)
	slices.SortStableFunc(observations, func(a, b Observation) int { return a.Sent.Compare(b.Sent) })
	// reported prevents that a publication is reported for a daemon twice.
	reported := map[string]bool{}
	for _, o := range observations {
		v, ok := version[o.MarkerModel]
		if !ok && o.MarkerModel != "" {
			c.add("I9", "%s has %s in force although it was not accepted", o.Daemon, o.MarkerModel)
			continue
		}
		if previous := last[o.Daemon]; version[previous.MarkerModel] > v && !previous.Ended.After(o.Sent) {
			c.add("I9", "%s reverted from %s to %q", o.Daemon, previous.MarkerModel, o.MarkerModel)
		}
		last[o.Daemon] = o
		for _, p := range published {
			if o.Sent.After(p.At.Add(ActivationLimit)) && v < p.Version && !reported[o.Daemon+p.MarkerModel] {
				reported[o.Daemon+p.MarkerModel] = true
				c.add("I9", "%s still has %q in force %v after %s was accepted", o.Daemon, o.MarkerModel, o.Sent.Sub(p.At).Round(time.Millisecond), p.MarkerModel)
			}
		}
	}
}
