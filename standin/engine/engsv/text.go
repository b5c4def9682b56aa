package engsv

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
)

type (
	// completionRequest holds the fields of a request body that the engine
	// evaluates.
	completionRequest struct {
		Model               string    `json:"model"`
		Version             string    `json:"version"`
		Adapter             string    `json:"adapter"`
		Prefix              string    `json:"prefix"`
		PrefixTokens        int64     `json:"prefix-tokens"`
		Messages            []message `json:"messages"`
		MaxTokens           int64     `json:"max_tokens"`
		MaxCompletionTokens int64     `json:"max_completion_tokens"`
		IgnoreEOS           bool      `json:"ignore_eos"`
	}

	message struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}

	// Completion is the deterministic answer of an engine to a prompt.
	Completion struct {
		Model, Version, Adapter, Prompt string
		// Tokens is the length of the answer.
		Tokens int64
		// Finish is the finish reason, stop or length.
		Finish string
	}
)

const (
	// maxCompletionTokens is the maximum length of a completion.
	maxCompletionTokens = 100_000
	// minTokens and tokenRange define the length of a completion without a
	// limit: minTokens to minTokens+tokenRange-1.
	minTokens, tokenRange = 16, 64
	// prefixBytes is the length of the prompt prefix that is used as cache key
	// if the request names none.
	prefixBytes = 256
)

var words = strings.Fields(`tray fig rack plaque harvest bench oak gilt ` +
	`season order name line letter brass press dry early late north south ` +
	`stone leaf ripe weigh cure slate mount panel sponsor grower cedar`)

// Token returns the text of token i, which ends with a space.
func (t *Completion) Token(i int64) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00%d", t.Model, t.Version, t.Adapter, t.Prompt, i)
	return words[h.Sum64()%uint64(len(words))] + " "
}

// Text returns the concatenated tokens of the range [from, to).
func (t *Completion) Text(from, to int64) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(t.Token(i))
	}
	return b.String()
}

// ExpectedCompletion returns the completion that an engine generates for a chat
// completion request body with the given model version and adapter. It fails if
// the body is not valid JSON.
//
// The length is a function of the prompt, between 16 and 79 tokens. It is
// limited by max_completion_tokens or else max_tokens, and equal to that limit
// if ignore_eos is set.
func ExpectedCompletion(model, version, adapter string, body []byte) (*Completion, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	c.Model, c.Version, c.Adapter = model, version, adapter
	return c.completion(), nil
}

func (c *completionRequest) completion() *Completion {
	t := &Completion{Model: c.Model, Version: c.Version, Adapter: c.Adapter, Finish: "stop"}
	for _, m := range c.Messages {
		t.Prompt += m.Role + ": " + m.contentText() + "\n"
	}
	h := fnv.New64a()
	h.Write([]byte(t.Prompt))
	t.Tokens = minTokens + int64(h.Sum64()%tokenRange)
	limit := orDefault(c.MaxCompletionTokens, c.MaxTokens)
	if limit > 0 && (limit < t.Tokens || c.IgnoreEOS) {
		t.Tokens, t.Finish = min(limit, maxCompletionTokens), "length"
	}
	return t
}

// prefixHash returns the prefix cache key for a request that names none.
func (t *Completion) prefixHash() string {
	h := fnv.New64a()
	h.Write([]byte(t.Prompt[:min(len(t.Prompt), prefixBytes)]))
	return fmt.Sprintf("%016x", h.Sum64())
}

// contentText returns the text of the content, which is a string or a list of
// text parts.
func (m message) contentText() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var parts []struct {
		Text string `json:"text"`
	}
	json.Unmarshal(m.Content, &parts)
	for _, p := range parts {
		s += p.Text
	}
	return s
}
