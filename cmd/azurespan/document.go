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

// document is a JSON object from a daemon. The command prints all keys that the
// daemon sends, so that the versions of the two may differ.
type document map[string]any

// columnOrder lists the keys that come first in a table. Other keys follow in
// alphabetical order, and why, which holds a sentence, comes last.
var columnOrder = []string{"time", "time-ms", "kind", "upstream", "name", "model", "version", "failure-domain", "status", "daemon", "owner", "epoch", "request"}

// writeText prints one line for each value and each list of values, and then a
// table for each list of objects.
func (d document) writeText(w io.Writer) { d.write(w, "") }

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

// writeList prints a list of words on one line, and a list that contains
// sentences with one element on each line.
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

// writeTable prints objects as the rows of a table with a column for each key.
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
			return len(columnOrder) + 1
		}
		if i := slices.Index(columnOrder, k); i >= 0 {
			return i
		}
		return len(columnOrder)
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
			row[i] = formatCell(k, o[k])
		}
		fmt.Fprintf(tw, "  %s\n", strings.Join(row, "\t"))
	}
	_ = tw.Flush() // a failed write to the terminal can't be handled
}

// formatCell formats a value of a table: sizes with a unit, times in UTC, and "-"
// for no value.
func formatCell(key string, v any) string {
	n, number := v.(json.Number)
	i, err := strconv.ParseInt(string(n), 10, 64)
	switch {
	case v == nil || v == "":
		return "-"
	case number && err == nil && key == "time-ms":
		return time.UnixMilli(i).UTC().Format("2006-01-02T15:04:05.000Z")
	case number && err == nil && strings.HasSuffix(key, "-bytes"):
		return formatSize(i)
	}
	switch v := v.(type) {
	case map[string]any:
		return formatObject(v)
	case []any:
		parts := make([]string, len(v))
		for i := range v {
			parts[i] = formatCell("", v[i])
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}

// formatSize formats a number of bytes in the largest unit that divides it.
func formatSize(n int64) string {
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

// formatObject formats an object as key=value pairs.
func formatObject(o map[string]any) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(o)) {
		parts = append(parts, k+"="+formatCell(k, o[k]))
	}
	return strings.Join(parts, " ")
}
