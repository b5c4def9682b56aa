package engine

import (
	"encoding/json"
	"fmt"
)

type (
	// CacheEvent reports that a checkpoint or prompt prefix was stored in a
	// cache or evicted from it.
	CacheEvent struct {
		Offset uint64 `json:"offset"`
		TimeMS int64  `json:"time-ms"`
		// Kind is Stored or Evicted.
		Kind    string `json:"kind"`
		Model   string `json:"model"`
		Version string `json:"version"`
		// Tier of a checkpoint; empty for a prefix.
		Tier Tier `json:"tier"`
		// Prefix is the hash of a prompt prefix, in hexadecimal; empty for a
		// checkpoint.
		Prefix string `json:"prefix"`
	}

	// Events is a page of cache events.
	Events struct {
		// Incarnation of the engine; offsets restart with each incarnation.
		Incarnation int64 `json:"incarnation"`
		// End is the offset from which to read next.
		End uint64 `json:"end"`
		// Missed is the number of events before End that were not published
		// or are no longer retained.
		Missed uint64       `json:"-"`
		Events []CacheEvent `json:"events"`
	}
)

// Kinds of cache event.
const (
	Stored  = "stored"
	Evicted = "evicted"
)

// decodeEvents decodes and validates the response to a read that starts at
// offset from, and counts the missing events.
func decodeEvents(b []byte, from uint64) (Events, error) {
	var ev Events
	if err := json.Unmarshal(b, &ev); err != nil {
		return Events{}, err
	}
	next := max(from, 1)
	if ev.Incarnation <= 0 || ev.End < next {
		return Events{}, fmt.Errorf("invalid incarnation %d, or end %d below the first offset %d", ev.Incarnation, ev.End, next)
	}
	for i, e := range ev.Events {
		switch {
		case e.Offset < next || e.Offset >= ev.End:
			return Events{}, fmt.Errorf("events[%d]: offset %d is not in [%d, %d)", i, e.Offset, next, ev.End)
		case e.Kind != Stored && e.Kind != Evicted:
			return Events{}, fmt.Errorf("events[%d]: unknown kind %q", i, e.Kind)
		case e.Model == "" || (e.Tier == "") == (e.Prefix == ""):
			return Events{}, fmt.Errorf("events[%d]: not exactly one of tier and prefix, or no model", i)
		}
		ev.Missed += e.Offset - next
		next = e.Offset + 1
	}
	ev.Missed += ev.End - next
	return ev, nil
}
