package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"
)

// answerText returns an answer of n tokens as an engine sends it.
func answerText(n int) string {
	var b strings.Builder
	for i := range n {
		finish := "null"
		if i == n-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(&b, "id: %d\ndata: "+`{"id":"01JG8Z5V5T3M6Q0R8W2X4Y6Z7A","object":"chat.completion.chunk","model":"fig-7b","choices":[{"index":0,"delta":{"content":"harvest "},"finish_reason":%s}]}`+"\n\n", i, finish)
	}
	return b.String() + "data: [DONE]\n\n"
}

// BenchmarkStream measures the decoding and validation of complete answers of
// several lengths, in tokens.
func BenchmarkStream(b *testing.B) {
	for _, n := range []int{16, 350, 4000} {
		text := answerText(n)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			ctx := context.Background()
			for b.Loop() {
				s := newStream(io.NopCloser(strings.NewReader(text)), func() {}, "u", "a", "01JG8Z5V5T3M6Q0R8W2X4Y6Z7A", 0, time.Minute)
				for {
					_, err := s.Next(ctx)
					if errors.Is(err, io.EOF) {
						break
					}
					if err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/token")
		})
	}
}
