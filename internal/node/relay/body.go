package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// memoryError states that the bodies of callers' requests take all memory that they
	// may, so that a request was not read to its end.
	memoryError struct{ read int }

	// rationedBody is a request's body that takes memory of a ration.
	rationedBody struct {
		io.ReadCloser
		hold *ration.Hold
		read int
	}
)

const (
	// bodyBlockBytes is the size of the blocks in which a response is kept: it grows
	// without copies.
	bodyBlockBytes = 32 << 10
	// defaultBodyMemory is the memory for buffered bodies unless the settings name it.
	defaultBodyMemory = 64 << 20
	// requestShare is the memory for the bodies of requests, as a share of that for
	// responses.
	requestShare = 0.5
	// memoryRetryAfter is the time after which a caller whose request found no memory may
	// return: bodies are read within a round trip or two.
	memoryRetryAfter = 500 * time.Millisecond
	// memoryReason is the refusal reason of such a request.
	memoryReason = "memory"
)

var (
	// errBodyMemory states that a response needs more memory than is left for its
	// upstream.
	errBodyMemory = errors.New("response takes more memory than is left for its upstream")
	// errBodyTooLarge states that a response is larger than any that is buffered.
	errBodyTooLarge = errors.New("response larger than 16 MiB")
)

// Error implements error.
func (e *memoryError) Error() string {
	return fmt.Sprintf("no memory for more than %d bytes of the request", e.read)
}

// HTTPStatus returns the status to respond with: the request has not run.
func (*memoryError) HTTPStatus() int { return http.StatusServiceUnavailable }

// Read implements io.Reader.
func (b *rationedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.read += n; !b.hold.Grow(b.read) {
		return 0, &memoryError{b.read}
	}
	return n, err
}

// readBody reads a response's body of at most limit bytes in blocks, which take memory of
// hold. It returns errBodyMemory if none is left.
func readBody(r io.Reader, hold *ration.Hold, limit int) (blocks [][]byte, err error) {
	var last []byte
	for total := 0; ; {
		if len(last) == cap(last) {
			size := bodyBlockBytes
			if blocks == nil {
				size = streamBufferBytes // nearly all responses
			}
			if !hold.Grow(total + size) {
				return nil, merry.Wrap(errBodyMemory)
			}
			last = make([]byte, 0, size)
			blocks = append(blocks, last)
		}
		n, err := r.Read(last[len(last):cap(last)])
		last = last[:len(last)+n]
		blocks[len(blocks)-1] = last
		total += n
		switch {
		case errors.Is(err, io.EOF):
			return blocks, nil
		case err != nil:
			return nil, merry.Wrap(err)
		case total > limit:
			return nil, merry.Wrap(errBodyTooLarge)
		}
	}
}

// hold returns an empty hold of memory for a response of an upstream. It ends with the
// request.
func (x *exchange) hold(up fleet.Upstream) *ration.Hold {
	h := x.relay.responseBodies.Hold(up.ID)
	x.holds = append(x.holds, h)
	return h
}

// releaseHolds returns the memory that buffered responses have taken.
func (x *exchange) releaseHolds() {
	for _, h := range x.holds {
		h.Release()
	}
}
