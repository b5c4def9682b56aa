package bench

import (
	"fmt"
	"slices"
	"strings"
)

// FormatTable returns the results as text, with the bounds in a separate row
// below azurespan's. Cold starts and times to the first token are in formatSeconds,
// times between tokens in milliseconds.
func FormatTable(ms []*Metrics) string {
	rows := [][]string{{
		"trace", "policy", "cold starts", "p50", "p95", "p99", "first p95", "between p95 ms", "idle acc h", "of it loading",
		"urgent on time %", "background finished", "loads", "store most", "refused",
	}}
	var b strings.Builder
	flush := func() {
		writeRows(&b, rows)
		rows = rows[:1]
	}
	deployment := ""
	for _, m := range ms {
		if m.Deployment != deployment {
			if deployment != "" {
				flush()
				b.WriteString("\n")
			}
			deployment = m.Deployment
			fmt.Fprintf(&b, "%s\n", deployment)
		}
		formatSeconds := func(v [3]float64, n int) []string {
			if n == 0 {
				return []string{"-", "-", "-"}
			}
			return []string{fmt.Sprintf("%.2f", v[0]), fmt.Sprintf("%.2f", v[1]), fmt.Sprintf("%.2f", v[2])}
		}
		urgent := "-"
		if m.UrgentFeasible > 0 {
			urgent = fmt.Sprintf("%.2f", 100*float64(m.UrgentOnTime)/float64(m.UrgentFeasible))
		}
		row := append([]string{m.Trace, m.Policy, fmt.Sprint(m.ColdCount)}, formatSeconds(m.Cold, m.ColdCount)...)
		row = append(row, fmt.Sprintf("%.2f", m.FirstTokenP95), fmt.Sprintf("%.0f", 1000*m.TokenIntervalP95), fmt.Sprintf("%.2f", m.IdleHours), fmt.Sprintf("%.2f", m.LoadingHours),
			urgent, fmt.Sprintf("%d of %d", m.BackgroundDone, m.Background), fmt.Sprint(m.Loads), fmt.Sprint(m.MaxStoreLoads), formatRefusals(m.Refused))
		rows = append(rows, row)
		if m.Policy == "azurespan" {
			row = append([]string{"", "bounds", ""}, formatSeconds(m.ColdBound, m.ColdCount)...)
			rows = append(rows, append(row, "", "", fmt.Sprintf("%.2f", m.IdleBound), "", "", "", "", "", ""))
		}
	}
	flush()
	return b.String()
}

// formatRefusals returns the number of refusals by reason as text.
func formatRefusals(m map[string]int) string {
	var out []string
	for k, n := range m {
		out = append(out, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// leftAligned is the number of leading columns, the names, that are aligned left.
const leftAligned = 2

// writeRows writes rows in aligned columns. The last column is not padded.
func writeRows(b *strings.Builder, rows [][]string) {
	width := make([]int, len(rows[0]))
	for _, r := range rows {
		for i, c := range r {
			width[i] = max(width[i], len(c))
		}
	}
	for _, r := range rows {
		line := ""
		for i, c := range r {
			if i < leftAligned {
				line += fmt.Sprintf("%-*s  ", width[i], c)
			} else if i == len(r)-1 {
				line += c
			} else {
				line += fmt.Sprintf("%*s  ", width[i], c)
			}
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
}
