// Package audit keeps a daemon's most recent decisions for the explain command.
package audit

import (
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/ring"
)

type (
	// Decision is one routing or placement decision.
	Decision struct {
		TimeMS   int64  `json:"time-ms"`
		Kind     string `json:"kind"`
		Request  string `json:"request,omitempty"`
		Model    string `json:"model,omitempty"`
		Upstream string `json:"upstream,omitempty"`
		Why      string `json:"why,omitempty"`
	}

	// Trail holds the most recent decisions. It is safe for concurrent use.
	Trail struct {
		mu   sync.Mutex
		ring *ring.Ring[Decision]
	}
)

// New returns a Trail of the last n decisions.
func New(n int) *Trail { return &Trail{ring: ring.New[Decision](n)} }

// Add records a decision made at now.
func (t *Trail) Add(now time.Time, d Decision) {
	d.TimeMS = now.UnixMilli()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.Add(d)
}

// Find returns the decisions about a request or a model, oldest first. Empty
// arguments match everything.
func (t *Trail) Find(request, model string) []Decision {
	out := []Decision{}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.Each(func(d Decision) {
		if (request == "" || d.Request == request) && (model == "" || d.Model == model) {
			out = append(out, d)
		}
	})
	return out
}

// Has reports whether the Trail has a decision of the kind about the request.
func (t *Trail) Has(request, kind string) bool {
	found := false
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.Each(func(d Decision) { found = found || d.Request == request && d.Kind == kind })
	return found
}
