package front

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// replyWriter writes an answer with a deadline for each write. It flushes each
// write of an event stream.
type replyWriter struct {
	http.ResponseWriter
	ctl     *http.ResponseController
	timeout time.Duration
	// started is set once the status is sent.
	started bool
	stream  bool

	mu  sync.Mutex
	cut error
}

func newReplyWriter(rw http.ResponseWriter, timeout time.Duration) *replyWriter {
	return &replyWriter{ResponseWriter: rw, ctl: http.NewResponseController(rw), timeout: timeout}
}

// WriteHeader sends the status and learns whether an event stream follows.
func (w *replyWriter) WriteHeader(status int) {
	w.started = true
	w.stream = strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream")
	w.ResponseWriter.WriteHeader(status)
}

// Write sends b. It fails when the caller does not take b in time, or after
// cutOff.
func (w *replyWriter) Write(b []byte) (int, error) {
	if err := w.extend(); err != nil {
		return 0, err
	}
	n, err := w.ResponseWriter.Write(b)
	if err == nil && w.stream {
		err = w.ctl.Flush()
	}
	return n, err
}

// Unwrap gives http.ResponseController access to the connection.
func (w *replyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *replyWriter) extend() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut != nil {
		return w.cut
	}
	// Recorders in tests support no deadlines, which is no failure.
	_ = w.ctl.SetWriteDeadline(time.Now().Add(w.timeout))
	return nil
}

func (w *replyWriter) reset() { _ = w.ctl.SetWriteDeadline(time.Time{}) }

// cutOff makes the write in progress, if any, and all later ones fail. It may
// be called while another goroutine writes.
func (w *replyWriter) cutOff(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = err
	_ = w.ctl.SetWriteDeadline(time.Unix(1, 0))
}
