package main

import (
	"fmt"
	"io"
	"os"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/core/record"
)

type (
	// problem is a fault in a settings or configuration file. text is its
	// form for readers.
	problem struct {
		File    string `json:"file"`
		Line    int    `json:"line,omitempty"`
		Path    string `json:"path,omitempty"`
		Kind    string `json:"kind"`
		Detail  string `json:"detail"`
		Allowed string `json:"allowed,omitempty"`
		text    string
	}

	// checkResult lists the files without problems, and the problems of the
	// others.
	checkResult struct {
		Valid    []string  `json:"valid,omitempty"`
		Problems []problem `json:"problems,omitempty"`
	}
)

// maxConfigBytes bounds a configuration. A publish record must stay below
// record.MaxBytes; base64, in which it holds the configuration, expands 3 bytes
// to 4, and a sixteenth is left for the other fields.
const maxConfigBytes = record.MaxBytes / 4 * 3 * 15 / 16

func (c *checkResult) writeText(w io.Writer) {
	for _, f := range c.Valid {
		fmt.Fprintf(w, "%s: valid\n", f)
	}
	for _, p := range c.Problems {
		fmt.Fprintln(w, p.text)
	}
}

// checkCommand checks all files of o and collects their problems.
func checkCommand(o options, in io.Reader) (commandResult, error) {
	if len(o.settings)+len(o.configs) == 0 {
		return nil, &usageError{detail: "check needs a --settings or --config file"}
	}
	result := &checkResult{}
	var daemons []*setup.Settings
	var names []string
	for _, name := range o.settings {
		s, err := setup.Load(name)
		if err != nil {
			result.Problems = append(result.Problems, settingsProblems(err).Problems...)
			continue
		}
		result.Valid = append(result.Valid, name)
		daemons, names = append(daemons, s), append(names, name)
	}
	for _, name := range o.configs {
		d, _, problems := readConfig(name, in)
		if len(problems) == 0 {
			problems = missingDomains(name, d, names, daemons)
		}
		if len(problems) == 0 {
			result.Valid = append(result.Valid, name)
		}
		result.Problems = append(result.Problems, problems...)
	}
	if n := len(result.Problems); n > 0 {
		return result, &refusedError{detail: fmt.Sprintf("problems found: %d", n)}
	}
	return result, nil
}

// missingDomains reports the daemons whose failure domain d does not declare.
// names holds the settings files of the daemons.
func missingDomains(config string, d *declare.Deployment, names []string, daemons []*setup.Settings) []problem {
	var problems []problem
	declared := map[string]bool{}
	for _, f := range d.FailureDomains {
		declared[f] = true
	}
	for i, s := range daemons {
		if f := s.Daemon.FailureDomain; !declared[f] {
			detail := fmt.Sprintf("failure domain %q is not declared in %s", f, config)
			problems = append(problems, problem{File: names[i], Path: "daemon.failure-domain", Kind: "unknown-reference", Detail: detail,
				text: fmt.Sprintf("%s: [daemon] failure-domain: unknown-reference: %s", names[i], detail)})
		}
	}
	return problems
}

// settingsProblems returns the problems in an error of setup.Load.
func settingsProblems(err error) *checkResult {
	c := &checkResult{}
	for _, p := range setup.Problems(err) {
		path := p.Section
		if p.Key != "" {
			path += "." + p.Key
		}
		c.Problems = append(c.Problems, problem{File: p.File, Line: p.Line, Path: path, Kind: string(p.Kind), Detail: p.Detail, Allowed: p.Allowed, text: p.Error()})
	}
	return c
}

// readConfig reads and validates a configuration file, or standard input for
// the name "-". It returns the deployment, the text of the file and the problems
// found; the deployment is valid if there are none.
func readConfig(name string, in io.Reader) (*declare.Deployment, []byte, []problem) {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, []problem{fileProblem(name, "unreadable", err.Error())}
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxConfigBytes+1))
	if err != nil {
		return nil, nil, []problem{fileProblem(name, "unreadable", err.Error())}
	}
	if len(b) > maxConfigBytes {
		return nil, nil, []problem{fileProblem(name, "out-of-range", fmt.Sprintf("a configuration has up to %d bytes", maxConfigBytes))}
	}
	d, err := declare.Decode(b)
	if err == nil {
		err = d.Validate()
	}
	var problems []problem
	for _, p := range declare.Problems(err) {
		problems = append(problems, problem{File: name, Path: p.Path, Kind: string(p.Kind), Detail: p.Detail, text: name + ": " + p.Error()})
	}
	return d, b, problems
}

func fileProblem(name, kind, detail string) problem {
	return problem{File: name, Kind: kind, Detail: detail, text: fmt.Sprintf("%s: %s: %s", name, kind, detail)}
}
