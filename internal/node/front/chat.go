package front

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// prefixBytes is how much of a prompt's first message makes its prefix hash.
// Chats of one service share their system prompt and differ after it.
const prefixBytes = 1 << 10

// CreateChatCompletion answers POST /v1/chat/completions.
func (f *Server) CreateChatCompletion(ctx context.Context, req *oas.ChatRequest, params oas.CreateChatCompletionParams) (oas.CreateChatCompletionRes, error) {
	x := exchangeOf(ctx)
	r, err := f.request(x, req, params)
	if err != nil {
		return nil, err
	}
	if err := x.takeSlot(); err != nil {
		return nil, err
	}
	a, err := x.begin(ctx, r.Deadline, 0, func() (calls.Stream, error) { return f.backend.Complete(ctx, r) })
	if err != nil {
		return nil, err
	}
	created := x.received.Unix()
	if req.Stream.Or(false) {
		return &oas.CreateChatCompletionOKTextEventStream{
			Data: x.start(a, newChunker(f.signer, r.ID, req.Model, created, 0)),
		}, nil
	}
	stop := x.guard(r.Deadline, errNotWhole)
	text, finish, err := a.collect(ctx, f.s.MaxResponseBytes)
	stop()
	if err != nil {
		return nil, ranFault(faultOf(ctx, err))
	}
	return &oas.ChatCompletion{
		ID:      r.ID,
		Object:  oas.ChatCompletionObjectChatCompletion,
		Created: created,
		Model:   req.Model,
		Choices: []oas.ChatCompletionChoicesItem{{
			Message:      oas.ChatCompletionChoicesItemMessage{Role: oas.ChatCompletionChoicesItemMessageRoleAssistant, Content: text},
			FinishReason: finish,
		}},
	}, nil
}

// start streams a to the caller; the result yields its events.
func (x *exchange) start(a *answer, c *chunker) *pump {
	h := x.w.Header()
	h.Set("Cache-Control", "no-cache")
	// Intermediaries such as nginx would otherwise hold events back.
	h.Set("X-Accel-Buffering", "no")
	x.pump = newPump(x.front.s.StreamBufferBytes, x.front.s.SlowReaderTimeout)
	go x.run(x.ctx, x.pump, a, c)
	return x.pump
}

// request converts a decoded request. A model that the configuration doesn't
// have is left to the Backend, which refuses it.
func (f *Server) request(x *exchange, req *oas.ChatRequest, params oas.CreateChatCompletionParams) (calls.Request, error) {
	if err := checkMessages(req.Messages); err != nil {
		return calls.Request{}, err
	}
	if key, ok := params.IdempotencyKey.Get(); ok {
		// Completions are idempotent, so the key has no use; a malformed one
		// is still a caller's mistake worth reporting.
		if _, err := parseKey(key); err != nil {
			return calls.Request{}, err
		}
	}
	config := f.backend.Config()
	if config == nil {
		return calls.Request{}, fault.New(fault.NotReady, "the daemon has no configuration yet").WithRetry(x.jitter())
	}
	r := calls.Request{ID: x.id.String(), Model: req.Model, Body: x.body}
	var service *declare.Service
	if m, a := config.Resolve(req.Model); m != nil {
		r.Model, r.Version = m.Name, m.Version
		if a != nil {
			r.Adapter = a.Name
		}
		if len(m.Services) > 0 {
			service = config.Service(m.Services[0])
		}
	}
	var err error
	r.Class, r.Deadline, err = f.terms(x, string(params.AzurespanClass.Or("")), params.AzurespanDeadline, service, "")
	if err != nil {
		return calls.Request{}, err
	}
	r.Fingerprint = fingerprint(req.Model, x.body)
	r.PromptPrefixHash = prefixHash(req)
	return r, nil
}

// terms returns the class and the deadline of a request: those that the
// caller gives, else those of the call or the service, else the defaults.
func (f *Server) terms(x *exchange, class string, deadline oas.OptString, s *declare.Service, call declare.Class) (declare.Class, time.Time, error) {
	c, err := parseClass(class)
	if err != nil {
		return "", time.Time{}, err
	}
	if c == "" {
		c = call
	}
	if c == "" && s != nil {
		c = s.DefaultClass
	}
	if c == "" {
		c = declare.Urgent
	}
	x.class = c
	if text, ok := deadline.Get(); ok {
		t, err := parseDeadline(text, x.received, f.s.MaxDeadline)
		return c, t, err
	}
	d := declare.DefaultUrgentDeadline
	if c == declare.Background {
		d = declare.DefaultBackgroundDeadline
	}
	if s != nil && s.DefaultDeadlineMS > 0 {
		d = time.Duration(s.DefaultDeadlineMS) * time.Millisecond
	}
	return c, x.received.Add(d), nil
}

// fingerprint identifies requests with the same model and body. It is cut from
// SHA-256, so that no caller can make another's request share its own
// fingerprint and be quarantined with it.
func fingerprint(model string, body []byte) uint64 {
	h := sha256.New()
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// prefixHash identifies the model and the start of the prompt.
func prefixHash(req *oas.ChatRequest) uint64 {
	h := fnv.New64a()
	m := req.Messages[0]
	content := m.Content[:min(len(m.Content), prefixBytes)]
	for _, part := range [][]byte{[]byte(req.Model), {0}, []byte(m.Role), {0}, content} {
		_, _ = h.Write(part) // never fails
	}
	return h.Sum64()
}
