package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/link/http1"
	"github.com/azurespan/azurespan/internal/link/tunnel"
)

// knownUpstreams are the upstreams that a forwarder knows.
type knownUpstreams []fleet.Upstream

// MayForward implements tunnel.Upstreams.
func (k knownUpstreams) MayForward(_ time.Time, id, address string) (fleet.Upstream, string) {
	for _, u := range k {
		if u.ID == id && u.Address == address {
			return u, ""
		}
	}
	return fleet.Upstream{}, "unknown here"
}

// Dial implements tunnel.Upstreams.
func (knownUpstreams) Dial(ctx context.Context, up fleet.Upstream) (net.Conn, error) {
	return http1.DialTCP(ctx, up.Address)
}

// Observe implements tunnel.Upstreams.
func (knownUpstreams) Observe(fleet.Upstream, time.Time, []byte) {}

// TestUpstreamWithoutListener guards against a whole response, with neither a length nor chunks,
// that is broken off or replaced by 502 because its upstream has closed its listener and finishes
// its requests.
func TestUpstreamWithoutListener(t *testing.T) {
	for _, c := range []struct {
		name, model, begin, rest, want string
		kind                           fleet.Kind
	}{
		{"plain", "", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall ", "of it", "all of it", fleet.Unsafe},
		{"stream", "m", unframedStream + wantEvents(2), eventsBetween(2, 3), wantEvents(3), fleet.Stream},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, route(c.kind, 1, false), nil)
			s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := w.(http.Hijacker).Hijack()
				must.NoError(t, err)
				_, _ = io.WriteString(conn, c.begin)
				time.Sleep(300 * time.Millisecond)
				_, _ = io.WriteString(conn, c.rest)
				_ = conn.Close()
			})}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			go func() { _ = s.Serve(l) }()
			f.ups[0].Address = l.Addr().String()
			f.relay.SetUpstreams(time.Now(), f.ups)
			time.AfterFunc(100*time.Millisecond, func() { _ = s.Shutdown(context.Background()) })
			code, body := f.send(http.MethodPost, "1", c.model)
			must.Eq(t, http.StatusOK, code)
			must.Eq(t, c.want, body)
		})
	}
}

// TestUnframedBodyThroughForwarder guards against a part of a plain body that the caller gets as a
// whole response, because its upstream's process has ended and is reached through another daemon.
func TestUnframedBodyThroughForwarder(t *testing.T) {
	half := streamEnd{response: always("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf of it"), gone: true}
	f, us := newEndsFixture(t, route(fleet.Unsafe, 1, false), half)
	forwarder := httptest.NewServer(tunnel.New(knownUpstreams(f.ups), time.Now))
	t.Cleanup(forwarder.Close)
	f.relay.pool = http1.New(http1.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerUpstream: 4, Dial: func(ctx context.Context, id, address string) (net.Conn, error) {
		return tunnel.Dial(ctx, strings.TrimPrefix(forwarder.URL, "http://"), id, address)
	}}, time.Now)
	must.StrNotContains(t, take(t, f, us, map[string]string{"Model": ""}), "whole")
}

// TestResumptionAfterLastEvent guards against a request that is quarantined because its caller
// resumes the stream after the last event, and the upstreams end their responses, with neither a
// length nor chunks, without an event.
func TestResumptionAfterLastEvent(t *testing.T) {
	sound := streamEnd{response: unframed(unframedStream, 3)}
	f, _ := newEndsFixture(t, route(fleet.Stream, 2, true), sound, sound, sound, sound)
	f.origins.found = func() []origin.Stream { return []origin.Stream{{ID: hash64("0"), Service: "s", Version: "v1"}} }
	resume := func() {
		req, err := http.NewRequest(http.MethodPost, f.front.URL+"/x", strings.NewReader("body"))
		must.NoError(t, err)
		for name, value := range map[string]string{"Id": "1", "Model": "m", "Resumes": "0", "After": "3"} {
			req.Header.Set(name, value)
		}
		res, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		_ = res.Body.Close()
	}
	for range 3 {
		resume()
	}
	must.Eq(t, 0, f.relay.suspects.Rev())
}

// TestStreamWithLateReport guards against a complete stream that is broken off at its time limit, because
// its upstream's process, which runs, is late to answer a report and the upstream that is to
// resume the stream is silent.
func TestStreamWithLateReport(t *testing.T) {
	var reports atomic.Int32
	end := closeAfter(eventStream, wantEvents(3))
	first := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/report" {
			end(w, r)
			return
		}
		if reports.Add(1) == 1 {
			time.Sleep(2 * identifyTimeout)
		}
		_, _ = io.WriteString(w, "1")
	}
	f := newFixture(t, route(fleet.Stream, 2, true), first, neverRespond)
	code, body := f.send(http.MethodPost, "1", "m")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, wantEvents(3), body)
}
