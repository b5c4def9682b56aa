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
	// problem is a fault in a settings or configuration file.
	problem struct {
		File    string `json:"file"`
		Line    int    `json:"line,omitempty"`
		Path    string `json:"path,omitempty"`
		Kind    string `json:"kind"`
		Detail  string `json:"detail"`
		Allowed string `json:"allowed,omitempty"`
		shown   string
	}

	// checked lists the files without and the problems of those with faults.
	checked struct {
		Valid    []string  `json:"valid,omitempty"`
		Problems []problem `json:"problems,omitempty"`
	}
)

// maxConfig bounds a configuration, in bytes. Its base64 form in a publish
// record must stay below record.MaxBytes.
const maxConfig = record.MaxBytes / 4 * 3 * 15 / 16

func (c *checked) text(w io.Writer) {
	for _, f := range c.Valid {
		fmt.Fprintf(w, "%s: valid\n", f)
	}
	for _, p := range c.Problems {
		fmt.Fprintln(w, p.shown)
	}
}

// check reads all files of o and collects their problems.
func check(o options, in io.Reader) (outcome, error) {
	if len(o.settings)+len(o.configs) == 0 {
		return nil, &usageError{detail: "check needs a --settings or --config file"}
	}
	result := &checked{}
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
		d, _, ps := readConfig(name, in)
		if len(ps) == 0 {
			ps = missingDomains(name, d, names, daemons)
		}
		if len(ps) == 0 {
			result.Valid = append(result.Valid, name)
		}
		result.Problems = append(result.Problems, ps...)
	}
	if n := len(result.Problems); n > 0 {
		return result, &refusedError{detail: fmt.Sprintf("problems found: %d", n)}
	}
	return result, nil
}

// missingDomains reports daemons whose failure domain d does not declare.
func missingDomains(config string, d *declare.Deployment, names []string, daemons []*setup.Settings) []problem {
	var out []problem
	declared := map[string]bool{}
	for _, f := range d.FailureDomains {
		declared[f] = true
	}
	for i, s := range daemons {
		if f := s.Daemon.FailureDomain; !declared[f] {
			detail := fmt.Sprintf("failure domain %q is not declared in %s", f, config)
			out = append(out, problem{File: names[i], Path: "daemon.failure-domain", Kind: "unknown-reference", Detail: detail,
				shown: fmt.Sprintf("%s: [daemon] failure-domain: unknown-reference: %s", names[i], detail)})
		}
	}
	return out
}

// settingsProblems returns the problems in an error of setup.Load.
func settingsProblems(err error) *checked {
	c := &checked{}
	for _, p := range setup.Problems(err) {
		path := p.Section
		if p.Key != "" {
			path += "." + p.Key
		}
		c.Problems = append(c.Problems, problem{File: p.File, Line: p.Line, Path: path, Kind: string(p.Kind), Detail: p.Detail, Allowed: p.Allowed, shown: p.Error()})
	}
	return c
}

// readConfig reads and validates a configuration file, or standard input for
// the name "-". It returns the text and the problems found; without problems
// the deployment is valid.
func readConfig(name string, in io.Reader) (*declare.Deployment, []byte, []problem) {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, nil, []problem{fileProblem(name, "unreadable", err.Error())}
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxConfig+1))
	if err != nil {
		return nil, nil, []problem{fileProblem(name, "unreadable", err.Error())}
	}
	if len(b) > maxConfig {
		return nil, nil, []problem{fileProblem(name, "out-of-range", fmt.Sprintf("a configuration has up to %d bytes", maxConfig))}
	}
	d, err := declare.Decode(b)
	if err == nil {
		err = d.Validate()
	}
	var out []problem
	for _, p := range declare.Problems(err) {
		out = append(out, problem{File: name, Path: p.Path, Kind: string(p.Kind), Detail: p.Detail, shown: name + ": " + p.Error()})
	}
	return d, b, out
}

func fileProblem(name, kind, detail string) problem {
	return problem{File: name, Kind: kind, Detail: detail, shown: fmt.Sprintf("%s: %s: %s", name, kind, detail)}
}
