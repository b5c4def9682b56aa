// Package merger merges the crash histories of a message into those that a daemon knows, and
// logs one line for each message that has changed any.
package merger

import (
	"fmt"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/poison"
)

// Merger merges crash histories. It is safe for concurrent use.
type Merger struct{ crashes *poison.Table }

// maxNamed is the number of changed histories that a line names: a request has up to seven
// and some shared parts of its prompt. The others are counted.
const maxNamed = 12

// New returns a Merger into a table.
func New(crashes *poison.Table) *Merger { return &Merger{crashes: crashes} }

// Merge merges histories that the table with the ID peer has sent, 0 if that is unknown. If
// any has changed, it logs line with attributes that say where they are from, the number of
// changed histories, and the keys of the first of them with the crashes known before and
// after. It returns that number.
func (m *Merger) Merge(now time.Time, peer uint64, entries []poison.Entry, line event.Event, from ...any) (changes int) {
	var named strings.Builder
	for _, e := range entries {
		before, after, changed := m.crashes.MergeFrom(now, peer, e)
		if !changed {
			continue
		}
		if changes++; changes > maxNamed {
			continue
		}
		if changes > 1 {
			named.WriteByte(' ')
		}
		fmt.Fprintf(&named, "%s=%d>%d", e.Fingerprint, before, after)
	}
	if changes == 0 {
		return 0
	}
	if changes > maxNamed {
		line.Omit(changes - maxNamed)
	}
	line.Log(append(from, "histories", changes, "changed", named.String())...)
	return changes
}
