// Command measure replays synthetic traces against the decision packages. It writes
// the traces, a table of the results, the comparison with the targets and plots to
// a folder, and prints the table.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"github.com/azurespan/azurespan/internal/check/bench"
)

func main() {
	out, seed := "measure-out", uint64(1)
	flaggy.SetName("measure")
	flaggy.SetDescription("replays synthetic traces against the decision packages")
	flaggy.String(&out, "out", "out", "folder for the table, plots, traces and results")
	flaggy.UInt64(&seed, "seed", "seed", "seed of fleets, traces and decisions")
	flaggy.Parse()
	if err := run(out, seed); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// run writes all files to the folder out.
func run(out string, seed uint64) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	for _, d := range bench.Deployments() {
		for _, t := range bench.Traces(d, seed) {
			if err := writeTrace(filepath.Join(out, d.Name+"-"+t.Name+".jsonl"), t); err != nil {
				return err
			}
		}
	}
	ms := bench.Run(seed, nil)
	targets := bench.Targets(ms)
	text := fmt.Sprintf("seed %d\n\n%s\n%s", seed, bench.FormatTable(ms), bench.FormatTargets(targets))
	fmt.Print(text)
	if err := os.WriteFile(filepath.Join(out, "table.txt"), []byte(text), 0o644); err != nil {
		return err
	}
	b, err := json.MarshalIndent(targets, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "targets.json"), append(b, '\n'), 0o644); err != nil {
		return err
	}
	return bench.Plot(out, ms)
}

func writeTrace(name string, t *bench.Trace) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := t.Encode(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
