package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"
)

type (
	// place is a position in a streamed answer: the last token received.
	place struct {
		request, upstream string
		index             int64
	}

	// signer makes and checks event ids. An event id is
	// <request-id>.<upstream>.<token index>.<signature>.
	signer struct{ key []byte }

	// signing makes the event ids of one answer. It keeps the keyed hash,
	// whose setup costs more than a signature. It serves one goroutine.
	signing struct {
		mac hash.Hash
		out [sha256.Size]byte
	}
)

const (
	// signatureBytes is the length of a truncated HMAC-SHA-256; RFC 2104
	// advises at least half of the hash.
	signatureBytes = 16
	// signatureText is its length in unpadded base64url.
	signatureText = 22
	// maxEventID bounds an event id; upstream names are far shorter.
	maxEventID = 512
	// signatureScope separates these signatures from other uses of the secret.
	signatureScope = "azurespan-event-id\n"
)

var scope = []byte(signatureScope)

func newSigner(secret []byte) signer {
	return signer{key: append([]byte(nil), secret...)}
}

// start returns what signs the event ids of one answer.
func (s signer) start() *signing { return &signing{mac: hmac.New(sha256.New, s.key)} }

// append appends the event id of p to dst.
func (s signer) append(dst []byte, p place) []byte { return s.start().append(dst, p) }

// append appends the event id of p to dst.
func (g *signing) append(dst []byte, p place) []byte {
	start := len(dst)
	dst = append(dst, p.request...)
	dst = append(dst, '.')
	dst = append(dst, p.upstream...)
	dst = append(dst, '.')
	dst = strconv.AppendInt(dst, p.index, 10)
	sum := g.sum(dst[start:])
	dst = append(dst, '.')
	return base64.RawURLEncoding.AppendEncode(dst, sum)
}

// parse returns the place of an event id whose signature is right.
func (s signer) parse(text string) (place, error) {
	if len(text) > maxEventID {
		return place{}, badField(fieldEventID, "is longer than %d bytes", maxEventID)
	}
	i := strings.LastIndexByte(text, '.')
	if i < 0 || len(text)-i-1 != signatureText {
		return place{}, badField(fieldEventID, "is not an event id of this deployment")
	}
	got, err := base64.RawURLEncoding.Strict().DecodeString(text[i+1:])
	if err != nil || !hmac.Equal(got, s.start().sum([]byte(text[:i]))) {
		return place{}, badField(fieldEventID, "has no valid signature of this deployment")
	}
	// The signature covers the text, so the checks below fail only for a text
	// that append did not write although it was signed with the same secret.
	body := text[:i]
	j := strings.LastIndexByte(body, '.')
	k := strings.IndexByte(body, '.')
	if j <= k {
		return place{}, badField(fieldEventID, "is not an event id of this deployment")
	}
	n, err := strconv.ParseInt(body[j+1:], 10, 64)
	if err != nil || n < 0 {
		return place{}, badField(fieldEventID, "has no token index")
	}
	if _, err := ulid.ParseStrict(body[:k]); err != nil {
		return place{}, badField(fieldEventID, "has no request identifier")
	}
	return place{request: body[:k], upstream: body[k+1 : j], index: n}, nil
}

// sum returns the signature of b, which is valid until the next call.
func (g *signing) sum(b []byte) []byte {
	g.mac.Reset()
	g.mac.Write(scope)
	g.mac.Write(b)
	return g.mac.Sum(g.out[:0])[:signatureBytes]
}
