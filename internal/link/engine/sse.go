package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

type (
	// sseEvent is one server-sent event.
	sseEvent struct {
		// id is empty if the event has none. It is not inherited from the
		// previous event.
		id string
		// data is valid until the next call of next.
		data []byte
	}

	// sseReader reads server-sent events whose lines end in LF or CR LF.
	sseReader struct {
		br *bufio.Reader
		// eventBytes is the number of bytes read of the current event.
		eventBytes int
		// data is the buffer of the last event's data, which is reused.
		data []byte
		// onEvent is called for each event with data and each comment.
		onEvent func()
	}
)

const (
	// maxEventBytes limits one event including its comments. An event with
	// one token is far smaller.
	maxEventBytes = 64 << 10
	// readBufferBytes is the size of the read buffer of one stream.
	readBufferBytes = 4 << 10
)

var errEventTooLarge = errors.New("event is too large")

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{br: bufio.NewReaderSize(r, readBufferBytes), onEvent: func() {}}
}

// next returns the next event that has data. An event without the terminating
// empty line is not returned. next returns io.EOF at the end of the input, and
// errEventTooLarge for an event above the limit.
func (r *sseReader) next() (sseEvent, error) {
	var ev sseEvent
	hasData := false
	r.eventBytes = 0
	for {
		line, err := r.line()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
				r.onEvent()
				r.data = ev.data
				return ev, nil
			}
			ev = sseEvent{}
			r.eventBytes = 0
			continue
		}
		if line[0] == ':' {
			// Comments only keep the connection alive.
			r.onEvent()
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			ev.id = string(value)
		case "data":
			if hasData {
				ev.data = append(ev.data, '\n')
			} else {
				ev.data = r.data[:0]
			}
			ev.data = append(ev.data, value...)
			hasData = true
		}
	}
}

// line returns the next line without its line ending.
func (r *sseReader) line() ([]byte, error) {
	var long []byte
	for {
		b, err := r.br.ReadSlice('\n')
		if r.eventBytes += len(b); r.eventBytes > maxEventBytes {
			return nil, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, b...)
			continue
		case err != nil:
			return nil, err
		}
		if long != nil {
			b = append(long, b...)
		}
		return bytes.TrimSuffix(b[:len(b)-1], []byte("\r")), nil
	}
}
