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
		// Inputs are those of the last load: copies, running and waiting requests and
		// arrivals a second.
		Inputs string `json:"inputs"`
	}
)

// maxModels is the number of models that a summary has.
const maxModels = 8

var (
	// eventName and logField match the name of an event and its fields.
	eventName = regexp.MustCompile(`"([a-z-]+)" event=\d+`)
	logField  = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// summariseRefusals reads the logs of daemons on entry hosts, with - for standard input.
func summariseRefusals(o options, in io.Reader) (commandResult, error) {
	s := &refusalSummary{Ended: map[string]int{}, Refused: map[string]int{}}
	models := map[string]*modelRefusals{}
	for _, path := range o.logFiles {
		if err := readLines(path, in, func(line string) { s.add(models, line) }); err != nil {
			return nil, err
		}
	}
	all := slices.SortedFunc(maps.Values(models), func(a, b *modelRefusals) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Model, b.Model))
	})
	for _, m := range all[:min(len(all), maxModels)] {
		if m.Refused > 0 {
			s.Models = append(s.Models, *m)
		}
	}
	if len(s.Ended)+len(s.Refused) == 0 {
		return s, &refusedError{detail: "no request ended in the given logs"}
	}
	return s, nil
}

// add adds a line of a log.
func (s *refusalSummary) add(models map[string]*modelRefusals, line string) {
	name := eventName.FindStringSubmatch(line)
	if name == nil {
		return
	}
	fields := map[string]string{}
	for _, f := range logField.FindAllStringSubmatch(line, -1) {
		fields[f[1]] = strings.Trim(f[2], `"`)
	}
	base, adapter, _ := strings.Cut(fields["model"], "/")
	model := models[base]
	if model == nil {
		model = &modelRefusals{Model: base, Reasons: map[string]int{}, Loads: map[string]int{}}
	}
	switch name[1] {
	case "relay-ended":
		s.Ended[fields["outcome"]]++
		return
	case "relay-refused":
		s.Refused[fields["reason"]]++
		model.Refused++
		model.Reasons[fields["reason"]]++
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
		models[base] = model
	}
}

func (s *refusalSummary) writeText(w io.Writer) {
	// A failed write to standard output can't be handled.
	_, _ = fmt.Fprintf(w, "ended: %s\nrefused: %s\nloads from the weight store: %d\n", counts(s.Ended), counts(s.Refused), s.StoreLoads)
	for _, m := range s.Models {
		_, _ = fmt.Fprintf(w, "%s: refused %d (%s); loads: %s; last load: %s\n", m.Model, m.Refused, counts(m.Reasons), counts(m.Loads), cmp.Or(m.Inputs, "none"))
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
