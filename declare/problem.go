package declare

import "fmt"

type (
	// ProblemKind names a class of contradictions.
	ProblemKind string

	// Problem is one contradiction in a Deployment.
	Problem struct {
		Kind ProblemKind
		// Path names the part, such as models[3].replicas.
		Path   string
		Detail string
	}
)

// Kinds of problem.
const (
	BadSyntax ProblemKind = "bad-syntax"
)

var _ error = (*Problem)(nil)

// Error returns the path, the kind and the detail.
func (p *Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("%s: %s", p.Kind, p.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Kind, p.Detail)
}
