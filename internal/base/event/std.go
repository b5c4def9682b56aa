package event

import (
	"log"
	"strings"
)

// stdWriter logs each line of a standard logger as an event.
type stdWriter struct{ event Event }

// Write logs b, one line of the standard logger.
func (w stdWriter) Write(b []byte) (int, error) {
	w.event.Log("detail", strings.TrimSpace(string(b)))
	return len(b), nil
}

// StdLogger returns a standard logger that writes each line as the event e, for
// libraries that accept only a *log.Logger.
func StdLogger(e Event) *log.Logger { return log.New(stdWriter{e}, "", 0) }
