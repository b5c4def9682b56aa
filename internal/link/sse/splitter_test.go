package sse

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestWholeEventsOnly guards against passing a part of an event on, which a
// stream that goes on elsewhere would repeat.
func TestWholeEventsOnly(t *testing.T) {
	c := New()
	_, _ = c.Write([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	must.Eq(t, "id: 1\ndata: a\n\n", string(c.TakeEvents()))
	must.Eq(t, "1", c.LastID)
	must.Eq(t, "", string(c.TakeEvents()))
	_, _ = c.Write([]byte("ta: b\n"))
	must.Eq(t, "", string(c.TakeEvents()))
	_, _ = c.Write([]byte("\n"))
	must.Eq(t, "id: 2\ndata: b\n\n", string(c.TakeEvents()))
	must.Eq(t, "2", c.LastID)
	must.Eq(t, 2, c.EventCount)
}

// TestLineEnds guards against streams with carriage returns.
func TestLineEnds(t *testing.T) {
	c := New()
	_, _ = c.Write([]byte("id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: b\r\n\r"))
	must.Eq(t, "id: 7\r\ndata: a\r\n\r\n", string(c.TakeEvents()))
	_, _ = c.Write([]byte("\n"))
	must.Eq(t, "id: 8\r\ndata: b\r\n\r\n", string(c.TakeEvents()))
	must.Eq(t, "8", c.LastID)
}

// TestRestIsDropped guards against joining the pieces of two runs.
func TestRestIsDropped(t *testing.T) {
	c := New()
	_, _ = c.Write([]byte("id: 1\ndata: a\n\nid: 2\ndata: b"))
	c.TakeEvents()
	must.Eq(t, "id: 2\ndata: b", string(c.TakePartial()))
	_, _ = c.Write([]byte("id: 2\ndata: c\n\n"))
	must.Eq(t, "id: 2\ndata: c\n\n", string(c.TakeEvents()))
}

// TestIDInTheMiddle guards against an id that follows a line of the engine's
// own, and against the id of an event without one.
func TestIDInTheMiddle(t *testing.T) {
	c := New()
	_, _ = c.Write([]byte("x-weight-versions: 3\nid: 4\ndata: a\n\ndata: b\n\n"))
	c.TakeEvents()
	must.Eq(t, "4", c.LastID)
	must.Eq(t, 2, c.EventCount)
}
