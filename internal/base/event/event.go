package event

import (
	"fmt"
	"sort"
	"strings"

	"k8s.io/klog/v2"
)

type (
	// Severity is the klog severity an event is written with.
	Severity int

	// Event is one entry of the catalogue.
	Event struct {
		// Number is unique and never reused.
		Number int
		// Name is the log message, in kebab case.
		Name     string
		Severity Severity
		// Meaning says when the event is written.
		Meaning string
		// Action says what an operator should do; empty for nothing.
		Action string
		// PerSecond is the most lines in any second, 0 for no limit beside that of
		// SetRateLimit.
		PerSecond int
	}
)

// Severities.
const (
	Info Severity = iota
	Error
)

var catalogue = map[int]Event{}

// register adds e to the catalogue. It panics at start-up if the number is in
// use, because two events with one number could not be told apart in a log.
func register(e Event) Event {
	if _, ok := catalogue[e.Number]; ok {
		panic(fmt.Sprintf("event: number %d is registered twice", e.Number))
	}
	catalogue[e.Number] = e
	return e
}

// Log writes e with alternating keys and values. For severity Error, an error
// under the key "err" becomes the logged error. Lines above the rate limit are
// dropped; see SetRateLimit.
func (e Event) Log(kv ...any) {
	ok, dropped := limits.allowNow(&e)
	if !ok {
		return
	}
	if dropped > 0 {
		klog.InfoSDepth(1, LinesDropped.Name, "event", LinesDropped.Number, "of", e.Name, "count", dropped)
	}
	fields := make([]any, 0, len(kv)+2)
	fields = append(fields, "event", e.Number)
	var cause error
	for i := 0; i+1 < len(kv); i += 2 {
		if err, ok := kv[i+1].(error); ok && e.Severity == Error && kv[i] == "err" {
			cause = err
			continue
		}
		fields = append(fields, kv[i], kv[i+1])
	}
	if e.Severity == Error {
		klog.ErrorSDepth(1, cause, e.Name, fields...)
		return
	}
	klog.InfoSDepth(1, e.Name, fields...)
}

// Omit counts things that a line sums up without naming them.
func (e Event) Omit(n int) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	limits.omit(&e, n)
}

// Catalogue returns all events in order of their numbers.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Markdown returns the content of docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach line of a daemon's log carries `event=<number>`. This page is generated from the catalogue in `internal/base/event`.\n\n")
	b.WriteString("| number | name | severity | meaning | action |\n|---|---|---|---|---|\n")
	for _, e := range Catalogue() {
		severity := "info"
		if e.Severity == Error {
			severity = "error"
		}
		action := e.Action
		if action == "" {
			action = "none"
		}
		limit := ""
		if e.PerSecond > 0 {
			limit = fmt.Sprintf(" At most %d lines in a second; azurespan_log_omitted_total counts the others.", e.PerSecond)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s%s | %s |\n", e.Number, e.Name, severity, e.Meaning, limit, action)
	}
	return b.String()
}
