package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/azurespan/azurespan/internal/check/trace"
)

// replay feeds a trace file to the core and compares the outcomes with those
// stated beside the events. It prints a summary, or fails with the first
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
