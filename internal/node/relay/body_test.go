package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/core/fleet"
)

// testMemory is the memory for bodies in the tests below. An upstream may have the largest
// body, so a quarter of it is that.
const testMemory = 4 * maxResponseBytes

// limitMemory has the relay keep bodies of a number of bytes together.
func (f *fixture) limitMemory(bytes int) {
	f.relay.responseBodies = ration.New(bytes, maxResponseBytes)
	f.relay.requestBodies = ration.New(bytes, maxResponseBytes)
}

// TestEndlessResponsesTogether guards against a daemon that runs out of memory because many
// responses of a faulty upstream don't end, each of them within its own bound: together they
// take no more than the upstream's part, and requests to a sound upstream are served
// meanwhile, with large answers too (LOST).
func TestEndlessResponsesTogether(t *testing.T) {
	const (
		requests = 40
		large    = 8 << 20
	)
	for _, header := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 500 Error\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n"} {
		var sent atomic.Int64
		r := route(fleet.Unsafe, 1, false)
		r.Timeout = 30 * time.Second
		f := newFixture(t, r, endless(header, &sent), func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			_, _ = w.Write(bytes.Repeat([]byte("y"), large))
		})
		f.limitMemory(testMemory)
		faulty, sound := f.ups[0], f.ups[1]
		faulty.Slots = 2 * requests
		f.relay.SetUpstreams(time.Now(), []fleet.Upstream{faulty})
		done := make(chan struct{})
		most := 0
		go func() {
			defer close(done)
			for range 5000 {
				most = max(most, f.relay.responseBodies.Taken())
				time.Sleep(time.Millisecond)
				if most > 0 && f.relay.responseBodies.Taken() == 0 {
					return
				}
			}
		}()
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				code, _ := f.send(http.MethodPost, fmt.Sprint("bad", i), "")
				must.Eq(t, http.StatusBadGateway, code)
			})
		}
		for f.requestCount(0) < requests {
			time.Sleep(time.Millisecond)
		}
		f.relay.SetUpstreams(time.Now(), []fleet.Upstream{sound})
		code, body := f.send(http.MethodPost, "good", "")
		must.Eq(t, http.StatusOK, code)
		must.Eq(t, large, len(body))
		wg.Wait()
		<-done
		must.LessEq(t, testMemory/4+large+ration.Free, most)
		must.Eq(t, 0, f.relay.responseBodies.Taken())
	}
}

// TestEndlessEventsTogether guards against the same with events of streams.
func TestEndlessEventsTogether(t *testing.T) {
	var sent atomic.Int64
	r := route(fleet.Stream, 1, false)
	f := newFixture(t, r, endless("HTTP/1.1 200 OK\r\n"+eventStream+"\r\ndata: ", &sent))
	f.limitMemory(0)
	f.ups[0].Slots = 100
	f.relay.SetUpstreams(time.Now(), f.ups)
	code, _ := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusBadGateway, code)
	must.Eq(t, 0, f.relay.responseBodies.Taken())
}

// TestRequestsTakeMemoryTogether guards against a daemon that runs out of memory because many
// callers send large bodies at once. What doesn't fit is refused as not run, with a time to
// come back, and small requests are served.
func TestRequestsTakeMemoryTogether(t *testing.T) {
	f := newFixture(t, route(fleet.Unsafe, 1, false), respondOK)
	f.limitMemory(1 << 20)
	front := f.front.Listener.Addr().String()
	// Bodies whose ends don't come.
	var held []net.Conn
	for range 40 {
		c, err := net.Dial("tcp4", front)
		must.NoError(t, err)
		held = append(held, c)
		t.Cleanup(func() { _ = c.Close() }) // the front waits for it
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 256<<10))
		if err != nil {
			break // refused already
		}
	}
	for f.relay.requestBodies.Taken() < 1<<19 {
		time.Sleep(time.Millisecond)
	}
	must.LessEq(t, 1<<20, f.relay.requestBodies.Taken())
	res, err := http.Post(f.front.URL+"/x", "text/plain", bytes.NewReader(make([]byte, 900<<10)))
	if err == nil { // the connection may be closed under the rest of the body
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		must.Eq(t, http.StatusServiceUnavailable, res.StatusCode)
		must.StrContains(t, string(b), memoryReason)
		must.NotEq(t, "0", res.Header.Get("Retry-After"))
	}
	code, _ := f.send(http.MethodPost, "small", "")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 1, f.requestCount(0))
	for _, c := range held {
		must.NoError(t, c.Close())
	}
	for f.relay.requestBodies.Taken() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestReadBody guards against bytes that are lost or doubled between blocks, and against
// taking a truncated body for a whole one.
func TestReadBody(t *testing.T) {
	h := ration.New(testMemory, maxResponseBytes).Hold("u")
	for _, n := range []int{0, 1, streamBufferBytes, streamBufferBytes + 1, streamBufferBytes + bodyBlockBytes, 1 << 20} {
		want := bytes.Repeat([]byte("abcdefg"), n/7+1)[:n]
		blocks, err := readBody(bytes.NewReader(want), h, n)
		must.NoError(t, err)
		must.Eq(t, string(want), string(bytes.Join(blocks, nil)))
		_, err = readBody(io.MultiReader(bytes.NewReader(want), errReader{}), h, n)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		if n > 0 {
			_, err = readBody(bytes.NewReader(want), h, n-1)
			must.ErrorIs(t, err, errBodyTooLarge)
		}
	}
	_, err := readBody(bytes.NewReader(make([]byte, 1<<20)), ration.New(1<<18, 0).Hold("u"), maxResponseBytes)
	must.True(t, errors.Is(err, errBodyMemory))
}

// errReader fails as a body that ends before its length.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
