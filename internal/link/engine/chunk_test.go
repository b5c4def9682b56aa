package engine

import (
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzChunk guards against a decoder that differs from encoding/json, so that
// it accepts a malformed chunk or changes the text.
func FuzzChunk(f *testing.F) {
	for _, s := range []string{
		`{"id":"r","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"a","content":"fig\n\"\u003c"},"finish_reason":null}],"usage":{"a":[1.5e3,-0,true]}}`,
		`{"id":"r","choices":[{"delta":{"content":null},"finish_reason":"stop"}]} `,
		`{"id":"r","ID":"q","choices":[]}`, `{"id":"r","id":"q","choices":null}`, `{"id":null,"choices":[{},{}]}`,
		`{"id":"r","choices":[null]}`, `{"id":"r","choices":[{"delta":null}]}`, `{"id":"r"}}`, `{"id":"r"} x`, `{"id":"r",}`,
		`{"id":"r","x":01}`, `{"id":"r","x":1.}`, `{"id":"r","x":-}`, `{"id":"r","x":1e}`, `{"id":"\ud800"}`, "{\"id\":\"\xff\"}",
		"{\"id\":\"a\tb\"}", `{"id":"\'"}`, `{"id":"\/"}`, `{"id":5}`, `{"choices":[{"delta":{"Content":"x"}}]}`, `{"i\u0064":"r"}`,
		`{"choices":[{"finish_reaſon":"x"}]}`, `[]`, `null`, ``, "\v{}", "\u00a0{}", `{"x":tru}`, `{"x":nul}`, `{"x":[1,]}`, `{"x":{"a"}}`,
	} {
		f.Add([]byte(s))
	}
	c := &chunkDecoder{}
	f.Fuzz(func(t *testing.T, b []byte) {
		want, wantErr := decodeGeneric(b)
		got, err := c.decode(b)
		must.Eq(t, wantErr == nil, err == nil)
		must.True(t, want == got, must.Sprintf("got %+v, want %+v", got, want))
	})
}
