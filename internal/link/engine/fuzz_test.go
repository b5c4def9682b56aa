package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/node/calls"
)

// referenceSSE is the reference implementation for sseReader. It splits the
// whole input.
func referenceSSE(in []byte) (out []sseEvent) {
	lines := strings.SplitAfter(string(in), "\n")
	var ev sseEvent
	var data []string
	for _, l := range lines {
		l, ended := strings.CutSuffix(l, "\n")
		if !ended {
			break
		}
		l = strings.TrimSuffix(l, "\r")
		if l == "" {
			if data != nil {
				ev.data = []byte(strings.Join(data, "\n"))
				out = append(out, ev)
			}
			ev, data = sseEvent{}, nil
			continue
		}
		name, value, _ := strings.Cut(l, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			ev.id = value
		case "data":
			data = append(data, value)
		}
	}
	return out
}

// FuzzSSE guards against events that are lost, split or joined, wherever the
// input is split into reads.
func FuzzSSE(f *testing.F) {
	f.Add([]byte("id: 0\ndata: a\n\n: comment\n\nid:1\r\ndata: b\r\ndata: c\r\n\r\ndata: [DONE]\n\n"), uint8(1))
	f.Add([]byte("id: 0\n\ndata\n\nretry: 5\nevent: x\ndata: y"), uint8(3))
	f.Fuzz(func(t *testing.T, in []byte, chunk uint8) {
		if len(in) > maxEventBytes {
			return
		}
		r := newSSEReader(&chunkReader{in, int(chunk) + 1})
		want := referenceSSE(in)
		for i := 0; ; i++ {
			ev, err := r.next()
			if err != nil {
				must.ErrorIs(t, err, io.EOF)
				must.Eq(t, len(want), i)
				return
			}
			must.Less(t, len(want), i)
			must.Eq(t, want[i].id, ev.id)
			must.Eq(t, string(want[i].data), string(ev.data))
		}
	})
}

// chunkReader returns at most n bytes per read.
type chunkReader struct {
	in []byte
	n  int
}

func (r *chunkReader) Read(b []byte) (int, error) {
	if len(r.in) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), r.n)], r.in)
	r.in = r.in[n:]
	return n, nil
}

func (r *chunkReader) Close() error { return nil }

// FuzzStream guards against a stream that returns a token out of order, an
// untyped error, or io.EOF without a finish reason.
func FuzzStream(f *testing.F) {
	ev := func(id, req, finish string) string {
		return "id: " + id + "\ndata: {\"id\":\"" + req + "\",\"choices\":[{\"delta\":{\"content\":\"w \"},\"finish_reason\":" + finish + "}]}\n\n"
	}
	f.Add([]byte(ev("3", "r", "null")+ev("4", "r", `"stop"`)+"data: [DONE]\n\n"), int64(3))
	f.Add([]byte(ev("3", "r", "null")+ev("3", "r", "null")+ev("4", "q", "null")), int64(3))
	f.Add([]byte(ev("0", "r", "null")+ev("2", "r", "null")), int64(0))
	f.Add([]byte("id: 0\ndata: {\"id\":\"r\",\"choices\":[]}\n\ndata: [DONE]\n\n"), int64(0))
	f.Fuzz(func(t *testing.T, in []byte, from int64) {
		if from < 0 {
			return
		}
		_, cancel := context.WithCancel(context.Background())
		s := newStream(&chunkReader{in, 7}, cancel, upstream, "a", "r", from, time.Hour)
		finish := ""
		for {
			tok, err := s.Next(context.Background())
			if errors.Is(err, io.EOF) {
				must.NotEq(t, "", finish)
				return
			}
			if err != nil {
				var e *Error
				must.True(t, errors.As(err, &e))
				must.Eq(t, from, e.NextToken)
				must.Eq(t, "", finish)
				return
			}
			must.Eq(t, from, tok.Index)
			from, finish = from+1, tok.Finish
		}
	})
}

// FuzzReport guards against a report with a negative size or a model version
// that is listed twice, which would count memory wrongly.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"name":"e","incarnation":1,"time-ms":1,"memory-bytes":9,"used-bytes":3,"sequences":8,"models":[{"model":"m","version":"1","state":"ready","memory-bytes":3,"adapters":["a"],"streams":1}],"checkpoints":[{"model":"m","version":"1","tier":"disk"}]}`))
	f.Add([]byte(`{"incarnation":1,"time-ms":1,"memory-bytes":9,"sequences":1,"models":[{"model":"m","version":"1","state":"ready"},{"model":"m","version":"1","state":"ready"}]}`))
	f.Add([]byte(`{"incarnation":1,"time-ms":1,"memory-bytes":-9,"sequences":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeReport(b)
		if err != nil {
			return
		}
		must.True(t, r.Incarnation > 0 && r.MemoryBytes > 0 && r.UsedBytes >= 0 && r.Running >= 0 && r.Queued >= 0)
		seen := map[[2]string]bool{}
		for _, m := range r.Replicas {
			k := [2]string{m.Model, m.Version}
			must.True(t, !seen[k] && m.MemoryBytes >= 0)
			seen[k] = true
		}
	})
}

// FuzzEvents guards against a page whose events and missed events do not add up
// to the range of offsets that was read.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(`{"incarnation":1,"end":5,"events":[{"offset":1,"kind":"stored","model":"m","version":"1","tier":"disk"},{"offset":3,"kind":"evicted","model":"m","version":"1","prefix":"7"}]}`), uint64(0))
	f.Add([]byte(`{"incarnation":1,"end":2,"events":[{"offset":2,"kind":"stored","model":"m","tier":"disk"}]}`), uint64(1))
	f.Fuzz(func(t *testing.T, b []byte, from uint64) {
		ev, err := decodeEvents(b, from)
		if err != nil {
			return
		}
		must.Eq(t, ev.End-max(from, 1), uint64(len(ev.Events))+ev.Missed)
	})
}

// FuzzBody guards against a caller's body that overrides the model, version or
// adapter resolved by the daemon, and against lost fields.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"model":"x","ADAPTER":"b","Version":"3","prefix":"p","temperature":0.1,"messages":[]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"stream":false,"prefix-tokens":4}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		out, err := requestBody(calls.Request{Model: "m", Version: "1", Body: in})
		if err != nil {
			return
		}
		var c struct {
			Model, Version, Adapter, Prefix string
			Stream                          bool
			Tokens                          int64 `json:"prefix-tokens"`
		}
		must.NoError(t, json.Unmarshal(out, &c))
		must.True(t, c.Model == "m" && c.Version == "1" && c.Adapter == "" && c.Prefix == "" && c.Stream && c.Tokens == 0)
		must.True(t, bytes.Contains(out, []byte(`"version":"1"`)))
	})
}

// TestLongEvent guards against an event that exhausts the memory.
func TestLongEvent(t *testing.T) {
	long := []byte("data: " + strings.Repeat("x", maxEventBytes))
	_, err := newSSEReader(&chunkReader{long, 1000}).next()
	must.ErrorIs(t, err, errEventTooLarge)
	many := bytes.Repeat([]byte(": comment\n"), maxEventBytes)
	_, err = newSSEReader(&chunkReader{many, 1000}).next()
	must.ErrorIs(t, err, errEventTooLarge)
	_, err = newSSEReader(&chunkReader{append(bytes.Repeat([]byte(": comment\n\n"), maxEventBytes), "data: a\n\n"...), 1000}).next()
	must.NoError(t, err)
}

// BenchmarkNext measures the decoding and validation of one token.
func BenchmarkNext(b *testing.B) {
	one := `{"id":"r","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"plaque "},"finish_reason":null}]}`
	var in bytes.Buffer
	for i := range b.N {
		fmt.Fprintf(&in, "id: %d\ndata: %s\n\n", i, one)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(io.NopCloser(&in), cancel, upstream, "a", "r", 0, time.Hour)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(ctx); err != nil {
			b.Fatal(err)
		}
	}
}
