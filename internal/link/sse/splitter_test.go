package sse

import (
	"errors"
	"fmt"
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

// TestOrder guards against passing on an event twice, or one that comes before another: the
// events from the first whose id doesn't follow aren't taken.
func TestOrder(t *testing.T) {
	for _, c := range []struct {
		after string
		ids   []string
		taken int
	}{
		{"", []string{"1", "2", "3"}, 3},
		{"", []string{"9", "10", "100"}, 3},
		{"", []string{"1", "3"}, 2},
		{"", []string{"1", "2", "2", "3"}, 2},
		{"", []string{"1", "3", "2"}, 2},
		{"", []string{"10", "9"}, 1},
		{"", []string{"1", "01"}, 1},
		{"", []string{"18446744073709551616", "18446744073709551615"}, 1},
		{"2", []string{"3"}, 1},
		{"2", []string{"1", "2", "3"}, 0},
		{"2", []string{"2"}, 0},
		{"0", []string{"0"}, 0},
		{"0", []string{"1"}, 1},
		{"", []string{"a", "b", "a"}, 3},
		{"", []string{"a", "a"}, 1},
		{"a", []string{"1"}, 0},
		{"2", []string{"a"}, 0},
	} {
		s := New()
		s.LastID = c.after
		for _, id := range c.ids {
			_, _ = fmt.Fprintf(s, "id: %s\ndata: x\n\n", id)
		}
		s.TakeEvents()
		must.Eq(t, c.taken, s.EventCount, must.Sprint(c))
		var order *OrderError
		must.Eq(t, c.taken < len(c.ids), errors.As(s.Err(), &order), must.Sprint(c))
		must.Eq(t, c.taken < len(c.ids), s.WithinEvent(), must.Sprint(c))
	}
}

// TestUnnumbered guards against resuming a stream after an event without an id, which would
// come again, and against taking a comment for such an event.
func TestUnnumbered(t *testing.T) {
	s := New()
	_, _ = s.Write([]byte("id: 1\ndata: a\n\n: keep-alive\n\n\n\n"))
	must.Eq(t, "id: 1\ndata: a\n\n: keep-alive\n\n\n\n", string(s.TakeEvents()))
	must.Eq(t, 1, s.EventCount)
	must.False(t, s.Unnumbered)
	_, _ = s.Write([]byte("retry: 10\r\n\r\n"))
	s.TakeEvents()
	must.Eq(t, 1, s.EventCount)
	must.False(t, s.Unnumbered)
	for _, text := range []string{"data: b\n\n", "id:\ndata: b\n\n", "data\r\n\r\n"} {
		s := New()
		_, _ = s.Write([]byte("id: 1\ndata: a\n\n" + text))
		s.TakeEvents()
		must.Eq(t, 2, s.EventCount)
		must.Eq(t, "1", s.LastID)
		must.True(t, s.Unnumbered)
	}
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
