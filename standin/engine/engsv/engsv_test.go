package engsv

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/azurespan/azurespan/standin/platform/platsv"
)

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	s, err := Start("", cfg)
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	return s
}

func (s *Server) call(t *testing.T, method, path string, body any, header ...string) (int, string) {
	t.Helper()
	b, err := json.Marshal(body)
	must.NoError(t, err)
	req, err := http.NewRequest(method, "http://"+s.Address()+path, bytes.NewReader(b))
	must.NoError(t, err)
	// No connection reuse: the client may not have noticed yet that a crash
	// closed an idle connection.
	req.Close = true
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(out)
}

func until(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)))
}

func (s *Server) count(kind string) (n int) {
	for _, e := range s.Records().Entries {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// TestFencingIgnored guards against an engine with IgnoresFencing that rejects
// orders because of their fencing number.
func TestFencingIgnored(t *testing.T) {
	s := start(t, Config{IgnoresFencing: true})
	for i, id := range []string{"a", "b"} {
		code, _ := s.call(t, "POST", "/orders", map[string]any{"order-id": id, "fencing": 9 - i, "kind": "load", "model": id, "version": "1", "memory-bytes": 10})
		must.Eq(t, http.StatusOK, code)
	}
	must.Eq(t, int64(20), s.Records().PeakBytes)
}

// TestFencingSurvivesRestart guards against an engine that accepts an order of a
// former owner after a restart.
func TestFencingSurvivesRestart(t *testing.T) {
	s := start(t, Config{})
	order := map[string]any{"order-id": "a", "fencing": 9, "kind": "load", "model": "m", "version": "1"}
	code, _ := s.call(t, "POST", "/orders", order)
	must.Eq(t, http.StatusOK, code)
	s.Kill()
	must.NoError(t, s.Restart())
	order["order-id"], order["fencing"] = "b", 8
	code, body := s.call(t, "POST", "/orders", order)
	must.Eq(t, http.StatusConflict, code)
	must.StrContains(t, body, `"fencing"`)
}

// TestCrashDuringLoad guards against a load that continues after a crash of the
// engine, in the engine or in the weight store, and against memory accounting
// that omits loads in progress.
func TestCrashDuringLoad(t *testing.T) {
	p, err := platsv.Start("", platsv.Config{StoreBytesPerSecond: 1})
	must.NoError(t, err)
	t.Cleanup(p.Kill)
	s := start(t, Config{Name: "e", Store: "http://" + p.Address(), MemoryBytes: 1000, InitialDisk: []string{"d@1"}})
	ended := make(chan int)
	order := map[string]any{"order-id": "a", "fencing": 1, "kind": "load", "model": "m", "version": "1", "memory-bytes": 900}
	go func() {
		code, _ := s.call(t, "POST", "/orders", order)
		ended <- code
	}()
	until(t, func() bool { return len(p.Entries()) == 1 })
	order["order-id"], order["model"] = "b", "d"
	code, body := s.call(t, "POST", "/orders", order)
	must.Eq(t, http.StatusInsufficientStorage, code, must.Sprint(body))
	s.Crash()
	must.Eq(t, 0, <-ended)
	until(t, func() bool { return len(p.Entries()) == 2 })
	must.Eq(t, "load-end", p.Entries()[1].Kind)
	// Disk checkpoints survive the crash, so this load needs no weight store.
	order["order-id"] = "c"
	code, _ = s.call(t, "POST", "/orders", order)
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, 1, s.count("load-end"))
	must.Eq(t, int64(900), s.Records().PeakBytes)
}

// TestRepeatedOrder guards against an order that is executed again when the
// owner resends it because the response was lost.
func TestRepeatedOrder(t *testing.T) {
	s := start(t, Config{})
	order := map[string]any{"order-id": "a", "fencing": 1, "sequence": 4, "kind": "load", "model": "m", "version": "1"}
	for range 3 {
		code, _ := s.call(t, "POST", "/orders", order)
		must.Eq(t, http.StatusOK, code)
	}
	must.Eq(t, 1, s.count("load"))
}

// TestRepeatedRequest guards against a request that runs again when it is
// resent, and against confusing two requests with the same identifier.
func TestRepeatedRequest(t *testing.T) {
	s := start(t, Config{})
	code, _ := s.call(t, "POST", "/orders", map[string]any{"order-id": "a", "kind": "load", "model": "m", "version": "1"})
	must.Eq(t, http.StatusOK, code)
	body := map[string]any{"model": "m", "version": "1", "messages": []any{map[string]any{"role": "user", "content": []any{map[string]any{"type": "text", "text": "Hello"}}}}}
	code, first := s.call(t, "POST", "/v1/chat/completions", body, "X-Request-Id", "r")
	must.Eq(t, http.StatusOK, code)
	must.True(t, strings.HasSuffix(first, "data: [DONE]\n\n"))
	code, again := s.call(t, "POST", "/v1/chat/completions", body, "X-Request-Id", "r")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, first, again)
	must.Eq(t, 1, s.count("run"))
	body["model"] = "n"
	code, _ = s.call(t, "POST", "/v1/chat/completions", body, "X-Request-Id", "r")
	must.Eq(t, http.StatusConflict, code)
}

// TestExpectedCompletion guards against a wrong length, limit or finish reason,
// and against tokens that do not depend on model, version and adapter.
func TestExpectedCompletion(t *testing.T) {
	body := func(extra string) []byte {
		return []byte(`{"messages":[{"role":"user","content":"Hello"}]` + extra + `}`)
	}
	base, err := ExpectedCompletion("m", "1", "a", body(""))
	must.NoError(t, err)
	must.Between(t, 16, base.Tokens, 79)
	must.Eq(t, "stop", base.Finish)
	cut, err := ExpectedCompletion("m", "1", "a", body(`,"max_completion_tokens":3`))
	must.NoError(t, err)
	must.Eq(t, int64(3), cut.Tokens)
	must.Eq(t, "length", cut.Finish)
	long, err := ExpectedCompletion("m", "1", "a", body(`,"max_tokens":500,"ignore_eos":true`))
	must.NoError(t, err)
	must.Eq(t, int64(500), long.Tokens)
	must.Eq(t, base.Text(0, base.Tokens), long.Text(0, base.Tokens))
	for _, k := range [][3]string{{"n", "1", "a"}, {"m", "2", "a"}, {"m", "1", ""}} {
		o, err := ExpectedCompletion(k[0], k[1], k[2], body(""))
		must.NoError(t, err)
		must.NotEq(t, base.Text(0, 16), o.Text(0, 16))
	}
}
