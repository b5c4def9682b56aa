package main

import (
	"context"
	"io"
)

// replay reads a trace file, runs it and writes how the outcomes differ from
// the stated ones.
func replay(_ context.Context, _ io.Writer, _ string) error {
	return &notImplementedError{command: "replay"}
}
