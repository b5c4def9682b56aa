package record

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

// MaxBytes bounds the size of a record after decompression, so that a corrupt or
// malicious record can't exhaust memory.
const MaxBytes = 8 << 20

type (
	// CodecError reports a record that can't be encoded or decoded.
	CodecError struct {
		Detail string
		Cause  error
	}

	envelope struct {
		Type string          `json:"type"`
		Body json.RawMessage `json:"body"`
	}
)

// Error returns the detail and the cause.
func (e *CodecError) Error() string {
	if e.Cause == nil {
		return "record: " + e.Detail
	}
	return fmt.Sprintf("record: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }

// TypeOf returns the type name of r in kebab case, or an empty string for an
// unknown type.
func TypeOf(r Record) string {
	switch r.(type) {
	case Publish:
		return "publish"
	case TakeOwnership:
		return "take-ownership"
	case AcknowledgeLoss:
		return "acknowledge-loss"
	case HostGone:
		return "host-gone"
	case Grant:
		return "grant"
	case Release:
		return "release"
	case Snapshot:
		return "snapshot"
	default:
		return ""
	}
}

// EncodeJSON returns r as JSON, which Encode compresses.
func EncodeJSON(r Record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, &CodecError{Detail: "encode", Cause: err}
	}
	b, err := json.Marshal(envelope{Type: TypeOf(r), Body: body})
	if err != nil {
		return nil, &CodecError{Detail: "encode", Cause: err}
	}
	return b, nil
}

// Encode returns r as compressed JSON for the log.
func Encode(r Record) ([]byte, error) {
	text, err := EncodeJSON(r)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(text); err != nil {
		return nil, &CodecError{Detail: "compress", Cause: err}
	}
	if err := z.Close(); err != nil {
		return nil, &CodecError{Detail: "compress", Cause: err}
	}
	return b.Bytes(), nil
}

// Decode returns the record in b. It fails with a *CodecError if b is not a
// record, the type is unknown, or the record is larger than MaxBytes.
func Decode(b []byte) (Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, &CodecError{Detail: "decompress", Cause: err}
	}
	text, err := io.ReadAll(io.LimitReader(z, MaxBytes+1))
	if err != nil {
		return nil, &CodecError{Detail: "decompress", Cause: err}
	}
	if len(text) > MaxBytes {
		return nil, &CodecError{Detail: fmt.Sprintf("larger than %d bytes", MaxBytes)}
	}
	return DecodeJSON(text)
}

// DecodeJSON returns the record in JSON from EncodeJSON. It fails with a
// *CodecError if text is not a record or the type is unknown.
func DecodeJSON(text []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, &CodecError{Detail: "parse", Cause: err}
	}
	switch e.Type {
	case "publish":
		return decodeBody[Publish](e.Body)
	case "take-ownership":
		return decodeBody[TakeOwnership](e.Body)
	case "acknowledge-loss":
		return decodeBody[AcknowledgeLoss](e.Body)
	case "host-gone":
		return decodeBody[HostGone](e.Body)
	case "grant":
		return decodeBody[Grant](e.Body)
	case "release":
		return decodeBody[Release](e.Body)
	case "snapshot":
		return decodeBody[Snapshot](e.Body)
	default:
		return nil, &CodecError{Detail: fmt.Sprintf("unknown type %q", e.Type)}
	}
}

func decodeBody[T Record](b []byte) (Record, error) {
	var r T
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, &CodecError{Detail: "parse body", Cause: err}
	}
	return r, nil
}
