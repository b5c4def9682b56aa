package event

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// TestCataloguePage guards against a page that lacks an event or describes it
// differently from the code. UPDATE_GOLDEN=1 rewrites the page.
func TestCataloguePage(t *testing.T) {
	const page = "../../../docs/events.md"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(page, []byte(Markdown()), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, Markdown(), string(got))
}
