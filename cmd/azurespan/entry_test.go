package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/platform"
)

// stoppingVariable is set in the process that TestHangupWhileStopping starts.
const stoppingVariable = "AZURESPAN_TEST_STOPPING"

// TestHangupWhileStopping guards against a SIGHUP after SIGTERM that ends the process
// at once, with all requests in progress.
func TestHangupWhileStopping(t *testing.T) {
	if os.Getenv(stoppingVariable) != "" {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		watchSettings(ctx, filepath.Join(t.TempDir(), "none"), &platform.Settings{}, nil)
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(100 * time.Millisecond)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), stoppingVariable+"=1")
	out, err := cmd.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
}
