package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azurespan/azurespan/internal/node/flow"
)

// BenchmarkChunk prints the cost of one event with its signature.
func BenchmarkChunk(b *testing.B) {
	c := newChunker(newSigner([]byte("test secret")), "01JX0000000000000000000000", "fig-7b", 1, 1)
	t := flow.Token{Index: 41, Text: " trays"}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf = c.append(buf[:0], t, "engine-1")
	}
}

// BenchmarkStream prints the cost of one token of an answer that arrives at
// once, over loopback.
func BenchmarkStream(b *testing.B) {
	words := make([]string, 10_000)
	back := &fakeBackend{complete: func(context.Context, flow.Request) (flow.Stream, error) {
		return newFakeStream(tokens(words...)...), nil
	}}
	f, err := New(Settings{Secret: []byte("test secret")}, back)
	if err != nil {
		b.Fatal(err)
	}
	s := httptest.NewServer(f)
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		res, err := http.Post(s.URL+"/v1/chat/completions", "application/json", strings.NewReader(chatBody))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			b.Fatal(err)
		}
		_ = res.Body.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(words)), "ns/token")
}
