package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// serveAnswer answers each request with the same bytes and closes its connection.
func serveAnswer(t *testing.T, answer string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestInvalidStatus guards against a command that takes an answer whose status isn't 200 for
// the daemon's, such as status 000 (issue 61), by its exit code or by what it prints.
func TestInvalidStatus(t *testing.T) {
	secret := filepath.Join(t.TempDir(), "secret")
	must.NoError(t, os.WriteFile(secret, []byte("0123456789abcdef\n"), 0o600))
	const body = `{"host":"forged","decisions":[{"why":"forged"}],"accounts":[{"name":"forged"}]}`
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	// What each command prints for the sound answer.
	printed := map[string]string{}
	for _, a := range []struct {
		answer string
		code   int
	}{
		{sound, exitOK},
		{fmt.Sprintf("HTTP/1.1 000 Error\r\nContent-Length: %d\r\n\r\n%s", len(body), body), exitRefused},
		{"HTTP/1.1 000 Error\r\n\r\n" + body, exitRefused},
		{"HTTP/1.1 000 Error\r\nContent-Length: 0\r\n\r\n" + sound, exitRefused},
		{"HTTP/1.1 099 Error\r\n\r\n" + body, exitRefused},
		{"HTTP/1.1 201 Created\r\n\r\n" + body, exitRefused},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound, exitRefused},
		{"HTTP/1.1 600 Error\r\n\r\n" + body, exitInternal},
		{"HTTP/1.1 999 Error\r\n\r\n" + body, exitInternal},
		{"HTTP/1.1 -20 Error\r\n\r\n" + body, exitUnreachable},
		{"HTTP/1.1 20 OK\r\n\r\n" + body, exitUnreachable},
	} {
		address := serveAnswer(t, a.answer)
		admin := []string{"--admin", "http://" + address, "--secret-file", secret}
		for _, args := range [][]string{
			append([]string{"status"}, admin...),
			append([]string{"explain", "--request", "r"}, admin...),
			{"accounts", "--address", address},
		} {
			code, out, errs := invoke(t, args...)
			name := must.Sprintf("%s of %q: %s", args[0], a.answer, errs)
			must.Eq(t, a.code, code, name)
			if code == exitOK {
				must.StrContains(t, out, "forged")
				printed[args[0]] = out
			} else {
				must.StrNotContains(t, out, printed[args[0]], name)
			}
		}
	}
}
