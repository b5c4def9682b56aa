package relay

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
)

// endAfter responds with a sound framing, chunks or a length, around text.
func endAfter(text string, chunked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		if !chunked {
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		}
		_, _ = w.Write([]byte(text))
		_ = http.NewResponseController(w).Flush()
	}
}

// truncations are texts that end within a stream of three events, and the number of
// complete events in them.
var truncations = []struct {
	text   string
	events int
}{
	{"id: 1\nda", 0},
	{wantEvents(1) + "i", 1},
	{wantEvents(1) + "id: 2\ndata: \xe6\x97", 1},
	{wantEvents(2) + "id: 3\ndata: e3\n", 2},
}

// TestTruncatedFramedStream guards against a stream that its upstream ends within an event,
// and that is passed on as complete because its chunks or its length are: another upstream
// resumes it, and without one the caller's response is broken off, or 502 before the first
// event.
func TestTruncatedFramedStream(t *testing.T) {
	for _, c := range truncations {
		for _, chunked := range []bool{true, false} {
			name := must.Sprintf("%q, chunks %v", c.text, chunked)
			f := newFixture(t, route(fleet.Stream, 2, true), endAfter(c.text, chunked), streamEvents(3, 0))
			code, body := f.send(http.MethodPost, "1", "m")
			must.Eq(t, http.StatusOK, code, name)
			must.Eq(t, wantEvents(3), body, name)
			must.Eq(t, 1, f.requestCount(1), name)

			f = newFixture(t, route(fleet.Stream, 2, false), endAfter(c.text, chunked), streamEvents(3, 0))
			code, body = f.send(http.MethodPost, "1", "m")
			must.Eq(t, 0, f.requestCount(1), name)
			if c.events == 0 {
				must.Eq(t, http.StatusBadGateway, code, name)
				continue
			}
			must.Eq(t, 0, code, name)
			must.Eq(t, wantEvents(c.events), body, name)
		}
	}
}

// TestTruncatedFramedStreamTwice guards against the same of a stream that has been taken up
// once: by another upstream within the answer, or by its caller.
func TestTruncatedFramedStreamTwice(t *testing.T) {
	rest := "id: 2\ndata: e2\n\nid: 3\nda"
	f := newFixture(t, route(fleet.Stream, 3, true), streamEvents(3, 1), endAfter(rest, true), streamEvents(3, 0))
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
	must.Eq(t, 1, f.requestCount(2))

	f = newFixture(t, route(fleet.Stream, 1, true), endAfter(rest, true))
	f.ups[0].Version = "v1"
	f.origins.table.Registered(time.Now(), "s", "v1")
	f.relay.SetUpstreams(time.Now(), f.ups)
	code, _ = f.send(http.MethodPost, "a", "m")
	must.Eq(t, 0, code)
	req, err := http.NewRequest(http.MethodPost, f.front.URL+"/x", nil)
	must.NoError(t, err)
	for name, value := range map[string]string{"Id": "b", "Model": "m", "Resumes": "a", "After": "1"} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, "id: 2\ndata: e2\n\n", string(b))
}

// TestTruncatedFramedStreamIsNoCrash guards against counting the end of such a response as a
// crash of its upstream, which would quarantine innocent requests, and against its clearing
// the crash histories as a complete one does.
func TestTruncatedFramedStreamIsNoCrash(t *testing.T) {
	f := newFixture(t, route(fleet.Stream, 1, false), endAfter(wantEvents(1)+"id: 2\nda", true))
	keys := attributes(&fleet.Request{Method: http.MethodPost, Target: "/x?y=1", Path: "/x", Model: "m", Body: []byte("body of 1")}, "127.0.0.1")
	f.relay.blame.Crashed(keys, poison.Crash{ID: "v", At: time.Now()}, 0)
	code, _ := f.send(http.MethodPost, "1", "m")
	must.Eq(t, 0, code)
	must.Len(t, 1, f.relay.suspects.Entry(keys[0]).Crashes)
}

// TestFramedStreamsEnd guards against taking a sound stream as truncated: with blank lines
// or a comment after its last event, one that is resumed after it, and a response that is
// no event stream.
func TestFramedStreamsEnd(t *testing.T) {
	for _, end := range []string{"", "\n", "\r\n", ": done\n"} {
		f := newFixture(t, route(fleet.Stream, 1, true), endAfter(wantEvents(2)+end, true))
		code, body := f.send(http.MethodPost, "1", "m")
		must.Eq(t, http.StatusOK, code, must.Sprintf("%q", end))
		must.Eq(t, wantEvents(2)+end, body)
	}
	f := newFixture(t, route(fleet.Stream, 1, true), streamEvents(2, 0))
	f.ups[0].Version = "v1"
	f.origins.table.Registered(time.Now(), "s", "v1")
	f.relay.SetUpstreams(time.Now(), f.ups)
	code, _ := f.send(http.MethodPost, "a", "m")
	must.Eq(t, http.StatusOK, code)
	code, body := f.resume("b", "a", "2")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "", body)
	f = newFixture(t, route(fleet.Stream, 1, true), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("{}"))
	})
	code, body = f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "{}", body)
}
