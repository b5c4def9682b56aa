package claims

import (
	"encoding/json"
	"fmt"
)

// MaxBody and MaxContentType bound what a done record stores, in bytes.
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
		// Previous is the epoch that the daemon replaced, as it knew it.
		Previous uint64 `json:"previous"`
	}

	// Claim asks for Key on behalf of the request with Digest.
	Claim struct {
		Key    Key    `json:"key"`
		Digest Digest `json:"digest"`
		ID     ID     `json:"id"`
		// Daemon will run the request if the claim is granted.
		Daemon string `json:"daemon"`
		// Epoch is the ownership under which the owner appended the record.
		Epoch uint64 `json:"epoch"`
	}

	// Done stores the answer of the request that ran under the claim ID.
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

	// Stored is the part of an answer that is kept.
	StoredResponse struct {
		Status      int    `json:"status"`
		ContentType string `json:"content-type,omitempty"`
		// Body is at most MaxBody bytes long.
		Body []byte `json:"body,omitempty"`
		// Truncated is set when the answer's body was longer.
		Truncated bool `json:"truncated,omitempty"`
	}

	// CodecError reports bytes that are not a batch of records.
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

// Store returns the part of an answer that a done record keeps.
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

// TypeOf returns the type name of r in kebab case, empty for a nil record.
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

// Encode returns one log record that holds rs in order, as a JSON array.
func Encode(rs ...Record) ([]byte, error) {
	es := make([]envelope, len(rs))
	for i, r := range rs {
		b, err := json.Marshal(r)
		if err != nil {
			return nil, &CodecError{Detail: "encode", Cause: err}
		}
		es[i] = envelope{Type: TypeOf(r), Body: b}
	}
	b, err := json.Marshal(es)
	if err != nil {
		return nil, &CodecError{Detail: "encode", Cause: err}
	}
	return b, nil
}

// Decode appends the records in b to dst and returns it. It fails with a
// *CodecError if any record can't be decoded, and then dst is unchanged: a
// batch is skipped as a whole by all readers.
func Decode(dst []Record, b []byte) ([]Record, error) {
	var es []envelope
	if err := json.Unmarshal(b, &es); err != nil {
		return dst, &CodecError{Detail: "parse", Cause: err}
	}
	out := dst
	for _, e := range es {
		r, err := decodeOne(e)
		if err != nil {
			return dst, err
		}
		out = append(out, r)
	}
	return out, nil
}

func decodeOne(e envelope) (Record, error) {
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
