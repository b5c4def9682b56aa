package calls

import (
	"context"
	"encoding/json"
	"time"

	"github.com/azurespan/azurespan/declare"
)

type (
	// Request is one chat completion after its headers and body were checked.
	Request struct {
		// ID is unique; the engine keeps the stream under it for resumption.
		ID string
		// Model, Version and Adapter are resolved from the name that the
		// caller gave. Adapter is empty for a base model.
		Model, Version, Adapter string
		Class                   declare.Class
		Deadline                time.Time
		// Body is the caller's JSON object, forwarded to the engine.
		Body json.RawMessage
		// Fingerprint identifies requests with the same model and body.
		Fingerprint uint64
		// PrefixHash identifies the start of the prompt for cache affinity.
		PromptPrefixHash uint64
		// Prefix is the text already delivered, and PrefixTokens its length
		// in tokens, when another replica continues an answer.
		DeliveredText   string
		DeliveredTokens int64
	}

	// Token is one element of an answer.
	Token struct {
		// Index counts from 0 without gaps.
		Index int64
		Text  string
		// Finish is the finish reason; the last token has one.
		Finish string
	}

	// Stream yields the tokens of one answer in order.
	Stream interface {
		// Next returns the next token, or io.EOF after the token with a
		// finish reason. Any other error means that the answer is cut.
		Next(ctx context.Context) (Token, error)
		// Upstream names the engine that produces the next token.
		Upstream() string
		// Close releases the stream; it does not cancel the engine's run.
		Close() error
	}

	// Call is one call of a plain service.
	ServiceCall struct {
		ID          string
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

	// Answer is the answer of a plain service.
	ServiceResponse struct {
		Status      int
		ContentType string
		Body        []byte
		// Replayed is set when the answer is the stored one of an earlier
		// run with the same key.
		Replayed bool
	}
)
