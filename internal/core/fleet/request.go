package fleet

import (
	"net/http"
	"time"
)

type (
	// Request is one request of a caller, decoded from the wire. A repetition
	// by the caller is another Request.
	Request struct {
		// ID is the caller's id of this request.
		ID string
		// Target is the path and query as sent.
		Method, Target, Host, Path string
		// Header holds the fields to forward; those that the system sets itself
		// have been removed.
		Header http.Header
		Body   []byte
		// CallerTimeout is how long the caller waits, 0 if unknown.
		CallerTimeout time.Duration
		// Model and Adapter are empty for plain services.
		Model, Adapter string
		// PromptTokens is the size of the prompt, AnswerTokens the maximum size
		// of the answer.
		PromptTokens, AnswerTokens int
		// Parts are the parts of the prompt in order. All but the last may be
		// shared with other requests.
		Parts []Part
		// LastEventID is the id of the last event that the caller has received,
		// empty if there is none.
		LastEventID string
		// Resumes is the ID of the request that brought the first event of the
		// stream that the caller resumes, empty if there is none.
		Resumes string
		// Key is the hash of the caller's key, nil if it sent none.
		Key *KeyHash
		// Account is the name of the account that the request belongs to, empty
		// if there is none.
		Account string
	}

	// Part is a part of a prompt.
	Part struct {
		ID     string
		Tokens int
	}

	// Attempt is one transfer of a request to an upstream.
	Attempt struct {
		Upstream Upstream
		// TimeLeft is the time that the upstream has to answer.
		TimeLeft time.Duration
		// Priority is the request's priority in the engine's queue; 0 is the
		// highest, and with -1 none is sent.
		Priority int
		// LastEventID is the id of the last event that was forwarded, empty to
		// start at the beginning.
		LastEventID string
	}

	// Verdict classifies an upstream's response by whether the request may be
	// repeated.
	Verdict uint8
)

// Verdicts on a response's status and header.
const (
	// Answered: the upstream ran the request, with success or not.
	Answered Verdict = iota
	// NotRun: the upstream states that it did not run the request, for a
	// temporary reason such as a full queue.
	NotRun
	// Misplaced: not run, because another incarnation has the address or the
	// model isn't loaded.
	Misplaced
	// Foreign: the response doesn't belong to this request.
	Foreign
)

// String returns the name of v for logs.
func (v Verdict) String() string {
	return [...]string{"answered", "not-run", "misplaced", "foreign"}[v]
}

// SharedParts returns the IDs of the parts of the prompt that other requests may
// have too.
func (r *Request) SharedParts() []string {
	if len(r.Parts) < 2 { // the last part is never shared
		return nil
	}
	ids := make([]string, len(r.Parts)-1)
	for i := range ids {
		ids[i] = r.Parts[i].ID
	}
	return ids
}

// SharedKey identifies the shared prefix of the prompt, empty if there is none.
func (r *Request) SharedKey() string {
	if len(r.Parts) < 2 { // the last part is never shared
		return ""
	}
	return r.Parts[len(r.Parts)-2].ID
}
