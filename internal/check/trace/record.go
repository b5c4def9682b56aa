package trace

import (
	"io"

	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
)

// Record writes the control records that a daemon has applied as a trace: the
// snapshot base of the state before them, then each record with its outcome.
// Replay of the trace compares these outcomes with those of the current code.
func Record(w io.Writer, base []byte, outcomes []ctrl.Outcome) error {
	if err := writeEvent(w, Restore{State: base}); err != nil {
		return err
	}
	for _, o := range outcomes {
		text, err := record.EncodeJSON(o.Record)
		if err != nil {
			return err
		}
		if err := writeEvent(w, Control{Offset: o.Offset, Record: text, Expect: outcomeName(string(o.Reason))}); err != nil {
			return err
		}
	}
	return nil
}

func writeEvent(w io.Writer, e Event) error {
	line, err := Encode(e)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}
