package front

import (
	"github.com/go-faster/jx"

	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// chunker encodes the tokens of one answer as server-sent events.
type chunker struct {
	signing *signing
	request string
	// head is the part of a chunk before its delta, the same for all tokens.
	head []byte
	// role is set until the first chunk, which names the role.
	role bool
}

// newChunker returns the chunker of an answer. created is Unix time in
// seconds; model is empty in a resumed answer, whose model is not known here.
func newChunker(s signer, request, model string, created int64, from int64) *chunker {
	var w jx.Writer
	w.RawStr(`data: {"id":`)
	w.Str(request)
	w.RawStr(`,"object":"chat.completion.chunk","created":`)
	w.Int64(created)
	w.RawStr(`,"model":`)
	w.Str(model)
	w.RawStr(`,"choices":[{"index":0,"delta":{`)
	return &chunker{signing: s.start(), request: request, head: w.Buf, role: from == 0}
}

// append appends the event of t, which upstream produced.
func (c *chunker) append(dst []byte, t calls.Token, upstream string) []byte {
	dst = append(dst, "id: "...)
	dst = c.signing.append(dst, place{c.request, upstream, t.Index})
	dst = append(dst, '\n')
	dst = append(dst, c.head...)
	w := jx.Writer{Buf: dst}
	if c.role {
		c.role = false
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

// appendDone appends the end of a complete answer.
func appendDone(dst []byte) []byte { return append(dst, "data: [DONE]\n\n"...) }

// appendError appends the event of an answer that breaks off.
func appendError(dst []byte, p oas.Problem) []byte {
	var e jx.Encoder
	p.Encode(&e)
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, e.Bytes()...)
	return append(dst, "\n\n"...)
}
