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

// endless is a stream without an end and with large tokens. After the first
// token it waits for its gate, if it has one, to be closed.
type endless struct {
	*fakeStream
	n    int64
	gate chan struct{}
}

func (s *endless) Next(ctx context.Context) (calls.Token, error) {
	if s.n > 0 && s.gate != nil {
		<-s.gate
	}
	if ctx.Err() != nil {
		return calls.Token{}, ctx.Err()
	}
	s.n++
	return calls.Token{Index: s.n - 1, Text: strings.Repeat("fig", 10<<10)}, nil
}

// dial opens a connection and writes text.
func dial(t *testing.T, base, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	return c
}

const probe = "GET /livez HTTP/1.1\r\nHost: front\r\n\r\n"

func rawPost(body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: front\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// blocked returns a Backend whose streams wait after their first token, the
// channel that lets them go on, and a channel with each stream's Close.
func blocked() (b *fakeBackend, next chan struct{}, streams chan *fakeStream) {
	next, streams = make(chan struct{}), make(chan *fakeStream, 10)
	return &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) {
		s := newFakeStream(tokens("Fig ", "trays ", "ready.")...)
		s.gate = next
		streams <- s
		return s, nil
	}}, next, streams
}

// TestSlowReader guards against a caller that stops reading and makes the
// daemon hold its answer in memory or keep the engine's stream.
func TestSlowReader(t *testing.T) {
	s := &endless{fakeStream: newFakeStream(calls.Token{}), gate: make(chan struct{})}
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) { return s, nil }}
	f, base := serve(t, Settings{WriteTimeout: time.Hour, SlowReaderTimeout: time.Millisecond}, b)
	res := post(t, base, chatBody)
	d := sse.NewDecoder(res.Body, 0, 0, "", nil)
	_, err := d.Decode()
	must.NoError(t, err)
	close(s.gate)
	<-s.closed
	f.Drain()
	must.NoError(t, f.Wait(t.Context()))
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

// TestWriteTimeout guards against a write that blocks for ever when the reader
// stops and the buffer is not yet full.
func TestWriteTimeout(t *testing.T) {
	s := &endless{fakeStream: newFakeStream(calls.Token{})}
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) { return s, nil }}
	_, base := serve(t, Settings{WriteTimeout: 20 * time.Millisecond, SlowReaderTimeout: time.Hour}, b)
	dial(t, base, rawPost(chatBody))
	<-s.closed
}

// TestFastUpstream guards against an answer that is cut because the engine
// delivers it faster than the connection takes it, as in a resumption.
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

// TestPumpIsBounded guards against a buffer that grows past its limit, or
// grows without end under a reader who is always a little late.
func TestPumpIsBounded(t *testing.T) {
	p := newPump(100, time.Millisecond)
	event := func(b []byte) []byte { return append(b, "0123456789"...) }
	must.NoError(t, p.put(event))
	for range 1000 {
		must.NoError(t, p.put(event))
		n, err := p.Read(make([]byte, 10))
		must.NoError(t, err)
		must.Eq(t, 10, n)
	}
	must.LessEq(t, 400, cap(p.buf))
	var err error
	for err == nil {
		err = p.put(event)
		must.LessEq(t, 110, len(p.buf)-p.off)
	}
	must.ErrorIs(t, err, errSlowReader)
	_, err = p.Read(make([]byte, 10))
	must.ErrorIs(t, err, errSlowReader)
	must.ErrorIs(t, p.put(event), errSlowReader)
}

// TestCallerVanishes guards against an engine stream that goes on for a caller
// whose connection is reset before or after the first token.
func TestCallerVanishes(t *testing.T) {
	t.Run("after the first token", func(t *testing.T) {
		b, _, streams := blocked()
		f, base := serve(t, Settings{}, b)
		c := dial(t, base, rawPost(chatBody))
		_, err := bufio.NewReader(c).ReadString('\n')
		must.NoError(t, err)
		must.NoError(t, c.(*net.TCPConn).SetLinger(0))
		must.NoError(t, c.Close())
		<-(<-streams).closed
		f.Drain()
		must.NoError(t, f.Wait(t.Context()))
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
		// A caller that closes only its sending side must not take the end of
		// the connection for an empty answer.
		must.NoError(t, c.(*net.TCPConn).CloseWrite())
		<-ended
		rest, err := io.ReadAll(c)
		must.NoError(t, err)
		must.Eq(t, "", string(rest))
	})
}

// TestHalfOpenConnection guards against connections that hold their slot while
// the caller sends no more.
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

// TestDrain guards against a shutdown that cuts an answer in progress or loses
// its last bytes, and against new requests accepted during it.
func TestDrain(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		t.Run("stream "+stream, func(t *testing.T) {
			b, next, streams := blocked()
			f, base := serve(t, Settings{}, b)
			body := strings.Replace(chatBody, `"stream":true`, `"stream":`+stream, 1)
			answer := make(chan string)
			go func() {
				res, err := http.Post(base+"/v1/chat/completions", "application/json", strings.NewReader(body))
				if err != nil {
					answer <- err.Error()
					return
				}
				all, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				answer <- fmt.Sprint(string(all), err)
			}()
			<-streams
			f.Drain()
			res, err := http.ReadResponse(bufio.NewReader(dial(t, base, rawPost(chatBody))), nil)
			must.NoError(t, err)
			must.True(t, res.Close)
			must.NotEq(t, "", res.Header.Get("Retry-After"))
			must.Eq(t, typePrefix+"draining", problem(t, res).Type)
			gone, cancel := context.WithCancel(context.Background())
			cancel()
			must.ErrorIs(t, f.Wait(gone), context.Canceled)
			go func() { next <- struct{}{}; next <- struct{}{} }()
			must.NoError(t, f.Wait(t.Context()))
			must.NoError(t, f.Close())
			got := <-answer
			must.StrContains(t, got, `ready.`)
			must.StrHasSuffix(t, "<nil>", got)
		})
	}
}

// TestBounds guards against more streams or connections than the settings
// allow, and against a slot that is not freed.
func TestBounds(t *testing.T) {
	b, next, streams := blocked()
	_, base := serve(t, Settings{MaxStreams: 1, MaxConnections: 2}, b)
	first := post(t, base, chatBody)
	held := <-streams
	res := post(t, base, chatBody)
	must.Eq(t, 429, problem(t, res).Status)
	must.NotEq(t, "", res.Header.Get("Retry-After"))

	// The connection of the refused request frees its slot a little later.
	idle := dial(t, base, probe)
	for !accepted(t, idle) {
		idle = dial(t, base, probe)
	}
	p := problem(t, send(t, "GET", base+"/v1/models", ""))
	must.Eq(t, typePrefix+"queue-full", p.Type)
	must.Eq(t, oas.ProblemRunNo, p.Run)
	silent, err := io.ReadAll(dial(t, base, ""))
	must.NoError(t, err)
	must.Eq(t, "", string(silent), must.Sprint("a client takes an answer before its request for a broken connection"))
	must.NoError(t, idle.Close())

	next <- struct{}{}
	next <- struct{}{}
	_, err = events(t, first)
	must.NoError(t, err)
	<-held.closed
	// The end of the first answer is sent after its slot is freed.
	must.Eq(t, 200, post(t, base, chatBody).StatusCode)
}

// accepted reports whether the probe sent on c is answered, not refused.
func accepted(t *testing.T, c net.Conn) bool {
	t.Helper()
	line, err := bufio.NewReader(c).ReadString('\n')
	must.NoError(t, err)
	return strings.Contains(line, "200")
}

// TestHungBackend guards against a request that is never answered because the
// Backend neither serves nor refuses it, and against a panic that ends the
// connection without an answer.
func TestHungBackend(t *testing.T) {
	b := &fakeBackend{complete: func(ctx context.Context, _ calls.Request) (calls.Stream, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	_, base := serve(t, Settings{DeadlineGrace: time.Millisecond}, b)
	p := problem(t, post(t, base, chatBody, HeaderDeadline, "1"))
	must.Eq(t, typePrefix+"deadline-passed", p.Type)
	must.Eq(t, oas.ProblemRunUnknown, p.Run)

	b.complete = func(context.Context, calls.Request) (calls.Stream, error) { panic("test") }
	p = problem(t, post(t, base, chatBody))
	must.Eq(t, 500, p.Status)
	must.Eq(t, oas.ProblemRunUnknown, p.Run)

	b.complete = func(context.Context, calls.Request) (calls.Stream, error) {
		return &panicking{newFakeStream(tokens("Fig ", "x")[:1]...)}, nil
	}
	es, err := events(t, post(t, base, chatBody))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, "error", es[len(es)-1].Type)
}

// TestHungAnswer guards against an answer that is not streamed, has begun and
// never ends, so that its caller waits past the deadline.
func TestHungAnswer(t *testing.T) {
	b := &fakeBackend{complete: func(context.Context, calls.Request) (calls.Stream, error) {
		return &hanging{newFakeStream(tokens("Fig ", "x")[:1]...)}, nil
	}}
	_, base := serve(t, Settings{DeadlineGrace: time.Millisecond}, b)
	whole := strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)
	p := problem(t, post(t, base, whole, HeaderDeadline, "500"))
	must.Eq(t, typePrefix+"deadline-passed", p.Type)
	must.Eq(t, oas.ProblemRunYes, p.Run)
}

// hanging waits for the end of the request after its tokens.
type hanging struct{ *fakeStream }

func (s *hanging) Next(ctx context.Context) (calls.Token, error) {
	t, err := s.fakeStream.Next(ctx)
	if err != nil {
		<-ctx.Done()
		return calls.Token{}, ctx.Err()
	}
	return t, nil
}

// panicking panics after its tokens.
type panicking struct{ *fakeStream }

func (s *panicking) Next(ctx context.Context) (calls.Token, error) {
	t, err := s.fakeStream.Next(ctx)
	if err != nil {
		panic("test")
	}
	return t, nil
}
