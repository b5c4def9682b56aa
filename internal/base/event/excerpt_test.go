package event

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestExcerpt guards against a text that is cut without a sign of it, or that isn't bounded.
func TestExcerpt(t *testing.T) {
	short := strings.Repeat("a", maxExcerptBytes)
	must.Eq(t, "", Excerpt(""))
	must.Eq(t, short, Excerpt(short))
	must.Eq(t, short+"... (65536 bytes)", Excerpt(strings.Repeat("a", 64<<10)))
}
