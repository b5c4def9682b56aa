package strict

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/canned"
	"github.com/azurespan/azurespan/internal/check/golden"
	"github.com/azurespan/azurespan/internal/link/head"
)

const (
	sound        = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
	keptRequests = 2
)

// startServer answers the requests on a connection with the responses and then ends it.
func startServer(t *testing.T, responses ...string) *canned.Server {
	t.Helper()
	return canned.New(t, func(n int, _ *http.Request) (string, bool) { return responses[n], n+1 == len(responses) })
}

// get describes the response to a request.
func get(c *http.Client, address string) string {
	res, err := c.Get("http://" + address)
	var malformed *head.Error
	switch {
	case errors.As(err, &malformed):
		return malformed.Error()
	case err != nil:
		return "error"
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return "error in the body"
	}
	return fmt.Sprintf("%d %q", res.StatusCode, body)
}

// TestResponses guards against a malformed response that net/http returns, and against a
// sound one that is rejected.
func TestResponses(t *testing.T) {
	var b strings.Builder
	for _, response := range []string{
		sound,
		"HTTP/1.1 100 Continue\r\n\r\n" + sound,
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + sound,
		"HTTP/1.1 200 OK\r\nEmpty:\r\n!#$%&'*+-.^_`|~0: x\r\n\r\nends with its connection",
		"HTTP/1.1 204 No Content\r\n\r\n",
		strings.Replace(sound, "200 OK", "000 Error", 1),
		"HTTP/1.1 000 Error\r\n\r\n" + sound,
		"HTTP/1.1 100 Continue\r\nContent-Length: 49\r\n\r\n" + sound,
		strings.Replace(sound, "200 OK", "600 Error", 1),
		strings.Replace(sound, "Content-Length:", "Content-Length :", 1),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"HTTP/1.1 302 Found\r\nA b: c\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
	} {
		server := startServer(t, response)
		c := &http.Client{Transport: New(&http.Transport{})}
		fmt.Fprintf(&b, "%q\n  %s\n", response, get(c, server.Address))
		must.Eq(t, 1, server.Requests.Load(), must.Sprintf("%q", response))
	}
	golden.Check(t, "responses.golden", b.String())
}

// TestKeptConnection guards against a connection that isn't used again after a sound
// response, or is after a malformed one, and against a request that net/http sends again
// because its response on a kept connection is malformed.
func TestKeptConnection(t *testing.T) {
	const malformed = "HTTP/1.1 000 Error\r\nContent-Length: 0\r\n\r\n"
	server := startServer(t, sound, sound, malformed, sound)
	c := &http.Client{Transport: New(&http.Transport{})}
	for range keptRequests {
		must.Eq(t, `200 "fine"`, get(c, server.Address))
	}
	must.Eq(t, 1, server.Connections.Load())
	must.StrContains(t, get(c, server.Address), "000")
	must.Eq(t, keptRequests+1, server.Requests.Load())
	must.Eq(t, `200 "fine"`, get(c, server.Address))
	must.Eq(t, 2, server.Connections.Load())
}
