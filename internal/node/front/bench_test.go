package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/node/calls"
)

// longResponse returns the tokens of a response of n words.
func longResponse(n int) []calls.Token {
	return tokens(strings.Split(strings.Repeat("harvest ,", n-1)+"harvest ", ",")...)
}

// BenchmarkChunk measures the encoding of the events of a response. The
// sub-benchmarks are named by the length of the response in tokens.
func BenchmarkChunk(b *testing.B) {
	for _, n := range []int{16, 350, 4000} {
		all := longResponse(n)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			s := newSigner([]byte("test secret"))
			var buf []byte
			for b.Loop() {
				c := newChunkEncoder(s, "01JG8Z5V5T3M6Q0R8W2X4Y6Z7A", "fig-7b", 1, 0)
				for _, t := range all {
					buf = c.append(buf[:0], t, "engine-1")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/token")
		})
	}
}

// BenchmarkAnswer measures complete responses of several lengths over loopback. In
// the paced variant the engine yields a token only after the client has received
// the previous one, so that each token is written and flushed separately.
func BenchmarkAnswer(b *testing.B) {
	for _, paced := range []bool{false, true} {
		for _, n := range []int{16, 350, 4000} {
			all := longResponse(n)
			name := "free/"
			if paced {
				name = "paced/"
			}
			b.Run(name+strconv.Itoa(n), func(b *testing.B) {
				b.ReportAllocs()
				var received chan struct{}
				if paced {
					received = make(chan struct{}, n)
				}
				backend := &benchBackend{tokens: all, proceed: received}
				url := serveBench(b, backend) + "/v1/chat/completions"
				hc := &http.Client{Transport: &http.Transport{}}
				buf := make([]byte, 32<<10)
				for b.Loop() {
					res, err := hc.Post(url, "application/json", strings.NewReader(chatBody))
					must.NoError(b, err)
					got := 0
					for {
						k, err := res.Body.Read(buf)
						events := bytes.Count(buf[:k], []byte("\nid: "))
						if bytes.HasPrefix(buf[:k], []byte("id: ")) {
							events++
						}
						got += events
						for range events {
							if paced {
								received <- struct{}{}
							}
						}
						if err == io.EOF {
							break
						}
						must.NoError(b, err)
					}
					_ = res.Body.Close()
					if paced {
						must.Eq(b, n, got)
						<-received
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/token")
			})
		}
	}
}

// benchBackend responds to each request with the same tokens.
type benchBackend struct {
	fakeBackend
	tokens  []calls.Token
	proceed chan struct{}
}

func (b *benchBackend) Complete(context.Context, calls.Request) (calls.Stream, error) {
	s := newFakeStream(b.tokens...)
	s.proceed = b.proceed
	return s, nil
}

// serveBench starts a Server on a loopback port and returns its base URL.
func serveBench(b *testing.B, backend Backend) string {
	b.Helper()
	s, err := New(Settings{Secret: []byte("test secret"), WriteTimeout: time.Minute}, backend)
	must.NoError(b, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String()
}
