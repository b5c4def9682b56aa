package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/core/claims"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
)

// maxLineBytes bounds a line. The longest are publish records, which hold a
// configuration.
const maxLineBytes = 4 * record.MaxBytes

type (
	// Difference is an outcome that differs from the expected one.
	Difference struct {
		Line int
		// What names the value that was compared.
		What      string
		Want, Got string
	}

	// replayer holds the state of the core during a replay: the control state,
	// and the state of the reader of each claims stream.
	replayer struct {
		control *ctrl.State
		readers map[string]*claims.State
	}
)

// Error returns the line, the value compared and both outcomes.
func (d *Difference) Error() string {
	return fmt.Sprintf("trace: line %d: %s: got %s, want %s", d.Line, d.What, d.Got, d.Want)
}

// Replay applies the events of the trace in r to the core and writes a summary to
// w. It returns the first difference as a *Difference, an invalid line as a
// *FormatError, and errors of r and w unchanged.
func Replay(r io.Reader, w io.Writer) error {
	p := &replayer{control: ctrl.New(), readers: map[string]*claims.State{}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	line, counts := 0, map[string]int{}
	for s.Scan() {
		line++
		text := bytes.TrimSpace(s.Bytes())
		if len(text) == 0 || text[0] == '#' {
			continue
		}
		e, err := Decode(text)
		if err != nil {
			return &FormatError{Line: line, Cause: err}
		}
		diff, err := p.apply(e)
		if err != nil {
			return &FormatError{Line: line, Cause: err}
		}
		if diff != nil {
			diff.Line = line
			return diff
		}
		counts[e.name()]++
	}
	if err := s.Err(); err != nil {
		return err
	}
	if len(counts) == 0 {
		// An empty file would otherwise be reported as a trace without a
		// difference.
		return &FormatError{Line: line, Cause: unknownEventError("")}
	}
	total := 0
	for _, e := range []Event{Control{}, Restore{}, Snapshot{}, State{}, Reader{}, Claims{}, Query{}} {
		n := counts[e.name()]
		total += n
		if _, err := fmt.Fprintf(w, "%-8s %d\n", e.name(), n); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d events, no difference\n", total)
	return err
}

// apply applies e, or compares what it expects.
func (p *replayer) apply(e Event) (*Difference, error) {
	switch e := e.(type) {
	case Control:
		return p.applyControl(e)
	case Snapshot:
		b, err := p.control.Snapshot()
		if err != nil {
			return nil, err
		}
		restored, err := ctrl.Restore(b)
		if err != nil {
			return nil, err
		}
		p.control = restored
		return nil, nil
	case Restore:
		restored, err := ctrl.Restore(e.State)
		if err != nil {
			return nil, err
		}
		p.control = restored
		return nil, nil
	case State:
		return p.compareState(e), nil
	case Reader:
		l := claims.Limits{Window: time.Duration(e.WindowMS) * time.Millisecond, Ahead: time.Duration(e.AheadMS) * time.Millisecond}
		p.readers[e.Stream] = claims.New(l, e.Oldest, e.End)
		return nil, nil
	case Claims:
		return p.applyClaims(e)
	case Query:
		return p.compareQuery(e)
	}
	return nil, unknownEventError(e.name())
}

func (p *replayer) applyControl(e Control) (*Difference, error) {
	r, err := record.DecodeJSON(e.Record)
	if err != nil {
		return nil, err
	}
	if pub, ok := r.(record.Publish); ok && len(e.Config) > 0 {
		pub.Config = e.Config
		r = pub
	}
	out := p.control.Apply(e.Offset, r)
	return compare(fmt.Sprintf("outcome of %s at offset %d (%s)", record.TypeOf(r), e.Offset, out.Detail), e.Expect, outcomeName(string(out.Reason))), nil
}

// compareState compares the fields of e that are set, in a fixed order.
func (p *replayer) compareState(e State) *Difference {
	if e.Version != nil {
		if d := compare("current version", fmt.Sprint(*e.Version), fmt.Sprint(p.control.Version())); d != nil {
			return d
		}
	}
	owner := func(u string) string {
		o, _ := p.control.Owner(u)
		s := fmt.Sprintf("%s@%d", o.Daemon, o.Epoch)
		if o.Resigned {
			s += ",resigned"
		}
		return s
	}
	if d := compareMap("owner of", e.Owners, owner); d != nil {
		return d
	}
	if d := compareMap("number of replicas of", e.Replicas, p.control.Replicas); d != nil {
		return d
	}
	if d := compareMap("reserved bytes of", e.Reserved, p.control.ReservedBytes); d != nil {
		return d
	}
	return compareMap("number of former owners of", e.FormerOwners, func(u string) int { return len(p.control.FormerOwners(u)) })
}

func (p *replayer) applyClaims(e Claims) (*Difference, error) {
	state, err := p.reader(e.Stream)
	if err != nil {
		return nil, err
	}
	rs, err := claims.Decode(nil, e.Records)
	if err != nil {
		return nil, err
	}
	var got []string
	for _, o := range state.Apply(nil, e.Offset, e.TimeMS, rs...) {
		got = append(got, outcomeName(string(o.Reason)))
	}
	return compare(fmt.Sprintf("outcome at offset %d of %s", e.Offset, e.Stream), strings.Join(e.Expect, ", "), strings.Join(got, ", ")), nil
}

func (p *replayer) compareQuery(e Query) (*Difference, error) {
	state, err := p.reader(e.Stream)
	if err != nil {
		return nil, err
	}
	var id claims.ID
	if e.ID != nil {
		id = *e.ID
	}
	got, status := "", 0
	switch r := state.Query(e.Key, e.Digest, id).(type) {
	case claims.Free:
		got = "free"
	case claims.Granted:
		got = "granted"
	case claims.Finished:
		got, status = "finished", r.Status
	case claims.Unknown:
		got = "unknown"
	case claims.Expired:
		got = "expired"
	case claims.Mismatch:
		got = "mismatch"
		if r.Final {
			got = "mismatch-final"
		}
	}
	if d := compare("result for key "+e.Key.String(), e.Expect, got); d != nil {
		return d, nil
	}
	return compare("stored status of key "+e.Key.String(), fmt.Sprint(e.Status), fmt.Sprint(status)), nil
}
