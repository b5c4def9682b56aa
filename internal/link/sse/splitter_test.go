package sse

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestCompleteEventsOnly guards against forwarding part of an event, which would
// be sent again when the stream is resumed on another upstream.
func TestCompleteEventsOnly(t *testing.T) {
	s := New()
	_, _ = s.Write([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	must.Eq(t, "id: 1\ndata: a\n\n", string(s.TakeEvents()))
	must.Eq(t, "1", s.LastID)
	must.Eq(t, "", string(s.TakeEvents()))
	_, _ = s.Write([]byte("ta: b\n"))
	must.Eq(t, "", string(s.TakeEvents()))
	_, _ = s.Write([]byte("\n"))
	must.Eq(t, "id: 2\ndata: b\n\n", string(s.TakeEvents()))
	must.Eq(t, "2", s.LastID)
	must.Eq(t, 2, s.EventCount)
}

// TestCRLF guards against a failure to split streams with CR LF line endings.
func TestCRLF(t *testing.T) {
	s := New()
	_, _ = s.Write([]byte("id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: b\r\n\r"))
	must.Eq(t, "id: 7\r\ndata: a\r\n\r\n", string(s.TakeEvents()))
	_, _ = s.Write([]byte("\n"))
	must.Eq(t, "id: 8\r\ndata: b\r\n\r\n", string(s.TakeEvents()))
	must.Eq(t, "8", s.LastID)
}

// TestTakePartial guards against joining parts of events from two runs.
func TestTakePartial(t *testing.T) {
	s := New()
	_, _ = s.Write([]byte("id: 1\ndata: a\n\nid: 2\ndata: b"))
	s.TakeEvents()
	must.Eq(t, "id: 2\ndata: b", string(s.TakePartial()))
	_, _ = s.Write([]byte("id: 2\ndata: c\n\n"))
	must.Eq(t, "id: 2\ndata: c\n\n", string(s.TakeEvents()))
}

// TestLastID guards against missing an id that follows an engine-specific field,
// and against losing the last id at an event without one.
func TestLastID(t *testing.T) {
	s := New()
	_, _ = s.Write([]byte("x-weight-versions: 3\nid: 4\ndata: a\n\ndata: b\n\n"))
	s.TakeEvents()
	must.Eq(t, "4", s.LastID)
	must.Eq(t, 2, s.EventCount)
}

// TestWithinEvent guards against a stream that looks complete although it ends within an
// event, also within a character, and against a sound one that is taken as truncated
// because blank lines or comments follow its last event.
func TestWithinEvent(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	for rest, want := range map[string]bool{
		"": false, "\n": false, "\r\n": false, "\n\r\n": false, ": keep-alive\n": false, ": keep-alive\r\n\n": false,
		"i": true, "id: 2": true, "id: 2\n": true, "id: 2\r\ndata: b\r\n": true, "data: \xe6\x97": true,
		":": true, ": keep-al": true, ": keep-alive\nid: 2": true, "id: 2\n: keep-alive\n": true,
	} {
		s := New()
		_, _ = s.Write([]byte(events + rest))
		s.TakeEvents()
		must.Eq(t, want, s.WithinEvent(), must.Sprintf("%q", rest))
	}
}
