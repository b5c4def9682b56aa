package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

type (
	// refusalSummary says why requests were refused, and what was done for the models that
	// were refused most, by logs of daemons on entry hosts.
	refusalSummary struct {
		// Ended counts the requests by outcome, and Refused those by reason.
		Ended   map[string]int `json:"ended"`
		Refused map[string]int `json:"refused"`
		// Models are those that were refused most.
		Models []modelRefusals `json:"models"`
		// Seconds are those with the most refusals, in order.
		Seconds []secondRefusals `json:"seconds"`
		// StoreLoads is the number of loads from the weight store.
		StoreLoads int `json:"store-loads"`
	}

	// modelRefusals are the refusals of one model, and its loads.
	modelRefusals struct {
		Model   string         `json:"model"`
		Refused int            `json:"refused"`
		Reasons map[string]int `json:"reasons"`
		// Loads counts the loads of the model by where its weights were.
		Loads map[string]int `json:"loads"`
		// Short counts the seconds in which the model was short and got no copy, by
		// reason.
		Short map[string]int `json:"short"`
		// Inputs are those of the last load: copies, running and waiting requests and
		// arrivals a second.
		Inputs string `json:"inputs"`
	}

	// secondRefusals are the refusals of one second by class, and the models that were short
	// of copies then and got none, by reason.
	secondRefusals struct {
		Second  string         `json:"second"`
		Refused map[string]int `json:"refused"`
		Short   map[string]int `json:"short"`
	}

	// refusalCounts are the counts while logs are read, by model and by second.
	refusalCounts struct {
		*refusalSummary
		models  map[string]*modelRefusals
		seconds map[string]*secondRefusals
	}
)

// maxModels and maxSeconds are the numbers of models and seconds that a summary has.
const (
	maxModels  = 8
	maxSeconds = 20
)

var (
	// eventName and logField match the name of an event and its fields.
	eventName = regexp.MustCompile(`"([a-z-]+)" event=\d+`)
	// logTime matches the time of a line, to the second: of the daemon, or the seconds since
	// the start of a play that precede its line.
	logTime  = regexp.MustCompile(`^\s*(\d+)\.\d* |\b[IWEF]\d{4} (\d\d:\d\d:\d\d)`)
	logField = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// summariseRefusals reads the logs of daemons on entry hosts, with - for standard input.
func summariseRefusals(o options, in io.Reader) (commandResult, error) {
	s := &refusalCounts{&refusalSummary{Ended: map[string]int{}, Refused: map[string]int{}}, map[string]*modelRefusals{}, map[string]*secondRefusals{}}
	for _, path := range o.logFiles {
		if err := readLines(path, in, s.add); err != nil {
			return nil, err
		}
	}
	all := slices.SortedFunc(maps.Values(s.models), func(a, b *modelRefusals) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Model, b.Model))
	})
	for _, m := range all[:min(len(all), maxModels)] {
		if m.Refused > 0 {
			s.Models = append(s.Models, *m)
		}
	}
	s.Seconds = s.worstSeconds()
	if len(s.Ended)+len(s.Refused) == 0 {
		return s.refusalSummary, &refusedError{detail: "no request ended in the given logs"}
	}
	return s.refusalSummary, nil
}

// worstSeconds returns the seconds with the most refusals, in order.
func (s *refusalCounts) worstSeconds() (out []secondRefusals) {
	all := slices.SortedFunc(maps.Values(s.seconds), func(a, b *secondRefusals) int {
		return cmp.Or(cmp.Compare(total(b.Refused), total(a.Refused)), compareSeconds(a.Second, b.Second))
	})
	for _, x := range all[:min(len(all), maxSeconds)] {
		if len(x.Refused) > 0 {
			out = append(out, *x)
		}
	}
	slices.SortFunc(out, func(a, b secondRefusals) int { return compareSeconds(a.Second, b.Second) })
	return out
}

// compareSeconds orders times of day, and numbers of seconds by their values.
func compareSeconds(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// total returns the sum of counts.
func total(by map[string]int) (n int) {
	for _, c := range by {
		n += c
	}
	return n
}

// second returns the counts of the second in which a line was written.
func (s *refusalCounts) second(line string) *secondRefusals {
	at := ""
	if m := logTime.FindStringSubmatch(line); m != nil {
		at = cmp.Or(m[1], m[2])
	}
	x := s.seconds[at]
	if x == nil {
		x = &secondRefusals{Second: cmp.Or(at, "unknown"), Refused: map[string]int{}, Short: map[string]int{}}
		s.seconds[at] = x
	}
	return x
}

// add adds a line of a log.
func (s *refusalCounts) add(line string) {
	name := eventName.FindStringSubmatch(line)
	if name == nil {
		return
	}
	fields := map[string]string{}
	for _, f := range logField.FindAllStringSubmatch(line, -1) {
		fields[f[1]] = strings.Trim(f[2], `"`)
	}
	base, adapter, _ := strings.Cut(fields["model"], "/")
	model := s.models[base]
	if model == nil {
		model = &modelRefusals{Model: base, Reasons: map[string]int{}, Loads: map[string]int{}, Short: map[string]int{}}
	}
	switch name[1] {
	case "relay-ended":
		s.Ended[fields["outcome"]]++
		return
	case "relay-refused":
		s.Refused[fields["reason"]]++
		model.Refused++
		model.Reasons[fields["reason"]]++
		s.second(line).Refused[cmp.Or(fields["class"], "unknown")]++
	case "model-short":
		model.Short[fields["reason"]]++
		s.second(line).Short[fields["reason"]]++
	case "load-ordered":
		if fields["unload"] == "true" || adapter != "" || fields["reply"] != "accepted" {
			return
		}
		model.Loads[fields["from"]]++
		model.Inputs = fmt.Sprintf("copies=%s running=%s waiting=%s rate=%s", fields["copies"], fields["running"], fields["waiting"], fields["rate"])
		if fields["from"] == "store" {
			s.StoreLoads++
		}
	default:
		return
	}
	if base != "" {
		s.models[base] = model
	}
}

func (s *refusalSummary) writeText(w io.Writer) {
	// A failed write to standard output can't be handled.
	_, _ = fmt.Fprintf(w, "ended: %s\nrefused: %s\nloads from the weight store: %d\n", counts(s.Ended), counts(s.Refused), s.StoreLoads)
	for _, m := range s.Models {
		_, _ = fmt.Fprintf(w, "%s: refused %d (%s); loads: %s; short: %s; last load: %s\n", m.Model, m.Refused, counts(m.Reasons), counts(m.Loads), counts(m.Short), cmp.Or(m.Inputs, "none"))
	}
	for _, x := range s.Seconds {
		_, _ = fmt.Fprintf(w, "%s: refused %s; short: %s\n", x.Second, counts(x.Refused), counts(x.Short))
	}
}

// counts returns counts as text, the largest first.
func counts(by map[string]int) string {
	var out []string
	for _, k := range slices.SortedFunc(maps.Keys(by), func(a, b string) int { return cmp.Or(cmp.Compare(by[b], by[a]), cmp.Compare(a, b)) }) {
		out = append(out, fmt.Sprintf("%s %d", k, by[k]))
	}
	return cmp.Or(strings.Join(out, ", "), "none")
}
