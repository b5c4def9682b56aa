package trace

import (
	"fmt"
	"maps"
	"slices"

	"github.com/azurespan/azurespan/internal/core/claims"
)

// noReader reports an event for a stream before its reader event.
type noReader string

// Error names the stream.
func (e noReader) Error() string { return fmt.Sprintf("stream %q has no reader", string(e)) }

// reason returns the name of an outcome, which is empty in the core for an
// accepted record.
func reason(s string) string {
	if s == "" {
		return "accepted"
	}
	return s
}

func (p *player) fold(stream string) (*claims.State, error) {
	if f := p.folds[stream]; f != nil {
		return f, nil
	}
	return nil, noReader(stream)
}

func compare(what, want, got string) *Difference {
	if want == got {
		return nil
	}
	return &Difference{What: what, Want: want, Got: got}
}

// compareMap compares each stated value, in order of the keys.
func compareMap[V any](what string, want map[string]V, got func(string) V) *Difference {
	for _, k := range slices.Sorted(maps.Keys(want)) {
		if d := compare(what+" "+k, fmt.Sprint(want[k]), fmt.Sprint(got(k))); d != nil {
			return d
		}
	}
	return nil
}
