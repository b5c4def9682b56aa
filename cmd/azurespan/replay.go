package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/azurespan/azurespan/internal/check/trace"
)

// replay replays a trace file and compares the outcomes with those that the file
// states beside the events. It prints a summary, or fails at the first
// difference.
func replay(_ context.Context, out io.Writer, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return &refusedError{detail: err.Error()}
	}
	defer f.Close()
	err = trace.Replay(f, out)
	var different *trace.Difference
	var malformed *trace.FormatError
	if errors.As(err, &different) || errors.As(err, &malformed) {
		return &refusedError{detail: err.Error()}
	}
	return err
}
