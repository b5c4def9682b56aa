package main

import (
	"context"

	"github.com/azurespan/azurespan/internal/base/setup"
)

// serve runs a daemon until ctx ends.
func serve(_ context.Context, _ *setup.Settings) error {
	return &notImplementedError{command: "serve"}
}
