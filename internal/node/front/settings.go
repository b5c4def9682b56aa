package front

import (
	"crypto/rand"
	"io"
	"time"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
)

// Settings of a Front. Zero fields stand for the defaults below; Secret has
// none.
type Settings struct {
	// Secret signs event ids. All daemons of a deployment share it.
	Secret []byte
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int
	// MaxStreams bounds the answers in progress, streamed or whole.
	MaxStreams int
	// MaxConnections bounds the open connections of a listener.
	MaxConnections int
	// StreamBufferBytes bounds what is held for a slow reader of a stream.
	StreamBufferBytes int
	// ReaderPatience bounds the time in which the reader of a stream must
	// take half of a full buffer; then its connection is closed.
	SlowReaderTimeout time.Duration
	// MaxAnswerBytes bounds the text of an answer that is not streamed.
	MaxResponseBytes int
	// HeaderTimeout bounds the time to receive the request line and headers.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to receive the body.
	BodyTimeout time.Duration
	// IdleTimeout bounds the time between requests on a connection.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// MaxDeadline is the latest deadline accepted, counted from receipt.
	MaxDeadline time.Duration
	// DeadlineGrace is the time past a request's deadline after which the
	// Front refuses it when the Backend has not done so.
	DeadlineGrace time.Duration
	// Metrics is where the Front counts; nil means nowhere.
	Metrics *metric.Metrics
	// Refused, if not nil, hears of each refusal that is sent in place of an
	// answer.
	OnRefusal func(now time.Time, requestID string, f *fault.Fault)
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
	// Entropy is the random source of request identifiers; nil means
	// crypto/rand.
	Entropy io.Reader
}

// Defaults of Settings.
const (
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultMaxStreams        = 4096
	DefaultMaxConnections    = 8192
	DefaultStreamBufferBytes = 256 << 10
	DefaultSlowReaderTimeout = 2 * time.Second
	DefaultMaxResponseBytes  = 8 << 20
	DefaultHeaderTimeout     = 5 * time.Second
	DefaultBodyTimeout       = 30 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	DefaultMaxDeadline       = 24 * time.Hour
	DefaultDeadlineGrace     = time.Second
)

func (s Settings) withDefaults() Settings {
	orDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	orDefault(&s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	orDefault(&s.MaxStreams, DefaultMaxStreams)
	orDefault(&s.MaxConnections, DefaultMaxConnections)
	orDefault(&s.StreamBufferBytes, DefaultStreamBufferBytes)
	orDefault(&s.SlowReaderTimeout, DefaultSlowReaderTimeout)
	orDefault(&s.MaxResponseBytes, DefaultMaxResponseBytes)
	orDefault(&s.HeaderTimeout, DefaultHeaderTimeout)
	orDefault(&s.BodyTimeout, DefaultBodyTimeout)
	orDefault(&s.IdleTimeout, DefaultIdleTimeout)
	orDefault(&s.WriteTimeout, DefaultWriteTimeout)
	orDefault(&s.MaxDeadline, DefaultMaxDeadline)
	orDefault(&s.DeadlineGrace, DefaultDeadlineGrace)
	if s.Metrics == nil {
		s.Metrics = metric.New(nil)
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Entropy == nil {
		s.Entropy = rand.Reader
	}
	return s
}

func orDefault[T comparable](p *T, d T) {
	var zero T
	if *p == zero {
		*p = d
	}
}
