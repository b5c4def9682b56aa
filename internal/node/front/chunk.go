package front

import (
	"github.com/go-faster/jx"

	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// chunkEncoder encodes the tokens of one response as server-sent events.
type chunkEncoder struct {
	signer    *streamSigner
	requestID string
	// prefix is the part of a chunk before its delta, the same for all tokens.
	prefix []byte
	// rolePending is set until the first chunk, which carries the role, is
	// encoded.
	rolePending bool
}

// newChunkEncoder returns the encoder of a response. created is a Unix time in
// seconds. model is empty in a resumed response, because event IDs do not carry
// it. from is the index of the first token.
func newChunkEncoder(s signer, requestID, model string, created int64, from int64) *chunkEncoder {
	var w jx.Writer
	w.RawStr(`data: {"id":`)
	w.Str(requestID)
	w.RawStr(`,"object":"chat.completion.chunk","created":`)
	w.Int64(created)
	w.RawStr(`,"model":`)
	w.Str(model)
	w.RawStr(`,"choices":[{"index":0,"delta":{`)
	return &chunkEncoder{signer: s.forStream(), requestID: requestID, prefix: w.Buf, rolePending: from == 0}
}

// append appends the event of t, which was received from upstream, to dst.
func (c *chunkEncoder) append(dst []byte, t calls.Token, upstream string) []byte {
	dst = append(dst, "id: "...)
	dst = c.signer.append(dst, streamPosition{c.requestID, upstream, t.Index})
	dst = append(dst, '\n')
	dst = append(dst, c.prefix...)
	w := jx.Writer{Buf: dst}
	if c.rolePending {
		c.rolePending = false
		w.RawStr(`"role":"assistant",`)
	}
	w.RawStr(`"content":`)
	w.Str(t.Text)
	w.RawStr(`},"finish_reason":`)
	if t.Finish == "" {
		w.Null()
	} else {
		w.Str(t.Finish)
	}
	w.RawStr("}]}\n\n")
	return w.Buf
}

// appendDone appends the event that ends a complete response.
func appendDone(dst []byte) []byte { return append(dst, "data: [DONE]\n\n"...) }

// appendError appends the event that ends an aborted response.
func appendError(dst []byte, p oas.Problem) []byte {
	var e jx.Encoder
	p.Encode(&e)
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, e.Bytes()...)
	return append(dst, "\n\n"...)
}
