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
	// soakBackend answers with streams that note what serves them.
	soakBackend struct {
		fakeBackend
		mu        sync.Mutex
		exchanges []weak.Pointer[exchange]
		pumps     []weak.Pointer[pump]
		streams   []weak.Pointer[soakStream]
		opened    int
		closed    int
	}

	// soakStream yields n tokens, or tokens without end if n is 0.
	soakStream struct {
		b     *soakBackend
		n     int64
		next  int64
		noted bool
		// fast is set for a stream that never waits, which fills its buffer.
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
	b.exchanges = append(b.exchanges, weak.Make(exchangeOf(ctx)))
	b.streams = append(b.streams, weak.Make(s))
	return s, nil
}

func (s *soakStream) Next(ctx context.Context) (calls.Token, error) {
	if err := ctx.Err(); err != nil {
		return calls.Token{}, err
	}
	if p := exchangeOf(ctx).pump; p != nil && !s.noted {
		s.noted = true
		s.b.mu.Lock()
		s.b.pumps = append(s.b.pumps, weak.Make(p))
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

// left returns how many exchanges, pumps and streams are still in memory, and
// how many streams are still open.
func (b *soakBackend) left() (memory, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.exchanges {
		if p.Value() != nil {
			memory++
		}
	}
	for _, p := range b.pumps {
		if p.Value() != nil {
			memory++
		}
	}
	for _, p := range b.streams {
		if p.Value() != nil {
			memory++
		}
	}
	return memory, b.opened - b.closed
}

// full reports whether a pump waits for its reader.
func (b *soakBackend) full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.pumps {
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

// TestSoak guards against a goroutine, a buffer, a stream of the engine or a
// place among the streams that is left over after callers leave early: at
// once, after some events, or after they have stopped reading.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("300 streams at once")
	}
	const streams = 300
	before := runtime.NumGoroutine()
	b := &soakBackend{}
	f, base := serve(t, Settings{StreamBufferBytes: 8 << 10, SlowReaderTimeout: time.Hour, WriteTimeout: time.Hour}, b)
	rng := rand.New(rand.NewPCG(7, 7))
	tr := &http.Transport{MaxIdleConnsPerHost: streams, DialContext: smallBuffers}
	whole := make(chan error, streams)
	var wg sync.WaitGroup
	for i := range streams {
		reads := rng.IntN(400)
		wg.Go(func() { whole <- leaveEarly(b, tr, base, i%4, reads) })
	}
	wg.Wait()
	close(whole)
	for err := range whole {
		must.NoError(t, err)
	}
	tr.CloseIdleConnections()
	settled := func() error {
		runtime.GC()
		memory, open := b.left()
		// One goroutine serves the listener until the end of the test.
		if n := runtime.NumGoroutine() - before - 1; memory > 0 || open > 0 || n > 0 || len(f.slots) > 0 {
			return fmt.Errorf("left over: %d objects, %d open streams, %d goroutines, %d places", memory, open, n, len(f.slots))
		}
		return nil
	}
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(settled), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
	must.Eq(t, streams, b.opened)
	must.Greater(t, streams/2, len(b.pumps))
}

// smallBuffers connects with a small window, so that a caller who doesn't read
// soon holds the answer back.
func smallBuffers(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetReadBuffer(64 << 10)
}

// leaveEarly sends one request. The caller of manner 0 reads a whole answer,
// of 1 leaves before the first event, of 2 after some, and of 3 stops reading
// and leaves when an answer is held back.
func leaveEarly(b *soakBackend, tr *http.Transport, base string, manner, reads int) error {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	body := chatBody
	switch manner {
	case 0:
		body = strings.Replace(body, "Are", "short: are", 1)
	case 3:
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
	switch manner {
	case 0:
		text, err := io.ReadAll(res.Body)
		if err == nil && !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
			err = io.ErrUnexpectedEOF
		}
		return err
	case 2, 3:
		buf := make([]byte, 512)
		for range reads {
			if _, err := res.Body.Read(buf); err != nil {
				return err
			}
		}
		for manner == 3 && !b.full() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}
