package main

import (
	"encoding/json"
	"fmt"
)

// jsonReport is the output of a command with --json.
type jsonReport struct {
	Command string        `json:"command"`
	Exit    int           `json:"exit"`
	Error   string        `json:"error,omitempty"`
	Result  commandResult `json:"result,omitempty"`
}

// report prints the result and the error of a command, and returns the exit
// code. Results go to standard output, errors to standard error; with --json
// both are in one object on standard output.
func report(env environment, o options, result commandResult, err error) int {
	code := exitCode(err)
	if o.json {
		r := jsonReport{Command: o.command, Exit: code, Result: result}
		if err != nil {
			r.Error = err.Error()
		}
		e := json.NewEncoder(env.out)
		e.SetIndent("", "  ")
		if encodeErr := e.Encode(r); encodeErr != nil {
			fmt.Fprintln(env.errOut, "azurespan:", encodeErr)
			return exitInternal
		}
		return code
	}
	if result != nil {
		result.writeText(env.out)
	}
	if err != nil {
		fmt.Fprintf(env.errOut, "azurespan %s: %v\n", o.command, err)
	}
	return code
}
