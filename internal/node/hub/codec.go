package hub

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
)

type (
	// codec is the codec of net/rpc for gob with bounds: on the size of a message, on
	// the calls of a connection that are in progress, and on the messages that are
	// decoded at a time.
	codec struct {
		conn     io.ReadWriteCloser
		messages *messages
		dec      *gob.Decoder
		enc      *gob.Encoder
		out      *bufio.Writer
		slots    chan struct{}

		mu     sync.Mutex
		calls  int
		closed bool
	}

	// messages passes the messages of a connection on, each once it is complete. The
	// decoder of gob would reserve what a message says to be its length.
	messages struct {
		in     *bufio.Reader
		client client
		// decoding has a slot for the large message that is being decoded.
		decoding chan struct{}
		holds    bool
		buf      []byte
		// passed is how much of buf has been passed on, and err why there is no more.
		passed int
		err    error
	}

	// client bounds what the other side of a connection takes; guard.Conn implements it.
	client interface {
		Receive(size int) bool
		Serve()
		Done()
		TooLarge()
	}

	// unbounded is a client without bounds.
	unbounded struct{}
)

const (
	// maxMessageBytes bounds a message: a daemon's report with all crash histories that a
	// table holds has some 100 KB, and a result of a job up to a page of the log.
	maxMessageBytes = 4 << 20
	// largeMessageBytes is the size from which messages are decoded one at a time, since
	// what is decoded may take many times the bytes of the message.
	largeMessageBytes = 64 << 10
	// maxCalls bounds the calls in progress of a connection, of which a daemon has up to
	// four. Further ones are not read until one is answered.
	maxCalls = 32
	// firstBufferBytes is the first size of the buffer for a message; it doubles.
	firstBufferBytes = 4 << 10
	// maxSmallLength is the largest length that gob writes as one byte.
	maxSmallLength = 0x7f
	// maxLengthBytes is the most bytes of a length.
	maxLengthBytes = 8
	byteValues     = 256
	byteBits       = 8
)

var (
	errMessageTooLarge = merry.New("message between daemons is too large")
	errMessageLength   = merry.New("message between daemons has an invalid length")
	errMessageMemory   = merry.New("no memory for a message between daemons")
)

// Receive implements client.
func (unbounded) Receive(int) bool { return true }

// Serve implements client.
func (unbounded) Serve() {}

// Done implements client.
func (unbounded) Done() {}

// TooLarge implements client.
func (unbounded) TooLarge() {}

// newCodec returns a codec for a connection.
func newCodec(conn io.ReadWriteCloser, decoding chan struct{}) *codec {
	bounds, ok := conn.(client)
	if !ok {
		bounds = unbounded{}
	}
	m := &messages{in: bufio.NewReader(conn), client: bounds, decoding: decoding}
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, messages: m, dec: gob.NewDecoder(m), enc: gob.NewEncoder(out), out: out, slots: make(chan struct{}, maxCalls)}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.dec.Decode(r); err != nil {
		c.messages.endDecoding()
		return err
	}
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	c.messages.endDecoding()
	c.messages.client.Serve()
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer c.answered()
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err != nil {
		event.HolderCloseFailed.Log("err", err)
		_ = c.Close() // the other side would wait for the answer
		return err
	}
	return c.out.Flush()
}

// answered records that a call has been answered.
func (c *codec) answered() {
	<-c.slots
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls--; c.calls == 0 {
		c.messages.client.Done()
	}
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.conn.Close()
}

// Read implements io.Reader.
func (m *messages) Read(p []byte) (int, error) {
	if m.passed == len(m.buf) && m.err == nil {
		m.err = m.next()
	}
	if m.err != nil {
		return 0, m.err
	}
	n := copy(p, m.buf[m.passed:])
	m.passed += n
	return n, nil
}

// next reads a message.
func (m *messages) next() error {
	m.endDecoding()
	m.buf, m.passed = m.buf[:0], 0
	if cap(m.buf) > firstBufferBytes {
		m.buf = nil
	}
	length, err := m.readLength()
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		m.client.TooLarge()
		return errMessageTooLarge
	}
	total := len(m.buf) + int(length)
	for len(m.buf) < total {
		size := min(total, max(2*len(m.buf), firstBufferBytes))
		if size > cap(m.buf) {
			if !m.client.Receive(size) {
				return errMessageMemory
			}
			m.buf = append(make([]byte, 0, size), m.buf...)
		}
		read, size := len(m.buf), min(total, cap(m.buf))
		m.buf = m.buf[:size]
		if _, err := io.ReadFull(m.in, m.buf[read:]); err != nil {
			return err
		}
	}
	if length > largeMessageBytes {
		m.decoding <- struct{}{}
		m.holds = true
	}
	return nil
}

// readLength reads the length of a message and keeps its bytes in buf.
func (m *messages) readLength() (uint64, error) {
	first, err := m.in.ReadByte()
	if err != nil {
		return 0, err
	}
	m.buf = append(m.buf, first)
	if first <= maxSmallLength {
		return uint64(first), nil
	}
	n := byteValues - int(first)
	if n > maxLengthBytes {
		return 0, errMessageLength
	}
	var length uint64
	for range n {
		b, err := m.in.ReadByte()
		if err != nil {
			return 0, err
		}
		m.buf = append(m.buf, b)
		length = length<<byteBits | uint64(b)
	}
	return length, nil
}

// endDecoding lets another connection decode a large message.
func (m *messages) endDecoding() {
	if m.holds {
		m.holds = false
		<-m.decoding
	}
}
