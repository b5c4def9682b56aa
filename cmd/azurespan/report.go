package main

import (
	"encoding/json"
	"fmt"
)

// reported is what --json prints.
type reported struct {
	Command string  `json:"command"`
	Exit    int     `json:"exit"`
	Error   string  `json:"error,omitempty"`
	Result  outcome `json:"result,omitempty"`
}

// report prints the result and the error of a command, and returns the exit
// code. Results go to standard output, errors to standard error; with --json
// both are in one object on standard output.
func report(env environment, o options, result outcome, err error) int {
	code := exitCode(err)
	if o.json {
		r := reported{Command: o.command, Exit: code, Result: result}
		if err != nil {
			r.Error = err.Error()
		}
		e := json.NewEncoder(env.out)
		e.SetIndent("", "  ")
		if werr := e.Encode(r); werr != nil {
			fmt.Fprintln(env.errs, "azurespan:", werr)
			return exitInternal
		}
		return code
	}
	if result != nil {
		result.text(env.out)
	}
	if err != nil {
		fmt.Fprintf(env.errs, "azurespan %s: %v\n", o.command, err)
	}
	return code
}
