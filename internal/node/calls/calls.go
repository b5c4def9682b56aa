package calls

import (
	"context"
	"encoding/json"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Request is a validated chat completion request.
	Request struct {
		// ID is unique; the engine keeps the stream under it so that it can be
		// resumed.
		ID string
		// Account is the client account that the request belongs to, empty if
		// it needs no key, and Priority orders it within its class: lower
		// numbers go first.
		Account  string
		Priority int
		// Model, Version and Adapter are resolved from the name that the
		// caller gave. Adapter is empty for a base model.
		Model, Version, Adapter string
		Class                   declare.Class
		Deadline                time.Time
		// Body is the caller's JSON object, forwarded to the engine.
		Body json.RawMessage
		// Fingerprint identifies requests with the same model and body.
		Fingerprint uint64
		// PromptPrefixHash identifies the start of the prompt for cache
		// affinity.
		PromptPrefixHash uint64
		// Parts identify the messages that other requests may start with too.
		Parts []string
		// DeliveredText is the text that was already delivered, and
		// DeliveredTokens its length in tokens, when another replica continues
		// the completion.
		DeliveredText   string
		DeliveredTokens int64
	}

	// Token is one element of a completion.
	Token struct {
		// Index counts from 0 without gaps.
		Index int64
		Text  string
		// Finish is the finish reason; the last token has one.
		Finish string
	}

	// Stream yields the tokens of one completion in order.
	Stream interface {
		// Next returns the next token, or io.EOF after the token with a
		// finish reason. Any other error means that the completion is
		// incomplete.
		Next(ctx context.Context) (Token, error)
		// Upstream names the engine that produces the next token.
		Upstream() string
		// Close releases the stream; it does not cancel the engine's run.
		Close() error
	}

	// ServiceCall is one call of a plain service.
	ServiceCall struct {
		ID string
		// Account is the client account that the call belongs to, empty if it
		// needs no key.
		Account     string
		Service     string
		Method      string
		Path        string
		RawQuery    string
		ContentType string
		Body        []byte
		Class       declare.Class
		Deadline    time.Time
		// Key is the caller's idempotency key, empty if there is none.
		Key string
	}

	// ServiceResponse is the response of a plain service.
	ServiceResponse struct {
		Status      int
		ContentType string
		Body        []byte
		// Replayed is set if the response is the stored one of an earlier call
		// with the same key.
		Replayed bool
	}
)
