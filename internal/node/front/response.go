package front

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// responseWriter sets a deadline for each write of a response; net/http clears it
// before the next request on the connection. It flushes each write of an event
// stream.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// headerSent is set once the status and headers have been sent.
	headerSent    bool
	isEventStream bool

	mu sync.Mutex
	// abortErr is the error that abort was called with.
	abortErr error
}

// maxWriteBytes bounds the bytes written under one deadline, so that the data rate
// required of a client does not depend on the length of the response.
const maxWriteBytes = 64 << 10

func newResponseWriter(rw http.ResponseWriter, timeout time.Duration) *responseWriter {
	return &responseWriter{ResponseWriter: rw, controller: http.NewResponseController(rw), timeout: timeout}
}

// WriteHeader sends the status and records whether an event stream follows.
func (w *responseWriter) WriteHeader(status int) {
	w.headerSent = true
	w.isEventStream = strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream")
	w.ResponseWriter.WriteHeader(status)
}

// Write sends b in parts of at most maxWriteBytes. It fails if a part is not
// written within the timeout, or after abort was called.
func (w *responseWriter) Write(b []byte) (int, error) {
	sent := 0
	for {
		if err := w.extendDeadline(); err != nil {
			return sent, err
		}
		n, err := w.ResponseWriter.Write(b[sent:min(sent+maxWriteBytes, len(b))])
		if err == nil && w.isEventStream {
			err = w.controller.Flush()
		}
		sent += n
		if err != nil || sent == len(b) {
			return sent, err
		}
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline sets the deadline of the next write, or returns the error of abort.
func (w *responseWriter) extendDeadline() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abortErr != nil {
		return w.abortErr
	}
	// The error is ignored: response recorders in tests support no deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	return nil
}

// abort makes the write in progress, if any, and all later ones fail. It may be
// called while another goroutine writes.
func (w *responseWriter) abort(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortErr = err
	_ = w.controller.SetWriteDeadline(time.Unix(1, 0))
}
