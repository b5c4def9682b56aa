package front

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/fault"
)

// TestRefusalsPage guards against a fault kind that clients can receive and the
// page does not document. UPDATE_GOLDEN=1 rewrites the page.
func TestRefusalsPage(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../base/fault/fault.go", nil, 0)
	must.NoError(t, err)
	var kinds, listed []fault.Kind
	ast.Inspect(file, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && len(v.Values) == 1 {
			if id, ok := v.Type.(*ast.Ident); ok && id.Name == "Kind" {
				text, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
				must.NoError(t, err)
				kinds = append(kinds, fault.Kind(text))
			}
		}
		return true
	})
	for _, r := range Refusals {
		listed = append(listed, r.Kind)
	}
	must.Eq(t, kinds, listed)

	const page = "../../../docs/refusals.md"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.WriteFile(page, []byte(RefusalsPage()), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, RefusalsPage(), string(got))
}
