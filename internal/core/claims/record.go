package claims

import (
	"encoding/json"
	"fmt"
)

// Limits on what a done record stores, in bytes.
const (
	MaxBodyBytes        = 1 << 10
	MaxContentTypeBytes = 256
)

type (
	// Record is one record of a claims stream.
	Record interface{ record() }

	// TakeOwnership makes Daemon the owner of the stream. The record's
	// offset is the new epoch.
	TakeOwnership struct {
		Daemon string `json:"daemon"`
		// Previous is the current epoch as known to the daemon when it
		// appended the record.
		Previous uint64 `json:"previous"`
	}

	// Claim requests Key for the request with Digest.
	Claim struct {
		Key    Key    `json:"key"`
		Digest Digest `json:"digest"`
		ID     ID     `json:"id"`
		// Daemon will run the request if the claim is granted.
		Daemon string `json:"daemon"`
		// Epoch is the ownership under which the owner appended the record.
		Epoch uint64 `json:"epoch"`
	}

	// Done stores the response of the request that ran under the claim ID.
	Done struct {
		Key Key `json:"key"`
		ID  ID  `json:"id"`
		StoredResponse
	}

	// Withdraw states that no request ran under the claim ID and none will.
	Withdraw struct {
		Key Key `json:"key"`
		ID  ID  `json:"id"`
	}

	// StoredResponse is the part of a response that a done record keeps.
	StoredResponse struct {
		Status      int    `json:"status"`
		ContentType string `json:"content-type,omitempty"`
		// Body has at most MaxBodyBytes.
		Body []byte `json:"body,omitempty"`
		// Truncated is set if the response's body was longer.
		Truncated bool `json:"truncated,omitempty"`
	}

	// CodecError reports records that can't be encoded, or bytes that are not
	// a batch of records.
	CodecError struct {
		Detail string
		Cause  error
	}

	envelope struct {
		Type string          `json:"type"`
		Body json.RawMessage `json:"body"`
	}
)

var (
	_ Record = TakeOwnership{}
	_ Record = Claim{}
	_ Record = Done{}
	_ Record = Withdraw{}
)

func (TakeOwnership) record() {}
func (Claim) record()         {}
func (Done) record()          {}
func (Withdraw) record()      {}

// Error returns the detail and the cause.
func (e *CodecError) Error() string {
	if e.Cause == nil {
		return "claims: " + e.Detail
	}
	return fmt.Sprintf("claims: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }

// NewStoredResponse returns the part of a response that a done record keeps. A
// content type that is too long is replaced by application/octet-stream.
func NewStoredResponse(status int, contentType string, body []byte) StoredResponse {
	s := StoredResponse{Status: status, ContentType: contentType, Body: body}
	if len(body) > MaxBodyBytes {
		s.Body, s.Truncated = body[:MaxBodyBytes], true
	}
	if len(contentType) > MaxContentTypeBytes {
		s.ContentType = "application/octet-stream"
	}
	return s
}

// TypeOf returns the type name of r in kebab case, or an empty string for a nil
// record.
func TypeOf(r Record) string {
	switch r.(type) {
	case TakeOwnership:
		return "take-ownership"
	case Claim:
		return "claim"
	case Done:
		return "done"
	case Withdraw:
		return "withdraw"
	default:
		return ""
	}
}

// Encode returns the data of one log record that holds rs in order, as a JSON
// array.
func Encode(rs ...Record) ([]byte, error) {
	envelopes := make([]envelope, len(rs))
	for i, r := range rs {
		b, err := json.Marshal(r)
		if err != nil {
			return nil, &CodecError{Detail: "encode", Cause: err}
		}
		envelopes[i] = envelope{Type: TypeOf(r), Body: b}
	}
	b, err := json.Marshal(envelopes)
	if err != nil {
		return nil, &CodecError{Detail: "encode", Cause: err}
	}
	return b, nil
}

// Decode appends the records in b to dst and returns it. It fails with a
// *CodecError and returns dst unchanged if any record can't be decoded: all
// readers skip such a batch as a whole.
func Decode(dst []Record, b []byte) ([]Record, error) {
	var envelopes []envelope
	if err := json.Unmarshal(b, &envelopes); err != nil {
		return dst, &CodecError{Detail: "parse", Cause: err}
	}
	out := dst
	for _, e := range envelopes {
		r, err := decodeRecord(e)
		if err != nil {
			return dst, err
		}
		out = append(out, r)
	}
	return out, nil
}

func decodeRecord(e envelope) (Record, error) {
	switch e.Type {
	case "take-ownership":
		return decodeBody[TakeOwnership](e.Body)
	case "claim":
		return decodeBody[Claim](e.Body)
	case "done":
		return decodeBody[Done](e.Body)
	case "withdraw":
		return decodeBody[Withdraw](e.Body)
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
