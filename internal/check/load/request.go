package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"
)

// request is a request to send.
type request struct {
	target string
	model  Model
	id     string
	body   []byte
}

// filler is repeated to fill a prompt. It has no words to which the stand-ins
// react.
const filler = "which rack of figs is dry enough to be turned before the rain comes "

// request returns the n-th request of p. Prompts differ in their first bytes, so
// that no engine has a cached prefix of them.
func (p *Plan) request(n int, rng *rand.Rand) request {
	m := p.Models[rng.IntN(len(p.Models))]
	prompt := fmt.Sprintf("%016x %08d ", rng.Uint64()^p.Salt, n)
	prompt += strings.Repeat(filler, p.PromptBytes/len(filler)+1)[:p.PromptBytes-len(prompt)]
	fields := map[string]any{
		"model": m.Name, "stream": true, "max_tokens": p.Tokens, "ignore_eos": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}
	if p.Engine {
		fields["model"], fields["version"] = m.Base, m.Version
		if m.Adapter != "" {
			fields["adapter"] = m.Adapter
		}
	}
	body, _ := json.Marshal(fields) // strings and numbers can always be encoded
	return request{
		target: p.Targets[n%len(p.Targets)], model: m, body: body,
		// An engine answers a known request ID with the result of the earlier
		// request, so IDs must differ between runs even with the same seed.
		id: ulid.Make().String(),
	}
}

// httpRequest returns the HTTP request for r.
func (p *Plan) httpRequest(ctx context.Context, r *request) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.target+"/v1/chat/completions", bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not retry a request on another
	// connection, which would hide a broken one.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	if p.Engine {
		q.Header.Set("X-Request-Id", r.id)
		q.Header.Set("X-Priority", string(p.Class))
		return q, nil
	}
	q.Header.Set("Azurespan-Class", string(p.Class))
	q.Header.Set("Azurespan-Deadline", strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	return q, nil
}
