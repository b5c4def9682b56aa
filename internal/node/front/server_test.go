package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ogen-go/ogen/sse"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// endlessStream is a stream of large tokens without an end. After the first token
// it waits until proceed, if set, is closed.
type endlessStream struct {
	*fakeStream
	n       int64
	proceed chan struct{}
}

func (s *endlessStream) Next(ctx context.Context) (calls.Token, error) {
	if s.n > 0 && s.proceed != nil {
		<-s.proceed
	}
	if ctx.Err() != nil {
		return calls.Token{}, ctx.Err()
	}
	s.n++
	return calls.Token{Index: s.n - 1, Text: strings.Repeat("fig", 10<<10)}, nil
}

// dial opens a connection to base and writes text to it.
func dial(t *testing.T, base, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	return c
}

// probe is a request without a body.
const probe = "GET /livez HTTP/1.1\r\nHost: front\r\n\r\n"

// rawPost returns a chat request as bytes on the wire.
func rawPost(body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: front\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// blockedBackend returns a Backend whose streams wait before each token after the
// first, the channel that releases one token, and a channel that receives each
// opened stream.
func blockedBackend() (b *fakeBackend, proceed chan struct{}, streams chan *fakeStream) {
	proceed, streams = make(chan struct{}), make(chan *fakeStream, 10)
	return &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) {
		s := newFakeStream(tokens("Fig ", "trays ", "ready.")...)
		s.proceed = proceed
		streams <- s
		return s, nil
	}}, proceed, streams
}

// TestSlowReader guards against a client that stops reading and thereby makes the
// daemon buffer its response or keep the engine's stream open.
func TestSlowReader(t *testing.T) {
	s := &endlessStream{fakeStream: newFakeStream(calls.Token{}), proceed: make(chan struct{})}
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) { return s, nil }}
	srv, base := serve(t, Settings{WriteTimeout: time.Hour, SlowReaderTimeout: time.Millisecond}, b)
	res := post(t, base, chatBody)
	d := sse.NewDecoder(res.Body, 0, 0, "", nil)
	_, err := d.Decode()
	must.NoError(t, err)
	close(s.proceed)
	<-s.closed
	srv.Drain()
	must.NoError(t, srv.Wait(t.Context()))
	var last sse.Event
	for err == nil {
		if e, eerr := d.Decode(); eerr == nil {
			last = e
		} else {
			err = eerr
		}
	}
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.NotEq(t, "[DONE]", string(last.Data))
}

// TestWriteTimeout guards against a write that blocks forever when the client
// stops reading before the buffer is full.
func TestWriteTimeout(t *testing.T) {
	s := &endlessStream{fakeStream: newFakeStream(calls.Token{})}
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) { return s, nil }}
	_, base := serve(t, Settings{WriteTimeout: 20 * time.Millisecond, SlowReaderTimeout: time.Hour}, b)
	dial(t, base, rawPost(chatBody))
	<-s.closed
}

// TestFastUpstream guards against a response that is aborted because the engine
// delivers it faster than the connection transmits it, as in a resumption.
func TestFastUpstream(t *testing.T) {
	words := make([]string, 20_000)
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) {
		return newFakeStream(tokens(words...)...), nil
	}}
	_, base := serve(t, Settings{StreamBufferBytes: 2000, SlowReaderTimeout: time.Hour}, b)
	es, err := events(t, post(t, base, chatBody))
	must.NoError(t, err)
	must.Len(t, len(words)+1, es)
}

// TestEventBufferIsBounded guards against a buffer that grows past its limit, or
// grows without bound for a reader that never empties it.
func TestEventBufferIsBounded(t *testing.T) {
	buf := newEventBuffer(100, time.Millisecond)
	event := func(b []byte) []byte { return append(b, "0123456789"...) }
	must.NoError(t, buf.append(event))
	for range 1000 {
		must.NoError(t, buf.append(event))
		n, err := buf.Read(make([]byte, 10))
		must.NoError(t, err)
		must.Eq(t, 10, n)
	}
	must.LessEq(t, 400, cap(buf.buf))
	var err error
	for err == nil {
		err = buf.append(event)
		must.LessEq(t, 110, len(buf.buf)-buf.off)
	}
	must.ErrorIs(t, err, errSlowReader)
	_, err = buf.Read(make([]byte, 10))
	must.ErrorIs(t, err, errSlowReader)
	must.ErrorIs(t, buf.append(event), errSlowReader)
}

// TestClientDisconnects guards against an engine stream that continues for a client
// whose connection is closed before or reset after the first token.
func TestClientDisconnects(t *testing.T) {
	t.Run("after the first token", func(t *testing.T) {
		b, _, streams := blockedBackend()
		srv, base := serve(t, Settings{}, b)
		c := dial(t, base, rawPost(chatBody))
		_, err := bufio.NewReader(c).ReadString('\n')
		must.NoError(t, err)
		must.NoError(t, c.(*net.TCPConn).SetLinger(0))
		must.NoError(t, c.Close())
		<-(<-streams).closed
		srv.Drain()
		must.NoError(t, srv.Wait(t.Context()))
	})
	t.Run("before the first token", func(t *testing.T) {
		began, ended := make(chan struct{}), make(chan struct{})
		b := &fakeBackend{complete: func(ctx context.Context, _ calls.Request) (calls.Stream, error) {
			close(began)
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		}}
		_, base := serve(t, Settings{}, b)
		c := dial(t, base, rawPost(chatBody))
		<-began
		// A client that closes only its sending side must not take the end of
		// the connection for an empty response.
		must.NoError(t, c.(*net.TCPConn).CloseWrite())
		<-ended
		rest, err := io.ReadAll(c)
		must.NoError(t, err)
		must.Eq(t, "", string(rest))
	})
}

// TestHalfOpenConnection guards against connections that keep their slot although
// the client sends nothing more.
func TestHalfOpenConnection(t *testing.T) {
	_, base := serve(t, Settings{HeaderTimeout: 150 * time.Millisecond, BodyTimeout: 150 * time.Millisecond, IdleTimeout: 150 * time.Millisecond}, &fakeBackend{})
	t.Run("header", func(t *testing.T) {
		_, err := io.ReadAll(dial(t, base, "POST /v1/chat/completions HTTP/1.1\r\nHost: fr"))
		must.NoError(t, err)
	})
	t.Run("body", func(t *testing.T) {
		full := rawPost(chatBody)
		res, err := http.ReadResponse(bufio.NewReader(dial(t, base, full[:len(full)-10])), nil)
		must.NoError(t, err)
		p := problem(t, res)
		must.Eq(t, 400, p.Status)
		must.Eq(t, "body", p.Field.Value)
		must.True(t, res.Close)
	})
	t.Run("idle", func(t *testing.T) {
		all, err := io.ReadAll(dial(t, base, probe))
		must.NoError(t, err)
		must.StrHasSuffix(t, "ok\n", string(all))
	})
}

// TestDrain guards against a shutdown that aborts a response in progress or loses
// its last bytes, and against new requests that are accepted during it.
func TestDrain(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		t.Run("stream "+stream, func(t *testing.T) {
			b, proceed, streams := blockedBackend()
			srv, base := serve(t, Settings{}, b)
			body := strings.Replace(chatBody, `"stream":true`, `"stream":`+stream, 1)
			response := make(chan string)
			go func() {
				res, err := http.Post(base+"/v1/chat/completions", "application/json", strings.NewReader(body))
				if err != nil {
					response <- err.Error()
					return
				}
				all, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				response <- fmt.Sprint(string(all), err)
			}()
			<-streams
			srv.Drain()
			res, err := http.ReadResponse(bufio.NewReader(dial(t, base, rawPost(chatBody))), nil)
			must.NoError(t, err)
			must.True(t, res.Close)
			must.NotEq(t, "", res.Header.Get("Retry-After"))
			must.Eq(t, problemTypePrefix+"draining", problem(t, res).Type)
			canceled, cancel := context.WithCancel(context.Background())
			cancel()
			must.ErrorIs(t, srv.Wait(canceled), context.Canceled)
			go func() { proceed <- struct{}{}; proceed <- struct{}{} }()
			must.NoError(t, srv.Wait(t.Context()))
			must.NoError(t, srv.Close())
			got := <-response
			must.StrContains(t, got, `ready.`)
			must.StrHasSuffix(t, "<nil>", got)
		})
	}
}

// TestLimits guards against more streams or connections than the settings allow,
// and against a slot that is not released.
func TestLimits(t *testing.T) {
	b, proceed, streams := blockedBackend()
	_, base := serve(t, Settings{MaxStreams: 1, MaxConnections: 2}, b)
	first := post(t, base, chatBody)
	stream := <-streams
	res := post(t, base, chatBody)
	must.Eq(t, 429, problem(t, res).Status)
	must.NotEq(t, "", res.Header.Get("Retry-After"))

	// The connection of the refused request releases its slot a little later.
	idle := dial(t, base, probe)
	for !accepted(t, idle) {
		idle = dial(t, base, probe)
	}
	p := problem(t, send(t, "GET", base+"/v1/models", ""))
	must.Eq(t, problemTypePrefix+"queue-full", p.Type)
	must.Eq(t, oas.ProblemRunNo, p.Run)
	silent, err := io.ReadAll(dial(t, base, ""))
	must.NoError(t, err)
	must.Eq(t, "", string(silent), must.Sprint("a client takes a response before its request for a broken connection"))
	must.NoError(t, idle.Close())

	proceed <- struct{}{}
	proceed <- struct{}{}
	_, err = events(t, first)
	must.NoError(t, err)
	<-stream.closed
	// The end of the first response is sent after its slot is released.
	must.Eq(t, 200, post(t, base, chatBody).StatusCode)
}

// accepted reports whether the probe sent on c got status 200 and no refusal.
func accepted(t *testing.T, c net.Conn) bool {
	t.Helper()
	line, err := bufio.NewReader(c).ReadString('\n')
	must.NoError(t, err)
	return strings.Contains(line, "200")
}

// TestHungBackend guards against a request without a response because the Backend
// neither serves nor refuses it, and against a panic that closes the connection
// without a response.
func TestHungBackend(t *testing.T) {
	b := &fakeBackend{complete: func(ctx context.Context, _ calls.Request) (calls.Stream, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	_, base := serve(t, Settings{DeadlineGrace: time.Millisecond}, b)
	p := problem(t, post(t, base, chatBody, HeaderDeadline, "1"))
	must.Eq(t, problemTypePrefix+"deadline-passed", p.Type)
	must.Eq(t, oas.ProblemRunUnknown, p.Run)

	b.complete = func(context.Context, calls.Request) (calls.Stream, error) { panic("test") }
	p = problem(t, post(t, base, chatBody))
	must.Eq(t, 500, p.Status)
	must.Eq(t, oas.ProblemRunUnknown, p.Run)

	b.complete = func(context.Context, calls.Request) (calls.Stream, error) {
		return &panickingStream{newFakeStream(tokens("Fig ", "x")[:1]...)}, nil
	}
	es, err := events(t, post(t, base, chatBody))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, "error", es[len(es)-1].Type)
}

// TestHungResponse guards against a response that is not streamed and whose tokens
// never end, so that its client waits past the deadline.
func TestHungResponse(t *testing.T) {
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) {
		return &hangingStream{newFakeStream(tokens("Fig ", "x")[:1]...)}, nil
	}}
	_, base := serve(t, Settings{DeadlineGrace: time.Millisecond}, b)
	complete := strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)
	p := problem(t, post(t, base, complete, HeaderDeadline, "500"))
	must.Eq(t, problemTypePrefix+"deadline-passed", p.Type)
	must.Eq(t, oas.ProblemRunYes, p.Run)
}

// hangingStream waits after its tokens until the request ends.
type hangingStream struct{ *fakeStream }

func (s *hangingStream) Next(ctx context.Context) (calls.Token, error) {
	t, err := s.fakeStream.Next(ctx)
	if err != nil {
		<-ctx.Done()
		return calls.Token{}, ctx.Err()
	}
	return t, nil
}

// panickingStream panics after its tokens.
type panickingStream struct{ *fakeStream }

func (s *panickingStream) Next(ctx context.Context) (calls.Token, error) {
	t, err := s.fakeStream.Next(ctx)
	if err != nil {
		panic("test")
	}
	return t, nil
}
