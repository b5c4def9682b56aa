package front

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
	"weak"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/azurespan/azurespan/internal/node/calls"
)

type (
	// soakBackend responds with values of type *soakStream. It keeps weak pointers
	// to them and to the exchanges and buffers that they belong to.
	soakBackend struct {
		fakeBackend
		mu        sync.Mutex
		exchanges []weak.Pointer[exchange]
		buffers   []weak.Pointer[eventBuffer]
		streams   []weak.Pointer[soakStream]
		opened    int
		closed    int
	}

	// soakStream returns n tokens, or tokens without end if n is 0.
	soakStream struct {
		b    *soakBackend
		n    int64
		next int64
		// recorded is set once the buffer of the stream is in b.buffers.
		recorded bool
		// fast is set for a stream that never pauses, which fills its buffer.
		fast bool
	}
)

func (b *soakBackend) Complete(ctx context.Context, r calls.Request) (calls.Stream, error) {
	s := &soakStream{b: b}
	if strings.Contains(string(r.Body), "short") {
		s.n = 50
	}
	s.fast = strings.Contains(string(r.Body), "fast")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	b.exchanges = append(b.exchanges, weak.Make(exchangeFromContext(ctx)))
	b.streams = append(b.streams, weak.Make(s))
	return s, nil
}

func (s *soakStream) Next(ctx context.Context) (calls.Token, error) {
	if err := ctx.Err(); err != nil {
		return calls.Token{}, err
	}
	if buf := exchangeFromContext(ctx).buffer; buf != nil && !s.recorded {
		s.recorded = true
		s.b.mu.Lock()
		s.b.buffers = append(s.b.buffers, weak.Make(buf))
		s.b.mu.Unlock()
	}
	if !s.fast && s.next%16 == 15 {
		time.Sleep(time.Millisecond)
	}
	t := calls.Token{Index: s.next, Text: "harvest "}
	if s.next++; s.next == s.n {
		t.Finish = "stop"
	}
	return t, nil
}

func (s *soakStream) Upstream() string { return "engine-1" }

func (s *soakStream) Close() error {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.b.closed++
	return nil
}

// remaining returns how many exchanges, buffers and streams are still in memory,
// and how many streams are still open.
func (b *soakBackend) remaining() (objects, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.exchanges {
		if p.Value() != nil {
			objects++
		}
	}
	for _, p := range b.buffers {
		if p.Value() != nil {
			objects++
		}
	}
	for _, p := range b.streams {
		if p.Value() != nil {
			objects++
		}
	}
	return objects, b.opened - b.closed
}

// anyBufferFull reports whether a stream waits because its buffer is full.
func (b *soakBackend) anyBufferFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.buffers {
		p := w.Value()
		if p == nil {
			continue
		}
		p.mu.Lock()
		over := len(p.buf)-p.off > p.limit
		p.mu.Unlock()
		if over {
			return true
		}
	}
	return false
}

// TestSoak guards against goroutines, buffers, engine streams and stream slots that
// are leaked when clients disconnect early: at once, after some events, or after
// they have stopped reading.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("300 streams at once")
	}
	const streams = 300
	before := runtime.NumGoroutine()
	b := &soakBackend{}
	srv, base := serve(t, Settings{StreamBufferBytes: 8 << 10, SlowReaderTimeout: time.Hour, WriteTimeout: time.Hour}, b)
	rng := rand.New(rand.NewPCG(7, 7))
	tr := &http.Transport{MaxIdleConnsPerHost: streams, DialContext: dialSmallBuffer}
	results := make(chan error, streams)
	var wg sync.WaitGroup
	for i := range streams {
		reads := rng.IntN(400)
		wg.Go(func() { results <- runClient(b, tr, base, clientKinds[i%len(clientKinds)], reads) })
	}
	wg.Wait()
	close(results)
	for err := range results {
		must.NoError(t, err)
	}
	tr.CloseIdleConnections()
	released := func() error {
		runtime.GC()
		objects, open := b.remaining()
		// One goroutine serves the listener until the end of the test.
		if n := runtime.NumGoroutine() - before - 1; objects > 0 || open > 0 || n > 0 || len(srv.streamSlots) > 0 {
			return fmt.Errorf("left over: %d objects, %d open streams, %d goroutines, %d stream slots", objects, open, n, len(srv.streamSlots))
		}
		return nil
	}
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(released), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
	must.Eq(t, streams, b.opened)
	must.Greater(t, streams/2, len(b.buffers))
}

// dialSmallBuffer connects with a small receive buffer, so that a client that
// doesn't read soon blocks the response.
func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetReadBuffer(64 << 10)
}

// clientKind is the behaviour of a client in TestSoak.
type clientKind int

// Kinds of clients in TestSoak.
const (
	// readsAll reads a complete response.
	readsAll clientKind = iota
	// leavesAtOnce disconnects before the first event.
	leavesAtOnce
	// leavesEarly disconnects after some events.
	leavesEarly
	// stopsReading stops after some events and disconnects once a buffer is
	// full.
	stopsReading
)

var clientKinds = []clientKind{readsAll, leavesAtOnce, leavesEarly, stopsReading}

// runClient sends one request as a client of a kind that reads some times.
func runClient(b *soakBackend, tr *http.Transport, base string, kind clientKind, reads int) error {
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	body := chatBody
	switch kind {
	case readsAll:
		body = strings.Replace(body, "Are", "short: are", 1)
	case stopsReading:
		body = strings.Replace(body, "Are", "fast: are", 1)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := tr.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	switch kind {
	case readsAll:
		text, err := io.ReadAll(res.Body)
		if err == nil && !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
			err = io.ErrUnexpectedEOF
		}
		return err
	case leavesEarly, stopsReading:
		buf := make([]byte, 512)
		for range reads {
			if _, err := res.Body.Read(buf); err != nil {
				return err
			}
		}
		for kind == stopsReading && !b.anyBufferFull() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}
