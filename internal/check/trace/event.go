package trace

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	// Event is one line of a trace.
	Event interface{ name() string }

	// Control applies a control record.
	Control struct {
		Offset uint64 `json:"offset"`
		// Record is a record as written by record.EncodeJSON.
		Record json.RawMessage `json:"record"`
		// Config, if set, replaces the configuration of a publish record, so
		// that a trace can hold it as readable JSON.
		Config json.RawMessage `json:"config,omitempty"`
		Expect string          `json:"expect"`
	}

	// Snapshot encodes the control state as a snapshot and restores it.
	Snapshot struct{}

	// Restore replaces the control state by the one in a snapshot. The
	// recording of a daemon begins with it.
	Restore struct {
		State json.RawMessage `json:"state"`
	}

	// State compares the control state with expected values. Absent fields
	// are not compared.
	State struct {
		Version *uint64 `json:"version,omitempty"`
		// Owners maps upstreams to "<daemon>@<epoch>", with the suffix
		// ",resigned" once the owner has acknowledged its loss.
		Owners   map[string]string `json:"owners,omitempty"`
		Replicas map[string]int    `json:"replicas,omitempty"`
		// Reserved maps upstreams to their reserved memory in bytes.
		Reserved map[string]int64 `json:"reserved-bytes,omitempty"`
		// FormerOwners maps upstreams to the number of former owners that
		// have not acknowledged their loss.
		FormerOwners map[string]int `json:"formers,omitempty"`
	}

	// Reader starts a reader of a claims stream. The fields are the arguments
	// of claims.New.
	Reader struct {
		Stream   string `json:"stream"`
		WindowMS int64  `json:"window-ms"`
		AheadMS  int64  `json:"ahead-ms"`
		Oldest   uint64 `json:"oldest"`
		End      uint64 `json:"end"`
	}

	// Claims applies the claims records in one log record to the reader of a
	// stream.
	Claims struct {
		Stream string `json:"stream"`
		Offset uint64 `json:"offset"`
		TimeMS int64  `json:"time-ms"`
		// Records is a batch as written by claims.Encode.
		Records json.RawMessage `json:"records"`
		Expect  []string        `json:"expect"`
	}

	// Query queries the reader of a stream for a key.
	Query struct {
		Stream string        `json:"stream"`
		Key    claims.Key    `json:"key"`
		Digest claims.Digest `json:"digest"`
		ID     *claims.ID    `json:"id,omitempty"`
		// Expect is free, granted, finished, unknown, expired, mismatch, or
		// mismatch-final.
		Expect string `json:"expect"`
		// Status is the HTTP status of the stored response if Expect is
		// finished.
		Status int `json:"status,omitempty"`
	}

	// FormatError reports a line that is not a valid event.
	FormatError struct {
		Line  int
		Cause error
	}

	// unknownEventError is the name of an event that does not exist.
	unknownEventError string
)

var (
	_ Event = Control{}
	_ Event = Snapshot{}
	_ Event = Restore{}
	_ Event = State{}
	_ Event = Reader{}
	_ Event = Claims{}
	_ Event = Query{}
)

func (Control) name() string  { return "control" }
func (Snapshot) name() string { return "snapshot" }
func (Restore) name() string  { return "restore" }
func (State) name() string    { return "state" }
func (Reader) name() string   { return "reader" }
func (Claims) name() string   { return "claims" }
func (Query) name() string    { return "query" }

// Error returns the line and the cause.
func (e *FormatError) Error() string { return fmt.Sprintf("trace: line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// Error returns a message with the name of the event.
func (e unknownEventError) Error() string { return fmt.Sprintf("unknown event %q", string(e)) }

// Encode returns e as one line without the newline.
func Encode(e Event) ([]byte, error) {
	b, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	line := fmt.Appendf(nil, `{"event":%q`, e.name())
	if len(b) > len("{}") {
		line = append(line, ',')
	}
	return append(line, b[1:]...), nil
}

// Decode returns the event in one line. Unknown keys are an error, because an
// expectation under a misspelt key would not be compared.
func Decode(line []byte) (Event, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, err
	}
	var name string
	if err := json.Unmarshal(fields["event"], &name); err != nil {
		return nil, unknownEventError(fields["event"])
	}
	delete(fields, "event")
	rest, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	switch name {
	case "control":
		return decode[Control](rest)
	case "snapshot":
		return decode[Snapshot](rest)
	case "restore":
		return decode[Restore](rest)
	case "state":
		return decode[State](rest)
	case "reader":
		return decode[Reader](rest)
	case "claims":
		return decode[Claims](rest)
	case "query":
		return decode[Query](rest)
	default:
		return nil, unknownEventError(name)
	}
}

func decode[E Event](b []byte) (Event, error) {
	var e E
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return nil, err
	}
	return e, nil
}
