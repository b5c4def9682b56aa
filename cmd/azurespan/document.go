package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// document is a JSON object from a daemon. The command prints whatever keys
// the daemon sends, so that both can differ in version.
type document map[string]any

// text prints one line for each value, and one for each object in a list.
func (d document) text(w io.Writer) { d.write(w, "") }

func (d document) write(w io.Writer, prefix string) {
	for _, k := range slices.Sorted(maps.Keys(d)) {
		switch v := d[k].(type) {
		case map[string]any:
			document(v).write(w, prefix+k+".")
		case []any:
			writeList(w, prefix+k, v)
		default:
			fmt.Fprintf(w, "%s%s: %v\n", prefix, k, v)
		}
	}
}

// writeList prints a list of scalars on one line and each object on its own.
func writeList(w io.Writer, name string, list []any) {
	var scalars []string
	for _, v := range list {
		if o, ok := v.(map[string]any); ok {
			fmt.Fprintf(w, "%s: %s\n", name, line(o))
			continue
		}
		scalars = append(scalars, word(v))
	}
	if len(scalars) > 0 || len(list) == 0 {
		fmt.Fprintf(w, "%s: %s\n", name, strings.Join(scalars, ", "))
	}
}

// line returns an object as key=value pairs. Time and kind come first, because
// they order a list of decisions.
func line(o map[string]any) string {
	keys := slices.Sorted(maps.Keys(o))
	rank := func(k string) int {
		switch k {
		case "time", "time-ms":
			return 0
		case "kind", "name":
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(keys, func(a, b string) int { return rank(a) - rank(b) })
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = k + "=" + word(o[k])
	}
	return strings.Join(parts, " ")
}

// word returns a value without spaces outside quotes.
func word(v any) string {
	switch v := v.(type) {
	case map[string]any:
		return "{" + line(v) + "}"
	case []any:
		parts := make([]string, len(v))
		for i := range v {
			parts[i] = word(v[i])
		}
		return "[" + strings.Join(parts, ",") + "]"
	case string:
		if v == "" || strings.ContainsAny(v, " =\"\n\t{}[],") {
			return fmt.Sprintf("%q", v)
		}
		return v
	default:
		return fmt.Sprint(v)
	}
}
