package trace

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	// Event is one line of a trace.
	Event interface{ event() string }

	// Control applies a control record.
	Control struct {
		Offset uint64 `json:"offset"`
		// Record is a record as record.Text writes it.
		Record json.RawMessage `json:"record"`
		// Config replaces the configuration of a publish record, so that it
		// can be read in the trace.
		Config json.RawMessage `json:"config,omitempty"`
		Expect string          `json:"expect"`
	}

	// Snapshot replaces the control state by its restored snapshot.
	Snapshot struct{}

	// Restore replaces the control state by the state of a ledger's snapshot,
	// with which the recording of a daemon begins.
	Restore struct {
		State json.RawMessage `json:"state"`
	}

	// State compares the control state; fields that are absent are not
	// compared.
	State struct {
		Version *uint64 `json:"version,omitempty"`
		// Owners maps upstreams to "<daemon>@<epoch>", followed by
		// ",resigned" after an acknowledgement.
		Owners   map[string]string `json:"owners,omitempty"`
		Replicas map[string]int    `json:"replicas,omitempty"`
		// Reserved maps upstreams to bytes.
		Reserved map[string]int64 `json:"reserved-bytes,omitempty"`
		// Formers maps upstreams to the number of former owners that have
		// not acknowledged.
		Formers map[string]int `json:"formers,omitempty"`
	}

	// Reader starts a reader of a claims stream (see claims.New).
	Reader struct {
		Stream   string `json:"stream"`
		WindowMS int64  `json:"window-ms"`
		AheadMS  int64  `json:"ahead-ms"`
		Oldest   uint64 `json:"oldest"`
		End      uint64 `json:"end"`
	}

	// Claims applies the records of one log record to a stream's reader.
	Claims struct {
		Stream string `json:"stream"`
		Offset uint64 `json:"offset"`
		TimeMS int64  `json:"time-ms"`
		// Records is a batch as claims.Encode writes it.
		Records json.RawMessage `json:"records"`
		Expect  []string        `json:"expect"`
	}

	// Query asks a stream's reader about a key.
	Query struct {
		Stream string        `json:"stream"`
		Key    claims.Key    `json:"key"`
		Digest claims.Digest `json:"digest"`
		ID     *claims.ID    `json:"id,omitempty"`
		// Expect is free, granted, finished, unknown, expired, mismatch, or
		// mismatch-final.
		Expect string `json:"expect"`
		// Status is that of the stored answer of a finished claim.
		Status int `json:"status,omitempty"`
	}

	// FormatError reports a line that is not an event.
	FormatError struct {
		Line  int
		Cause error
	}

	unknownEvent string
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

func (Control) event() string  { return "control" }
func (Snapshot) event() string { return "snapshot" }
func (Restore) event() string  { return "restore" }
func (State) event() string    { return "state" }
func (Reader) event() string   { return "reader" }
func (Claims) event() string   { return "claims" }
func (Query) event() string    { return "query" }

// Error returns the line and the cause.
func (e *FormatError) Error() string { return fmt.Sprintf("trace: line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// Error names the event.
func (e unknownEvent) Error() string { return fmt.Sprintf("unknown event %q", string(e)) }

// Encode returns e as one line without its end.
func Encode(e Event) ([]byte, error) {
	b, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	head := fmt.Appendf(nil, `{"event":%q`, e.event())
	if len(b) > 2 {
		head = append(head, ',')
	}
	return append(head, b[1:]...), nil
}

// Decode returns the event in one line. Unknown keys are an error, because a
// misspelt outcome would not be compared.
func Decode(line []byte) (Event, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, err
	}
	var name string
	if err := json.Unmarshal(fields["event"], &name); err != nil {
		return nil, unknownEvent(fields["event"])
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
		return nil, unknownEvent(name)
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
