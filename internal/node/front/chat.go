package front

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// maxPrefixBytes bounds the part of a prompt's first message that enters the
// prefix hash. Chats of one service have the system prompt in common and differ
// after it.
const maxPrefixBytes = 1 << 10

const (
	// maxSharedParts bounds the messages of a prompt that are taken for shared
	// with other prompts: system prompts and examples come first, the turns of
	// one conversation after them.
	maxSharedParts = 4
	// sharedPartBytes is the length of a message's hash.
	sharedPartBytes = 8
)

// CreateChatCompletion handles POST /v1/chat/completions.
func (s *Server) CreateChatCompletion(ctx context.Context, req *oas.ChatRequest, params oas.CreateChatCompletionParams) (oas.CreateChatCompletionRes, error) {
	x := exchangeFromContext(ctx)
	config := s.backend.Config()
	if config == nil {
		return nil, fault.New(fault.NotReady, "the daemon has no configuration yet").WithRetry(x.retryDelay())
	}
	var services []string
	if m, _ := config.Resolve(req.Model); m != nil {
		services = m.Services
	}
	if err := x.authorize(config, services); err != nil {
		return nil, err
	}
	r, err := s.convertRequest(x, config, req, params)
	if err != nil {
		return nil, err
	}
	if err := x.acquireStreamSlot(); err != nil {
		return nil, err
	}
	stream, err := x.openStream(ctx, r.Deadline, 0, func() (calls.Stream, error) { return s.backend.Complete(ctx, r) })
	if err != nil {
		return nil, err
	}
	created := x.received.Unix()
	if req.Stream.Or(false) {
		return &oas.CreateChatCompletionOKTextEventStream{
			Data: x.startEvents(stream, newChunkEncoder(s.signer, r.ID, req.Model, created, 0)),
		}, nil
	}
	stop := x.cancelAfterDeadline(r.Deadline, errIncomplete)
	text, finish, err := stream.collect(ctx, s.settings.MaxResponseBytes)
	stop()
	if err != nil {
		return nil, withRunYes(toFault(ctx, err))
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

// startEvents starts to forward the tokens of stream as events, which the returned
// buffer yields.
func (x *exchange) startEvents(stream *tokenStream, enc *chunkEncoder) *eventBuffer {
	h := x.w.Header()
	h.Set("Cache-Control", "no-cache")
	// Proxies such as nginx would otherwise buffer the events.
	h.Set("X-Accel-Buffering", "no")
	x.buffer = newEventBuffer(x.server.settings.StreamBufferBytes, x.server.settings.SlowReaderTimeout)
	if r := x.server.buffers; r != nil {
		x.buffer.hold = r.Hold(x.account)
	}
	go x.forwardTokens(x.ctx, x.buffer, stream, enc)
	return x.buffer
}

// convertRequest converts a decoded request. A model that is not in the
// configuration is passed on, because the Backend refuses it.
func (s *Server) convertRequest(x *exchange, config *declare.Index, req *oas.ChatRequest, params oas.CreateChatCompletionParams) (calls.Request, error) {
	if err := checkMessages(req.Messages); err != nil {
		return calls.Request{}, err
	}
	if key, ok := params.IdempotencyKey.Get(); ok {
		// Completions are idempotent, so the key is not used; a malformed one
		// is still reported as an error of the client.
		if _, err := parseKey(key); err != nil {
			return calls.Request{}, err
		}
	}
	r := calls.Request{ID: x.id.String(), Model: req.Model, Body: x.body, Account: x.account, Priority: x.priority}
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
	r.Class, r.Deadline, err = s.classAndDeadline(x, string(params.AzurespanClass.Or("")), params.AzurespanDeadline, service, "")
	if err != nil {
		return calls.Request{}, err
	}
	r.Fingerprint = fingerprint(req.Model, x.body)
	r.PromptPrefixHash = prefixHash(req)
	r.Parts = sharedParts(req.Messages)
	return r, nil
}

// classAndDeadline returns the class and the deadline of a request. The values in
// the request take precedence, then callClass, then those of the service, then
// the defaults. service may be nil.
func (s *Server) classAndDeadline(x *exchange, class string, deadline oas.OptString, service *declare.Service, callClass declare.Class) (declare.Class, time.Time, error) {
	c, err := parseClass(class)
	if err != nil {
		return "", time.Time{}, err
	}
	if c == "" {
		c = callClass
	}
	if c == "" && service != nil {
		c = service.DefaultClass
	}
	if c == "" {
		c = declare.Urgent
	}
	x.class = c
	if text, ok := deadline.Get(); ok {
		t, err := parseDeadline(text, x.received, s.settings.MaxDeadline)
		return c, t, err
	}
	d := declare.DefaultUrgentDeadline
	if c == declare.Background {
		d = declare.DefaultBackgroundDeadline
	}
	if service != nil && service.DefaultDeadlineMS > 0 {
		d = time.Duration(service.DefaultDeadlineMS) * time.Millisecond
	}
	return c, x.received.Add(d), nil
}

// fingerprint identifies requests with the same model and body. It is a truncated
// SHA-256, so that no client can construct a request with the fingerprint of
// another client's request and have that quarantined too.
func fingerprint(model string, body []byte) uint64 {
	h := sha256.New()
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// sharedParts identifies the first messages of a prompt, except its last one, by
// truncated SHA-256 hashes as fingerprint does.
func sharedParts(messages []oas.ChatMessage) (parts []string) {
	for _, m := range messages[:min(len(messages)-1, maxSharedParts)] {
		h := sha256.New()
		h.Write([]byte(m.Role))
		h.Write([]byte{0})
		h.Write(m.Content)
		parts = append(parts, hex.EncodeToString(h.Sum(nil)[:sharedPartBytes]))
	}
	return parts
}

// prefixHash returns a hash of the model and the first bytes of the prompt.
func prefixHash(req *oas.ChatRequest) uint64 {
	h := fnv.New64a()
	m := req.Messages[0]
	content := m.Content[:min(len(m.Content), maxPrefixBytes)]
	for _, part := range [][]byte{[]byte(req.Model), {0}, []byte(m.Role), {0}, content} {
		_, _ = h.Write(part) // never fails
	}
	return h.Sum64()
}
