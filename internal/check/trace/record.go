package trace

import (
	"io"

	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
)

// Record writes what a daemon has applied as a trace: the state before it, and
// each record with its outcome. Replay of the trace compares the outcomes with
// those of the present code.
func Record(w io.Writer, base []byte, outcomes []ctrl.Outcome) error {
	if err := write(w, Restore{State: base}); err != nil {
		return err
	}
	for _, o := range outcomes {
		text, err := record.EncodeJSON(o.Record)
		if err != nil {
			return err
		}
		if err := write(w, Control{Offset: o.Offset, Record: text, Expect: reason(string(o.Reason))}); err != nil {
			return err
		}
	}
	return nil
}

func write(w io.Writer, e Event) error {
	line, err := Encode(e)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}
