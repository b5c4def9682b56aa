package engine

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNextContexts guards against a stream that is broken by the end of the
// context of an earlier call of Next, and against one that is not broken by the
// end of the context of the current call.
func TestNextContexts(t *testing.T) {
	pr, pw := io.Pipe()
	s := newStream(pr, func() { _ = pw.CloseWithError(context.Canceled) }, "u", "a", "01JG8Z5V5T3M6Q0R8W2X4Y6Z7A", 0, time.Hour)
	text := answerText(3)
	third := len(text) / 3
	first, endFirst := context.WithCancel(context.Background())
	second, endSecond := context.WithCancel(context.Background())
	go func() { _, _ = pw.Write([]byte(text[:third])) }()
	_, err := s.Next(first)
	must.NoError(t, err)
	endFirst()
	go func() { _, _ = pw.Write([]byte(text[third : 2*third])) }()
	_, err = s.Next(second)
	must.NoError(t, err)
	go func() {
		for s.activeWatch.Load() == nil {
			time.Sleep(time.Millisecond)
		}
		endSecond()
	}()
	_, err = s.Next(second)
	must.Eq(t, Cancelled, kindOf(t, err))
	must.NoError(t, s.Close())
}
