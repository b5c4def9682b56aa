package event

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// TestCataloguePage guards against a docs/events.md that differs from the
// catalogue. UPDATE_GOLDEN=1 rewrites the page.
func TestCataloguePage(t *testing.T) {
	const page = "../../../docs/events.md"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(page, []byte(Markdown()), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, Markdown(), string(got))
}
