package front

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// replyWriter writes an answer with a deadline for each write, which net/http
// clears before the connection's next request. It flushes each write of an
// event stream.
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

// pieceBytes is written under one deadline. A caller must take that much
// within the timeout, whatever the length of the answer.
const pieceBytes = 64 << 10

func newReplyWriter(rw http.ResponseWriter, timeout time.Duration) *replyWriter {
	return &replyWriter{ResponseWriter: rw, ctl: http.NewResponseController(rw), timeout: timeout}
}

// WriteHeader sends the status and learns whether an event stream follows.
func (w *replyWriter) WriteHeader(status int) {
	w.started = true
	w.stream = strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream")
	w.ResponseWriter.WriteHeader(status)
}

// Write sends b in pieces. It fails when the caller does not take a piece in
// time, or after cutOff.
func (w *replyWriter) Write(b []byte) (int, error) {
	sent := 0
	for {
		if err := w.extend(); err != nil {
			return sent, err
		}
		n, err := w.ResponseWriter.Write(b[sent:min(sent+pieceBytes, len(b))])
		if err == nil && w.stream {
			err = w.ctl.Flush()
		}
		sent += n
		if err != nil || sent == len(b) {
			return sent, err
		}
	}
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

// cutOff makes the write in progress, if any, and all later ones fail. It may
// be called while another goroutine writes.
func (w *replyWriter) cutOff(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = err
	_ = w.ctl.SetWriteDeadline(time.Unix(1, 0))
}
