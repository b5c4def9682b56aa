package rest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// TestNotSentTwice guards against an automatic retry by net/http of a call with an
// Idempotency-Key: with this header it resends a request if a reused connection
// breaks after the request was sent.
func TestNotSentTwice(t *testing.T) {
	for _, body := range [][]byte{[]byte(`{}`), nil} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer l.Close()
		var seen atomic.Int32
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					r := bufio.NewReader(c)
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						if req.URL.Path == "/run" {
							seen.Add(1)
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		hc := NewClient(nil)
		warm := Call{Method: http.MethodPost, URL: "http://" + l.Addr().String() + "/warm", Body: []byte("{}")}
		_, err = warm.Do(t.Context(), hc)
		must.NoError(t, err)
		run := Call{
			Method: http.MethodPost, URL: "http://" + l.Addr().String() + "/run", Body: body,
			Header: http.Header{"Idempotency-Key": {"k"}},
		}
		_, err = run.Do(t.Context(), hc)
		must.Error(t, err)
		must.Eq(t, 1, seen.Load())
	}
}
