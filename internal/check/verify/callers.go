package verify

import (
	"slices"
	"strings"

	"github.com/azurespan/azurespan/standin/engine/engsv"
)

// endings checks I3: every exchange ends by its deadline plus the grace, with
// an answer or a refusal, unless the scenario stopped its daemon.
func (c *checker) endings(h *History) {
	for i := range h.Requests {
		r := &h.Requests[i]
		for j := range r.Exchanges {
			x := &r.Exchanges[j]
			if h.stopped(x) {
				continue
			}
			if took := x.Ended.Sub(x.Sent); took > x.Deadline+DeadlineGrace {
				c.add("I3", "%s %s at %s ended after %v, deadline %v", r.Kind, r.ID, x.Daemon, took.Round(1e6), x.Deadline)
			}
			if !x.Complete && (x.Status != 0 || !h.ended(x)) {
				c.add("I3", "%s %s at %s broke off without a refusal: status %d, %s", r.Kind, r.ID, x.Daemon, x.Status, x.Error)
			}
		}
	}
}

// answers checks I4: the text that arrived is the expected one, whole if the
// answer said that it ended.
func (c *checker) answers(h *History) {
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind == Call || r.Text == "" && !r.Done {
			continue
		}
		t, ok := h.Targets[r.Model]
		if !ok {
			c.add("I4", "answer of undeclared model %s", r.Model)
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
			c.add("I4", "%s %s of %s has %d words instead of %d, first difference at byte %d", r.Kind, r.ID, r.Model,
				strings.Count(r.Text, " "), want.Tokens, differ(r.Text, full))
		case !strings.HasPrefix(full, r.Text):
			c.add("I4", "part of %s %s of %s differs at byte %d", r.Kind, r.ID, r.Model, differ(r.Text, full))
		case r.Kind == Stream && r.Done && int64(r.Tokens) != want.Tokens:
			c.add("I4", "%s %s has %d events instead of %d", r.Kind, r.ID, r.Tokens, want.Tokens)
		}
	}
}

func differ(a, b string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// refusals checks I5: a request refused with run "no" is in no upstream's
// records. A run that comes after the refusal counts as well.
func (c *checker) refusals(h *History) {
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
			c.add("I5", "%s %s was refused (%s) without saying whether it ran", r.Kind, r.ID, r.Refusal)
		}
		if r.ID == "" {
			c.add("I5", "a refusal (%s) names no request", r.Refusal)
		}
		if r.Run == "no" && (ran[r.ID] != "" || r.Tokens > 0) {
			c.add("I5", "%s %s was refused (%s, run: no) and ran on %s", r.Kind, r.ID, r.Refusal, ran[r.ID])
		}
	}
}

// keys checks I6: at most one run for each key, and one answer for all sends.
func (c *checker) keys(h *History) {
	runs := map[string][]string{}
	for i := range h.Services {
		for _, x := range h.Services[i].Entries {
			if x.Kind == "run" && x.Key != "" {
				runs[x.Key] = append(runs[x.Key], h.Services[i].Name+" at "+clock(x.TimeUS))
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
			c.add("I4", "key %s was answered with %q and with %q", r.Key, first, r.Text)
		}
		answers[r.Key] = r.Text
		if len(runs[r.Key]) == 0 {
			c.add("I4", "key %s was answered with %q but did not run", r.Key, r.Text)
		}
	}
}

// terminations checks I8: SIGTERM cuts no answer that had begun.
func (c *checker) terminations(h *History) {
	for i := range h.Requests {
		r := &h.Requests[i]
		for j := range r.Exchanges {
			x := &r.Exchanges[j]
			if x.Status == 200 && h.ended(x) && !h.stopped(x) && (!x.Complete || r.Refusal != "" && j == len(r.Exchanges)-1) {
				c.add("I8", "%s %s was cut by the shutdown of %s after %d tokens: %s%s", r.Kind, r.ID, x.Daemon, r.Tokens, r.Refusal, x.Error)
			}
		}
	}
}

// publications checks I9: one of two concurrent publications is accepted, and
// each daemon shows the accepted ones in their order and in time.
func (c *checker) publications(h *History) {
	accepted := map[int]int{}
	version := map[string]uint64{}
	var in []Publication
	for _, p := range h.Publications {
		if p.Accepted {
			accepted[p.Round]++
			version[p.MarkerModel] = p.Version
			in = append(in, p)
		}
	}
	for r := 1; r <= h.Rounds; r++ {
		if accepted[r] != 1 {
			c.add("I9", "%d publications of round %d were accepted", accepted[r], r)
		}
	}
	last := map[string]Observation{}
	seen := slices.Clone(h.Observations)
	slices.SortStableFunc(seen, func(a, b Observation) int { return a.Sent.Compare(b.Sent) })
	late := map[string]bool{}
	for _, s := range seen {
		v, ok := version[s.MarkerModel]
		if !ok && s.MarkerModel != "" {
			c.add("I9", "%s has %s in force, which was not accepted", s.Daemon, s.MarkerModel)
			continue
		}
		if before := last[s.Daemon]; version[before.MarkerModel] > v && !before.Ended.After(s.Sent) {
			c.add("I9", "%s went back from %s to %q", s.Daemon, before.MarkerModel, s.MarkerModel)
		}
		last[s.Daemon] = s
		for _, p := range in {
			if s.Sent.After(p.At.Add(ActivationLimit)) && v < p.Version && !late[s.Daemon+p.MarkerModel] {
				late[s.Daemon+p.MarkerModel] = true
				c.add("I9", "%s has %q in force %v after %s was accepted", s.Daemon, s.MarkerModel, s.Sent.Sub(p.At).Round(1e6), p.MarkerModel)
			}
		}
	}
}
