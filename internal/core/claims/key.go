package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"

	"github.com/oklog/ulid/v2"
)

// Partitions is the number of claims streams.
const Partitions = 64

const (
	// uuidTextLen is the length of a UUID's text form with hyphens.
	uuidTextLen = 36
	// maxErrorText bounds in bytes the text that a KeyError quotes.
	maxErrorText = 64
)

type (
	// Key is an idempotency key: the 16 bytes of a ULID or a UUIDv7. Both
	// start with 48 bits of Unix time in milliseconds.
	Key [16]byte

	// ID identifies one claim. It is unique, and the claimant runs at most one
	// request under it. Its text form is a ULID.
	ID [16]byte

	// Digest identifies the content of a request: the first 16 bytes of a
	// SHA-256 sum.
	Digest [16]byte

	// KeyError reports a text that is not a valid key, claim identifier or
	// digest.
	KeyError struct{ Text string }
)

// Error quotes at most maxErrorText bytes of the text.
func (e *KeyError) Error() string {
	return "claims: not a ULID or UUIDv7: " + e.Text[:min(len(e.Text), maxErrorText)]
}

// ParseKey parses a ULID (26 characters) or a UUIDv7 (36 characters), in upper
// or lower case. It fails with a *KeyError.
func ParseKey(s string) (Key, error) {
	switch len(s) {
	case ulid.EncodedSize:
		u, err := ulid.ParseStrict(s)
		if err != nil {
			return Key{}, &KeyError{Text: s}
		}
		return Key(u), nil
	case uuidTextLen:
		var k Key
		if s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
			return Key{}, &KeyError{Text: s}
		}
		b, err := hex.DecodeString(strings.ReplaceAll(s, "-", ""))
		if err != nil || len(b) != len(k) || b[6]>>4 != 7 || b[8]>>6 != 2 {
			return Key{}, &KeyError{Text: s}
		}
		copy(k[:], b)
		return k, nil
	default:
		return Key{}, &KeyError{Text: s}
	}
}

// TimeMS returns the Unix time in k, in milliseconds.
func (k Key) TimeMS() int64 { return int64(ulid.ULID(k).Time()) }

// Partition returns the number of the claims stream of k, from 0. It hashes the
// whole key, random bits included, so that keys generated at the same time are
// spread over the streams.
func (k Key) Partition() int {
	s := sha256.Sum256(k[:])
	return int(binary.BigEndian.Uint16(s[:2]) % Partitions)
}

// String returns k as a ULID, also if it was parsed from a UUIDv7.
func (k Key) String() string { return ulid.ULID(k).String() }

// MarshalText returns k as a ULID.
func (k Key) MarshalText() ([]byte, error) { return ulid.ULID(k).MarshalText() }

// UnmarshalText sets k from a ULID or a UUIDv7.
func (k *Key) UnmarshalText(b []byte) error {
	p, err := ParseKey(string(b))
	*k = p
	return err
}

// NewID returns an ID with the Unix time nowMS and random bits from r.
func NewID(nowMS int64, r io.Reader) (ID, error) {
	u, err := ulid.New(uint64(nowMS), r)
	return ID(u), err
}

// IsZero reports whether id is the zero ID, which stands for no claim.
func (id ID) IsZero() bool { return id == ID{} }

// String returns id as a ULID.
func (id ID) String() string { return ulid.ULID(id).String() }

// MarshalText returns id as a ULID.
func (id ID) MarshalText() ([]byte, error) { return ulid.ULID(id).MarshalText() }

// UnmarshalText sets id from a ULID.
func (id *ID) UnmarshalText(b []byte) error {
	u, err := ulid.ParseStrict(string(b))
	if err != nil {
		return &KeyError{Text: string(b)}
	}
	*id = ID(u)
	return nil
}

// DigestOf returns the digest of the parts in order. Each part is hashed with
// its length, so that moving a boundary between parts changes the digest.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:16])
}

// String returns d in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns d in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText sets d from hexadecimal.
func (d *Digest) UnmarshalText(b []byte) error {
	if len(b) != 2*len(d) {
		return &KeyError{Text: string(b)}
	}
	if _, err := hex.Decode(d[:], b); err != nil {
		return &KeyError{Text: string(b)}
	}
	return nil
}
