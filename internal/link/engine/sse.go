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
		// id is empty if the event has none; it is not carried over from the
		// event before.
		id string
		// data is valid until the next call of next.
		data []byte
	}

	// sseReader reads server-sent events with lines that end with LF or CR LF.
	sseReader struct {
		br *bufio.Reader
		n  int
		// data is the memory of the last event's data.
		data []byte
	}
)

const (
	// maxEvent bounds one event, its comments included, in bytes. A token is
	// far smaller.
	maxEvent = 64 << 10
	// readBuffer is the size of the buffer of one stream, in bytes.
	readBuffer = 4 << 10
)

var errTooLarge = errors.New("event is too large")

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{br: bufio.NewReaderSize(r, readBuffer)}
}

// next returns the next event that has data. An event that is not ended by an
// empty line is not returned. At the end of the input it returns io.EOF, and
// errTooLarge for an event above the limit.
func (r *sseReader) next() (sseEvent, error) {
	var ev sseEvent
	hasData := false
	r.n = 0
	for {
		line, err := r.line()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
				r.data = ev.data
				return ev, nil
			}
			ev = sseEvent{}
			r.n = 0
			continue
		}
		if line[0] == ':' {
			// Comments keep the connection alive and belong to no event.
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

// line returns the next line without its end.
func (r *sseReader) line() ([]byte, error) {
	var long []byte
	for {
		b, err := r.br.ReadSlice('\n')
		if r.n += len(b); r.n > maxEvent {
			return nil, errTooLarge
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
