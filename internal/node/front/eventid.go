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
	// streamPosition identifies the last token that a client has received of
	// a streamed response.
	streamPosition struct {
		requestID, upstream string
		// index is the index of the token.
		index int64
	}

	// signer creates and verifies event IDs. An event ID has the form
	// <request-id>.<upstream>.<token index>.<signature>.
	signer struct{ key []byte }

	// streamSigner creates the event IDs of one response. It reuses the keyed
	// hash, whose setup costs more than a signature. It is not safe for
	// concurrent use.
	streamSigner struct {
		mac    hash.Hash
		sumBuf [sha256.Size]byte
	}
)

const (
	// signatureBytes is the length of a truncated HMAC-SHA-256; RFC 2104
	// recommends at least half of the hash.
	signatureBytes = 16
	// signatureTextBytes is the length of a signature in unpadded base64url.
	signatureTextBytes = 22
	// maxEventIDBytes bounds an event ID; upstream names are far shorter.
	maxEventIDBytes = 512
	// signatureDomain precedes the signed text, to separate these signatures
	// from other uses of the secret.
	signatureDomain = "azurespan-event-id\n"
)

var signatureDomainBytes = []byte(signatureDomain)

func newSigner(secret []byte) signer {
	return signer{key: append([]byte(nil), secret...)}
}

// forStream returns a streamSigner for one response.
func (s signer) forStream() *streamSigner { return &streamSigner{mac: hmac.New(sha256.New, s.key)} }

// append appends the event ID of p to dst.
func (s signer) append(dst []byte, p streamPosition) []byte { return s.forStream().append(dst, p) }

// append appends the event ID of p to dst.
func (s *streamSigner) append(dst []byte, p streamPosition) []byte {
	start := len(dst)
	dst = append(dst, p.requestID...)
	dst = append(dst, '.')
	dst = append(dst, p.upstream...)
	dst = append(dst, '.')
	dst = strconv.AppendInt(dst, p.index, 10)
	sum := s.signature(dst[start:])
	dst = append(dst, '.')
	return base64.RawURLEncoding.AppendEncode(dst, sum)
}

// parse verifies an event ID and returns its position.
func (s signer) parse(text string) (streamPosition, error) {
	if len(text) > maxEventIDBytes {
		return streamPosition{}, fieldErrorf(headerLastEventID, "is longer than %d bytes", maxEventIDBytes)
	}
	i := strings.LastIndexByte(text, '.')
	if i < 0 || len(text)-i-1 != signatureTextBytes {
		return streamPosition{}, fieldErrorf(headerLastEventID, "is not an event id of this deployment")
	}
	got, err := base64.RawURLEncoding.Strict().DecodeString(text[i+1:])
	if err != nil || !hmac.Equal(got, s.forStream().signature([]byte(text[:i]))) {
		return streamPosition{}, fieldErrorf(headerLastEventID, "has no valid signature of this deployment")
	}
	// The signature covers the text, so the checks below fail only for a text
	// that was signed with the same secret but not written by append.
	signed := text[:i]
	lastDot := strings.LastIndexByte(signed, '.')
	firstDot := strings.IndexByte(signed, '.')
	if lastDot <= firstDot {
		return streamPosition{}, fieldErrorf(headerLastEventID, "is not an event id of this deployment")
	}
	index, err := strconv.ParseInt(signed[lastDot+1:], 10, 64)
	if err != nil || index < 0 {
		return streamPosition{}, fieldErrorf(headerLastEventID, "has no token index")
	}
	if _, err := ulid.ParseStrict(signed[:firstDot]); err != nil {
		return streamPosition{}, fieldErrorf(headerLastEventID, "has no request identifier")
	}
	return streamPosition{requestID: signed[:firstDot], upstream: signed[firstDot+1 : lastDot], index: index}, nil
}

// signature returns the signature of b. The result is valid until the next call.
func (s *streamSigner) signature(b []byte) []byte {
	s.mac.Reset()
	s.mac.Write(signatureDomainBytes)
	s.mac.Write(b)
	return s.mac.Sum(s.sumBuf[:0])[:signatureBytes]
}
