package relay

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/head"
)

// MayForward returns the upstream with an ID at an address, or the reason why no
// request is sent to it for another daemon.
func (r *Relay) MayForward(now time.Time, id, address string) (up fleet.Upstream, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	up, ok := r.table.Find(id)
	switch {
	case !ok || up.Address != address:
		return up, "unknown here"
	case !r.table.Usable(up):
		return up, "leaving"
	case r.table.Paused(now, up):
		return up, "pause"
	}
	return up, ""
}

// Observe records what the final head of an upstream's response says of the upstream. heads
// may begin with those of interim responses. The request was another daemon's, forwarded at
// a time.
func (r *Relay) Observe(up fleet.Upstream, sent time.Time, heads []byte) {
	res, err := readFinalHead(heads)
	if err != nil {
		event.ForwardedHead.Log("upstream", up.ID, "cause", event.Excerpt(err.Error()))
		return
	}
	r.observe(res, up, sent, "forwarded")
}

// readFinalHead returns the response with the first final head in b.
func readFinalHead(b []byte) (*http.Response, error) {
	var s head.Scanner
	if _, err := s.Scan(b); err != nil {
		return nil, err
	}
	for br := bufio.NewReader(bytes.NewReader(b)); ; {
		res, err := http.ReadResponse(br, nil)
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}
