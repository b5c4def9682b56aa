package front

import (
	"crypto/rand"
	"io"
	"time"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/ration"
	"github.com/azurespan/azurespan/internal/link/guard"
)

// Settings of a Server. Zero fields stand for the defaults below; Secret has no
// default.
type Settings struct {
	// Secret signs event IDs. All daemons of a deployment share it.
	Secret []byte
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int
	// MaxStreams bounds the responses in progress, streamed or complete.
	MaxStreams int
	// MaxConnections bounds the open connections of a listener.
	MaxConnections int
	// StreamBufferBytes bounds the buffer between a token stream and its
	// client.
	StreamBufferBytes int
	// SlowReaderTimeout is the time within which the client of a stream must
	// read half of a full buffer; after it, its connection is closed.
	SlowReaderTimeout time.Duration
	// MaxResponseBytes bounds the text of a response that is not streamed.
	MaxResponseBytes int
	// HeaderTimeout bounds the time to receive the request line and headers.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to receive the body.
	BodyTimeout time.Duration
	// IdleTimeout bounds the time between requests on a connection.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a client.
	WriteTimeout time.Duration
	// MaxDeadline is the latest deadline accepted, counted from receipt.
	MaxDeadline time.Duration
	// DeadlineGrace is the time past a request's deadline after which the
	// Server refuses it if the Backend has not done so.
	DeadlineGrace time.Duration
	// Freshness returns how certain it is that the configuration is the newest; nil
	// if it always is.
	Freshness func() Freshness
	// Guard bounds what the clients of the listener take, in place of MaxConnections;
	// nil if nothing else does.
	Guard *guard.Guard
	// Account is the daemon's memory account, of which buffers of streams take Buffers
	// bytes at most; nil if only StreamBufferBytes bounds them.
	Account *ration.Ration
	Buffers int
	// Metrics receives the metrics of the Server; nil discards them.
	Metrics *metric.Metrics
	// OnRefusal, if not nil, is called for each refusal that is sent in place
	// of a response.
	OnRefusal func(now time.Time, requestID string, f *fault.Fault)
	// Now returns the current time; nil means time.Now.
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

// orDefault sets *p to d if it is zero.
func orDefault[T comparable](p *T, d T) {
	var zero T
	if *p == zero {
		*p = d
	}
}
