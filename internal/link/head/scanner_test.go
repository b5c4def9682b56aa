package head

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/golden"
)

// scan returns the result of a scan of b in pieces of a size.
func scan(b string, size int) (accepted int, done bool, err error) {
	var s Scanner
	for len(b) > 0 && err == nil {
		var n int
		n, err = s.Scan([]byte(b[:min(size, len(b))]))
		accepted += n
		b = b[n:]
	}
	return accepted, s.Done(), err
}

// result describes the result of a scan of b as a whole, which must be that of a scan in
// single bytes.
func result(t *testing.T, b string) string {
	t.Helper()
	accepted, done, err := scan(b, len(b))
	n, d, e := scan(b, 1)
	must.Eq(t, accepted, n, must.Sprintf("%q", b))
	must.Eq(t, done, d, must.Sprintf("%q", b))
	must.Eq(t, fmt.Sprint(err), fmt.Sprint(e), must.Sprintf("%q", b))
	text := fmt.Sprintf("%.100q\n  accepted %d of %d, ", b, accepted, len(b))
	var malformed *Error
	switch {
	case errors.As(err, &malformed):
		must.LessEq(t, MaxTextBytes, len(malformed.Text))
		return text + err.Error() + "\n"
	case done:
		return text + "complete\n"
	}
	return text + "incomplete\n"
}

// checkResults compares the results of scans with a golden file.
func checkResults(t *testing.T, name string, heads ...string) {
	t.Helper()
	var b strings.Builder
	for _, h := range heads {
		b.WriteString(result(t, h))
	}
	golden.Check(t, name, b.String())
}

// TestStatus guards against the status of no response that is taken for that of one, and
// against a sound one that is rejected.
func TestStatus(t *testing.T) {
	var heads []string
	for _, line := range []string{
		"HTTP/1.1 100 Continue", "HTTP/1.1 199", "HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 204 No Content", "HTTP/1.1 599 Custom",
		"HTTP/1.1 000 Error", "HTTP/1.1 000", "HTTP/1.1 099 Error", "HTTP/1.1 -00 Error", "HTTP/1.1 +99 Error", "HTTP/1.1 0 Error", "HTTP/1.1 20 Error",
		"HTTP/1.1 600 Error", "HTTP/1.1 999 Error", "HTTP/1.1 1000 Error", "HTTP/1.1 2x0 Error", "HTTP/1.1", "HTTP/1.1 ", "", "\x00\xff\x1b[2J",
		"HTTP/1.1 000 " + strings.Repeat("\x01", 200),
	} {
		heads = append(heads, line+"\r\nA: b\r\n\r\n", line+"\nA: b\n\nbody")
	}
	checkResults(t, "status.golden", heads...)
}

// TestFieldName guards against the name of a field that isn't one, and against a legal one
// that is rejected.
func TestFieldName(t *testing.T) {
	var heads []string
	for _, line := range []string{
		"A: b", "a:b", "A:", "A: ", "A:\t", "A::", "0: b", "!#$%&'*+-.^_`|~: b", strings.Repeat("a", 100) + ": b",
		"A b: c", "A : b", " A: b", "\tA: b", ": b", "A\tb: c", "A\x00: b", "A\x01: b", "A\x7f: b", "A\r: b", "\rA: b", "\r", "A\x80: b", "A(: b",
		"A", "A b", "\x01", " ", strings.Repeat("a", 100) + "\x1b: b", strings.Repeat("a", 100),
	} {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+line+"\r\nC: d\r\n\r\n", "HTTP/1.1 200 OK\nC: d\n"+line+"\n\nbody")
	}
	checkResults(t, "field-name.golden", heads...)
}

// TestInterim guards against a final head that isn't checked since interim ones come
// before it, and against a check of what follows the final head.
func TestInterim(t *testing.T) {
	checkResults(t, "interim.golden",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 000 Error\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 Error\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nCONTENT-LENGTH:1 \r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length:  0\t\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nA: b\r\ntransfer-encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nA: Content-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
	)
}

// TestVersion guards against a transfer coding that net/http ignores.
func TestVersion(t *testing.T) {
	var heads []string
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0", "HTTP/0.9", "http/1.1"} {
		heads = append(heads, version+" 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", version+" 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	}
	checkResults(t, "version.golden", heads...)
}

// TestReset guards against a head that is judged by the one before on its connection.
func TestReset(t *testing.T) {
	var s Scanner
	_, err := s.Scan([]byte("HTTP/1.1 000 Error\r\n"))
	must.Error(t, err)
	_, err = s.Scan([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	must.Error(t, err, must.Sprint("a connection with a malformed head"))
	s.Reset()
	_, err = s.Scan([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	must.NoError(t, err)
	must.True(t, s.Done())
	s.Reset()
	must.False(t, s.Done())
}

// FuzzScanner guards against a result that depends on how the bytes are split into reads,
// and against a response that net/http makes of an accepted head although its status or
// the name of a field is none.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Error\r\n\r\n", "HTTP/1.1 +20 \n\n", "\r\n", "HTTP/1.1 200\r\n a\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b string) {
		result(t, b)
		if _, _, err := scan(b, max(1, len(b))); err != nil {
			return
		}
		for r := bufio.NewReader(strings.NewReader(b)); ; {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			must.Between(t, minStatus, res.StatusCode, maxStatus)
			for name := range res.Header {
				must.NotEq(t, "", name)
				for i := range len(name) {
					must.True(t, isToken(name[i]), must.Sprintf("%q", name))
				}
			}
			if res.StatusCode >= minFinalStatus {
				return
			}
		}
	})
}
