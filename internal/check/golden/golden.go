package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Check compares text with the file testdata/name of the package under test.
func Check(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, string(want), text)
}
