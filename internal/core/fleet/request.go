package fleet

import (
	"net/http"
	"time"
)

type (
	// Request is one attempt of a caller, decoded from its form on the wire.
	Request struct {
		// ID is the caller's id of this attempt.
		ID string
		// Method, Target (path and query as sent), Host and Path.
		Method, Target, Host, Path string
		// Header is passed on; what the system sets itself has been removed.
		Header http.Header
		Body   []byte
		// Patience is how long the caller waits, 0 if it doesn't say.
		CallerTimeout time.Duration
		// Model and Adapter are empty for plain services.
		Model, Adapter string
		// PromptTokens and AnswerTokens are counts; the latter is a maximum.
		PromptTokens, AnswerTokens int
		// Parts of the prompt in order. All but the last may be shared.
		Parts []Part
		// After is the id of the last event that the caller has, empty if
		// none.
		LastEventID string
	}

	// Part is a part of a prompt.
	Part struct {
		ID     string
		Tokens int
	}

	// Send is one transfer of a request to an upstream.
	Attempt struct {
		Upstream Upstream
		// Left is the time that the upstream has.
		TimeLeft time.Duration
		// Priority of the request in the engine's queue, 0 is first; -1 sends
		// none.
		Priority int
		// After is the id of the last event that was passed on, empty for a
		// start at the beginning.
		LastEventID string
	}

	// Verdict says what an upstream's status means for repetition.
	Verdict uint8
)

// Verdicts on the head of an answer.
const (
	// Answered: the upstream ran the request, well or not.
	Answered Verdict = iota
	// NotRun: the upstream states that it did not run the request and why is
	// temporary, such as a full queue.
	NotRun
	// Misplaced: not run, because another incarnation has the address or the
	// model isn't loaded.
	Misplaced
	// Foreign: the bytes are no answer to this request.
	Foreign
)

// String returns the name of v for logs.
func (v Verdict) String() string {
	return [...]string{"answered", "not-run", "misplaced", "foreign"}[v]
}

// SharedKey identifies the shared part of the prompt, empty if there is none.
func (r *Request) SharedKey() string {
	if len(r.Parts) < 2 {
		return ""
	}
	return r.Parts[len(r.Parts)-2].ID
}
