package trace

import (
	"fmt"
	"maps"
	"slices"

	"github.com/azurespan/azurespan/internal/core/claims"
)

// noReaderError reports an event for a stream that has no reader yet. Its value
// is the name of the stream.
type noReaderError string

// Error returns a message with the name of the stream.
func (e noReaderError) Error() string { return fmt.Sprintf("stream %q has no reader", string(e)) }

// outcomeName returns the name under which a trace states an outcome. The core
// uses the empty reason for an accepted record.
func outcomeName(reason string) string {
	if reason == "" {
		return "accepted"
	}
	return reason
}

// reader returns the claims state of the stream's reader.
func (p *replayer) reader(stream string) (*claims.State, error) {
	if s := p.readers[stream]; s != nil {
		return s, nil
	}
	return nil, noReaderError(stream)
}

// compare returns nil if want and got are equal.
func compare(what, want, got string) *Difference {
	if want == got {
		return nil
	}
	return &Difference{What: what, Want: want, Got: got}
}

// compareMap compares each value in want with got, in the order of the keys, and
// returns the first difference.
func compareMap[V any](what string, want map[string]V, got func(string) V) *Difference {
	for _, k := range slices.Sorted(maps.Keys(want)) {
		if d := compare(what+" "+k, fmt.Sprint(want[k]), fmt.Sprint(got(k))); d != nil {
			return d
		}
	}
	return nil
}
