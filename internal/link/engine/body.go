package engine

import (
	"encoding/json"
	"errors"
	"maps"
	"strings"

	"github.com/azurespan/azurespan/internal/node/calls"
)

// requestBody returns the caller's body with the fields that the daemon sets:
// the resolved model, version and adapter, streaming, and the part of the
// answer that has been delivered. The engine counts a token limit of the caller
// from the start of the answer, including the delivered part. requestBody fails
// if the body is not a JSON object.
func requestBody(r calls.Request) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &m); err != nil {
		return nil, err
	}
	if m == nil {
		return nil, errors.New("request body is null")
	}
	for _, f := range []struct {
		name  string
		value any
		unset bool
	}{
		{"model", r.Model, false},
		{"version", r.Version, false},
		{"stream", true, false},
		{"adapter", r.Adapter, r.Adapter == ""},
		{"prefix", r.DeliveredText, r.DeliveredTokens == 0},
		{"prefix-tokens", r.DeliveredTokens, r.DeliveredTokens == 0},
	} {
		// Some engines match field names case-insensitively.
		maps.DeleteFunc(m, func(k string, _ json.RawMessage) bool { return strings.EqualFold(k, f.name) })
		if f.unset {
			continue
		}
		b, err := json.Marshal(f.value)
		if err != nil {
			return nil, err
		}
		m[f.name] = b
	}
	return json.Marshal(m)
}
