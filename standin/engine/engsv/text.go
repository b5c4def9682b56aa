package engsv

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
)

type (
	// completion holds the fields of a completion's body that the engine
	// understands.
	completion struct {
		Model     string    `json:"model"`
		Version   string    `json:"version"`
		Adapter   string    `json:"adapter"`
		Prefix    string    `json:"prefix"`
		PrefixLen int64     `json:"prefix-tokens"`
		Messages  []message `json:"messages"`
		MaxTokens int64     `json:"max_tokens"`
		MaxNew    int64     `json:"max_completion_tokens"`
		IgnoreEOS bool      `json:"ignore_eos"`
	}

	message struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}

	// Text is the answer that an engine gives to a prompt.
	Completion struct {
		Model, Version, Adapter, Prompt string
		// Tokens is the length of the answer.
		Tokens int64
		// Finish is the finish reason, stop or length.
		Finish string
	}
)

// maxTokens bounds one answer.
const maxTokens = 100_000

var words = strings.Fields(`tray fig rack plaque harvest bench oak gilt ` +
	`season order name line letter brass press dry early late north south ` +
	`stone leaf ripe weigh cure slate mount panel sponsor grower cedar`)

// Token returns the text of token i, which ends with a space.
func (t *Completion) Token(i int64) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00%d", t.Model, t.Version, t.Adapter, t.Prompt, i)
	return words[h.Sum64()%uint64(len(words))] + " "
}

// Join returns the text of the tokens [from, to).
func (t *Completion) Text(from, to int64) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(t.Token(i))
	}
	return b.String()
}

// Expect returns the answer to a caller's body, a chat completion, on the
// given model version and adapter. It fails if the body is not valid.
//
// The length follows from the prompt and is between 16 and 79 tokens. It is
// cut at max_completion_tokens or max_tokens, and is exactly that if
// ignore_eos is set.
func ExpectedCompletion(model, version, adapter string, body []byte) (*Completion, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	c.Model, c.Version, c.Adapter = model, version, adapter
	return c.text(), nil
}

func (c *completion) text() *Completion {
	t := &Completion{Model: c.Model, Version: c.Version, Adapter: c.Adapter, Finish: "stop"}
	for _, m := range c.Messages {
		t.Prompt += m.Role + ": " + m.text() + "\n"
	}
	h := fnv.New64a()
	h.Write([]byte(t.Prompt))
	t.Tokens = 16 + int64(h.Sum64()%64)
	limit := or(c.MaxNew, c.MaxTokens)
	if limit > 0 && (limit < t.Tokens || c.IgnoreEOS) {
		t.Tokens, t.Finish = min(limit, maxTokens), "length"
	}
	return t
}

// prefixHash names the start of the prompt for a request that names none.
func (t *Completion) prefixHash() string {
	h := fnv.New64a()
	h.Write([]byte(t.Prompt[:min(len(t.Prompt), 256)]))
	return fmt.Sprintf("%016x", h.Sum64())
}

// text returns the content, which is a string or a list of text parts.
func (m message) text() string {
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
