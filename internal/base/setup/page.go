package setup

import (
	"fmt"
	"strings"
)

// Markdown returns the tables of docs/settings.md.
func Markdown() string {
	var b strings.Builder
	section := ""
	for i := range fields {
		f := &fields[i]
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | unit | allowed | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", f.key, f.defaultText(), orNone(f.unit), f.allowed, f.meaning)
	}
	return b.String()
}

// defaultText returns the cell of the column default.
func (f *field) defaultText() string {
	if f.required {
		return "required"
	}
	return orNone(f.defaultValue)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
