package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// document is a JSON object from a daemon. The command prints whatever keys
// the daemon sends, so that both can differ in version.
type document map[string]any

// columns orders the keys of a table; other keys follow in alphabetical order,
// and why, a sentence, comes last.
var columns = []string{"time", "time-ms", "kind", "upstream", "name", "model", "version", "failure-domain", "status", "daemon", "owner", "epoch", "request"}

// text prints values first, then a list of values on one line each, then a
// table for each list of objects.
func (d document) text(w io.Writer) { d.write(w, "") }

func (d document) write(w io.Writer, prefix string) {
	var tables []string
	for _, k := range slices.Sorted(maps.Keys(d)) {
		switch v := d[k].(type) {
		case map[string]any:
			document(v).write(w, prefix+k+".")
		case []any:
			if len(v) > 0 && isObject(v[0]) {
				tables = append(tables, k)
				continue
			}
			writeList(w, prefix+k, v)
		case nil:
			fmt.Fprintf(w, "%s%s: none\n", prefix, k)
		default:
			fmt.Fprintf(w, "%s%s: %v\n", prefix, k, v)
		}
	}
	for _, k := range tables {
		fmt.Fprintf(w, "\n%s%s:\n", prefix, k)
		writeTable(w, d[k].([]any))
	}
}

func isObject(v any) bool {
	_, ok := v.(map[string]any)
	return ok
}

// writeList prints short values, such as numbers, on one line, and sentences
// on lines of their own.
func writeList(w io.Writer, name string, list []any) {
	words := make([]string, len(list))
	long := false
	for i, v := range list {
		words[i] = fmt.Sprint(v)
		long = long || strings.Contains(words[i], " ")
	}
	switch {
	case len(list) == 0:
		fmt.Fprintf(w, "%s: none\n", name)
	case long:
		fmt.Fprintf(w, "%s:\n  %s\n", name, strings.Join(words, "\n  "))
	default:
		fmt.Fprintf(w, "%s: %s\n", name, strings.Join(words, ", "))
	}
}

// writeTable prints objects as rows below their keys.
func writeTable(w io.Writer, list []any) {
	set := map[string]bool{}
	for _, v := range list {
		o, _ := v.(map[string]any)
		for k := range o {
			set[k] = true
		}
	}
	rank := func(k string) int {
		if k == "why" {
			return len(columns) + 1
		}
		if i := slices.Index(columns, k); i >= 0 {
			return i
		}
		return len(columns)
	}
	keys := slices.SortedFunc(maps.Keys(set), func(a, b string) int {
		if c := rank(a) - rank(b); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := make([]string, len(keys))
	for i, k := range keys {
		head[i] = strings.TrimSuffix(strings.TrimSuffix(k, "-bytes"), "-ms")
	}
	fmt.Fprintf(tw, "  %s\n", strings.Join(head, "\t"))
	for _, v := range list {
		o, _ := v.(map[string]any)
		row := make([]string, len(keys))
		for i, k := range keys {
			row[i] = cell(k, o[k])
		}
		fmt.Fprintf(tw, "  %s\n", strings.Join(row, "\t"))
	}
	_ = tw.Flush() // a failed write to the terminal has no remedy
}

// cell returns a value for readers: sizes in GiB or MiB, times in UTC, "-" for
// none.
func cell(key string, v any) string {
	n, number := v.(json.Number)
	i, err := strconv.ParseInt(string(n), 10, 64)
	switch {
	case v == nil || v == "":
		return "-"
	case number && err == nil && key == "time-ms":
		return time.UnixMilli(i).UTC().Format("2006-01-02T15:04:05.000Z")
	case number && err == nil && strings.HasSuffix(key, "-bytes"):
		return size(i)
	}
	switch v := v.(type) {
	case map[string]any:
		return object(v)
	case []any:
		parts := make([]string, len(v))
		for i := range v {
			parts[i] = cell("", v[i])
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}

// size returns a number of bytes in the largest unit that keeps it whole.
func size(n int64) string {
	for _, u := range []struct {
		unit  string
		bytes int64
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.unit
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// object returns an object as key=value pairs.
func object(o map[string]any) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(o)) {
		parts = append(parts, k+"="+cell(k, o[k]))
	}
	return strings.Join(parts, " ")
}
