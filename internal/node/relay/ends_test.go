package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/azurespan/azurespan/internal/check/golden"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/origin"
)

type (
	// streamEnd is how an upstream ends its response to a request for a stream of three
	// events.
	streamEnd struct {
		name string
		// response returns the bytes of the response to a request for the events after
		// one.
		response func(after int) string
		// reset is set if a reset follows, gone if the upstream's process has ended, and
		// restarted if another one has started in its place.
		reset, gone, restarted bool
	}

	// endingUpstream is an upstream as a process of its own would be: its connections end
	// in order when it does, and it then accepts no others.
	endingUpstream struct {
		net.Listener
		end      streamEnd
		requests atomic.Int32
	}
)

const (
	chunkedStream  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframedStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	lastChunk      = "0\r\n\r\n"
)

// newEndingUpstream starts an upstream for the duration of the test.
func newEndingUpstream(t *testing.T, end streamEnd) *endingUpstream {
	t.Helper()
	l, err := listenHeld("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	holdPort(t, l.Addr().(*net.TCPAddr).Port)
	u := &endingUpstream{Listener: l, end: end}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

// listenHeld listens at an address whose port may be held by holdPort.
func listenHeld(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		ctrl := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(ctrl, err)
	}}
	return lc.Listen(context.Background(), "tcp4", address)
}

// holdPort keeps the port of an upstream for the duration of the test. Connections to it are
// refused once the upstream has ended, and no other server gets the port.
func holdPort(t *testing.T, port int) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	must.NoError(t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	must.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}))
}

// serve answers reports, and ends after the first other request on a connection.
func (u *endingUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
		if r.URL.Path == "/report" {
			born := 1
			if u.end.restarted && u.requests.Load() > 0 {
				born = 2
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", born)
			continue
		}
		u.requests.Add(1)
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &after)
		_, _ = io.WriteString(c, u.end.response(after))
		if u.end.gone {
			_ = u.Close()
		}
		if u.end.reset {
			// The bytes before the reset are to arrive.
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// newEndsFixture returns a fixture with an upstream for each of the given ends, all of one
// software version.
func newEndsFixture(t *testing.T, r fleet.Route, ends ...streamEnd) (*fixture, []*endingUpstream) {
	t.Helper()
	f := newFixture(t, r, make([]http.HandlerFunc, len(ends))...)
	var us []*endingUpstream
	for i, e := range ends {
		u := newEndingUpstream(t, e)
		us = append(us, u)
		f.ups[i].Address, f.ups[i].Version = u.Addr().String(), "v1"
	}
	f.origins.table.Registered(time.Now(), "s", "v1")
	f.relay.SetUpstreams(time.Now(), f.ups)
	return f, us
}

// chunk returns a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventsBetween returns the events after one up to another.
func eventsBetween(after, last int) string {
	return strings.TrimPrefix(wantEvents(max(after, last)), wantEvents(after))
}

// chunked returns a response function with the events up to last in a chunk, and more.
func chunked(last int, more string) func(int) string {
	return func(after int) string {
		text := eventsBetween(after, last)
		if text == "" {
			return chunkedStream + more
		}
		return chunkedStream + chunk(text) + more
	}
}

// sized returns a response function with the events up to last, and a length that is larger
// by missing.
func sized(last, missing int) func(int) string {
	return func(after int) string {
		text := eventsBetween(after, last)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(text)+missing, text)
	}
}

// unframed returns a response function with the events up to last and neither a length nor
// chunks.
func unframed(head string, last int) func(int) string {
	return func(after int) string { return head + eventsBetween(after, last) }
}

// always returns a response function that takes no notice of what the caller has.
func always(response string) func(int) string { return func(int) string { return response } }

// withIDs returns a response function with an event for each id.
func withIDs(ids ...string) func(int) string {
	text := ""
	for _, id := range ids {
		if id != "" {
			text += "id: " + id + "\n"
		}
		text += "data: x\n\n"
	}
	return always(chunkedStream + chunk(text) + lastChunk)
}

// wholeEnd is the end of a sound stream.
var wholeEnd = streamEnd{name: "whole", response: chunked(3, lastChunk)}

// brokenAfter returns the end of an upstream that breaks off after an event.
func brokenAfter(last int) streamEnd {
	return streamEnd{name: "broken", response: chunked(last, "")}
}

// streamEnds are the ways in which an upstream's response can end.
var streamEnds = []streamEnd{
	wholeEnd,
	{name: "last chunk after event 2", response: chunked(2, lastChunk)},
	{name: "chunks, no last one", response: chunked(2, "")},
	{name: "chunks, reset", response: chunked(2, ""), reset: true},
	{name: "chunks, cut in a length", response: chunked(2, "1")},
	{name: "chunks, cut in an event", response: chunked(2, "f\r\nid: 3\nda")},
	{name: "chunks, cut after an event within a chunk", response: always(chunkedStream + "40\r\n" + wantEvents(2))},
	{name: "chunks, last one without its line", response: chunked(2, "0\r\n")},
	{name: "chunks, cut in the trailer", response: chunked(2, "0\r\nA: b\r\n")},
	{name: "length", response: sized(3, 0)},
	{name: "length that fits event 2", response: sized(2, 0)},
	{name: "length too long", response: sized(2, 15)},
	{name: "length too long, reset", response: sized(2, 15), reset: true},
	{name: "unframed, whole", response: unframed(unframedStream, 3)},
	{name: "unframed, closed after event 2", response: unframed(unframedStream, 2)},
	{name: "unframed, process ends after event 2", response: unframed(unframedStream, 2), gone: true},
	{name: "unframed, HTTP/1.0, process ends after event 2", response: unframed(strings.Replace(unframedStream, "1.1", "1.0", 1), 2), gone: true},
	{name: "unframed, reset after event 2", response: unframed(unframedStream, 2), reset: true},
	{name: "unframed, no event", response: unframed(unframedStream, 0)},
	{name: "unframed, process ends before the first event", response: unframed(unframedStream, 0), gone: true},
	{name: "last chunk, no event", response: always(chunkedStream + lastChunk)},
	{name: "length 0", response: always(strings.Replace(unframedStream, "\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n", 1))},
	{name: "last chunk after a comment", response: always(chunkedStream + chunk(": x\n\n") + lastChunk)},
	{name: "cut head", response: always("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")},
	{name: "another media type", response: always("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ntext")},
	{name: "another case of the media type, cut in an event", response: always(strings.Replace(chunkedStream, "text/event-stream", "Text/Event-Stream", 1) + chunk(wantEvents(2)+"id: 3\nda") + lastChunk)},
	{name: "begins anew, whole", response: always(chunkedStream + chunk(wantEvents(3)) + lastChunk)},
	{name: "begins anew, unframed", response: always(unframedStream + wantEvents(3))},
	{name: "ids 1 2 2", response: withIDs("1", "2", "2")},
	{name: "ids 1 3 2", response: withIDs("1", "3", "2")},
	{name: "ids 1 3", response: withIDs("1", "3")},
	{name: "ids a b", response: withIDs("a", "b")},
	{name: "ids a a", response: withIDs("a", "a")},
	{name: "no ids", response: withIDs("", "")},
}

// take returns what the caller gets of a stream: how the answer ends, its events, and the
// requests that each upstream got.
func take(t *testing.T, f *fixture, us []*endingUpstream, header map[string]string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.front.URL+"/x", strings.NewReader("body"))
	must.NoError(t, err)
	req.Header.Set("Id", "1")
	req.Header.Set("Model", "m")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	// A connection of its own: the client doesn't retry what fails on a new one.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	end, body := "whole", []byte(nil)
	if res, err := client.Do(req); err != nil {
		end = "no answer"
	} else {
		defer func() { _ = res.Body.Close() }()
		body, err = io.ReadAll(res.Body)
		switch {
		case res.StatusCode != http.StatusOK:
			end, body = fmt.Sprint(res.StatusCode), nil
		case err != nil:
			end = "broken"
		}
	}
	var sends []string
	for _, u := range us {
		sends = append(sends, fmt.Sprint(u.requests.Load()))
	}
	f.front.Close()
	return fmt.Sprintf("%s, %s, sends %s", end, summarize(string(body)), strings.Join(sends, " "))
}

// summarize returns the ids of the events of a stream, or the text if it isn't one.
func summarize(text string) string {
	var ids []string
	for _, e := range strings.SplitAfter(text, "\n\n") {
		switch id, data, found := strings.Cut(strings.TrimPrefix(e, "id: "), "\n"); {
		case e == "":
		case !found || !strings.HasPrefix(e, "id: ") || !strings.HasPrefix(data, "data: ") || !strings.HasSuffix(data, "\n\n"):
			return fmt.Sprintf("%q", text)
		default:
			ids = append(ids, id)
		}
	}
	return "events [" + strings.Join(ids, " ") + "]"
}

// TestStreamEnds guards against an answer that looks complete before the last event of its
// stream, or has an event twice, for each way in which the upstream's response can end
// (issue 65): as the only attempt, as the first of two, as the rest of a stream that another
// upstream has begun, and as the rest that the caller asks for.
func TestStreamEnds(t *testing.T) {
	var b strings.Builder
	for _, e := range streamEnds {
		fmt.Fprintf(&b, "%s\n", e.name)
		f, us := newEndsFixture(t, route(fleet.Stream, 1, false), e)
		fmt.Fprintf(&b, "  single: %s\n", take(t, f, us, nil))
		f, us = newEndsFixture(t, route(fleet.Stream, 2, true), e, wholeEnd)
		fmt.Fprintf(&b, "  first of two: %s\n", take(t, f, us, nil))
		f, us = newEndsFixture(t, route(fleet.Stream, 2, true), brokenAfter(1), e)
		fmt.Fprintf(&b, "  second of two: %s\n", take(t, f, us, nil))
		f, us = newEndsFixture(t, route(fleet.Stream, 1, true), e)
		f.origins.found = func() []origin.Stream { return []origin.Stream{{ID: hash64("0"), Service: "s", Version: "v1"}} }
		fmt.Fprintf(&b, "  resumed by the caller: %s\n", take(t, f, us, map[string]string{"Resumes": "0", "After": "1"}))
	}
	golden.Check(t, "stream-ends.golden", b.String())
}

// TestUnframedStreamOfEndedProcess guards against a stream that looks complete although its
// upstream's process has ended in the middle of it: a response without a length or chunks
// ends in order then, after any event (issue 65).
func TestUnframedStreamOfEndedProcess(t *testing.T) {
	for last := range 3 {
		e := streamEnd{response: unframed(unframedStream, last), gone: true}
		name := must.Sprintf("after event %d", last)
		f, us := newEndsFixture(t, route(fleet.Stream, 1, false), e)
		must.StrNotContains(t, take(t, f, us, nil), "whole", name)
		f, us = newEndsFixture(t, route(fleet.Stream, 2, true), e, wholeEnd)
		must.Eq(t, "whole, events [1 2 3], sends 1 1", take(t, f, us, nil), name)
		f, us = newEndsFixture(t, route(fleet.Stream, 2, true), brokenAfter(1), e)
		must.StrNotContains(t, take(t, f, us, nil), "whole", name)
	}
}

// TestEventsInOrder guards against an event that reaches a caller twice, or before an earlier
// one, since an upstream takes no notice of the event after which it is to go on or counts
// anew (issue 65): the attempt has failed, before the first such event.
func TestEventsInOrder(t *testing.T) {
	anew := streamEnd{response: always(chunkedStream + chunk(wantEvents(3)) + lastChunk)}
	f, us := newEndsFixture(t, route(fleet.Stream, 3, true), brokenAfter(1), anew, wholeEnd)
	must.Eq(t, "whole, events [1 2 3], sends 1 1 1", take(t, f, us, nil))
	f, us = newEndsFixture(t, route(fleet.Stream, 3, true), brokenAfter(2), anew, anew)
	must.Eq(t, "broken, events [1 2], sends 1 1 1", take(t, f, us, nil))
	// Nothing says after which event another upstream would have to go on.
	f, us = newEndsFixture(t, route(fleet.Stream, 2, true), streamEnd{response: always(chunkedStream + chunk("data: x\n\n"))}, wholeEnd)
	must.Eq(t, `broken, "data: x\n\n", sends 1 0`, take(t, f, us, nil))
}

// TestStreamEndsAtTimeLimit guards against a stream that looks complete although its upstream
// gave up at the time limit that it was sent, which is in whole milliseconds and so a little
// before the daemon's own (issue 65).
func TestStreamEndsAtTimeLimit(t *testing.T) {
	r := route(fleet.Stream, 1, false)
	r.Timeout = 50*time.Millisecond + 900*time.Microsecond
	f := newFixture(t, r, func(w http.ResponseWriter, r *http.Request) {
		left := 0
		_, _ = fmt.Sscan(r.Header.Get("Left"), &left)
		limit := time.After(time.Duration(left) * time.Millisecond)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, wantEvents(1))
		_ = http.NewResponseController(w).Flush()
		<-limit
	})
	for i := range 20 {
		code, body := f.send(http.MethodPost, fmt.Sprint(i), "m")
		must.Eq(t, 0, code, must.Sprint("the answer looks complete"))
		must.Eq(t, wantEvents(1), body)
	}
}
