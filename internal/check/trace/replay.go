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

// maxLine bounds a line in bytes; a publish record holds a configuration.
const maxLine = 4 * record.MaxBytes

type (
	// Difference is the first outcome that differs from the stated one.
	Difference struct {
		Line int
		// What was compared.
		What      string
		Want, Got string
	}

	// player holds the state of the core during a replay.
	player struct {
		ledger *ctrl.State
		folds  map[string]*claims.State
	}
)

// Error returns the line and both outcomes.
func (d *Difference) Error() string {
	return fmt.Sprintf("trace: line %d: %s is %s, stated is %s", d.Line, d.What, d.Got, d.Want)
}

// Replay feeds the trace in r to the core and writes a summary to w. It
// returns the first difference as a *Difference, a line that is not an event
// as a *FormatError, and errors of r and w as they are.
func Replay(r io.Reader, w io.Writer) error {
	p := &player{ledger: ctrl.New(), folds: map[string]*claims.State{}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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
		diff, err := p.play(e)
		if err != nil {
			return &FormatError{Line: line, Cause: err}
		}
		if diff != nil {
			diff.Line = line
			return diff
		}
		counts[e.event()]++
	}
	if err := s.Err(); err != nil {
		return err
	}
	if len(counts) == 0 {
		// An empty file would otherwise pass for a trace without a difference.
		return &FormatError{Line: line, Cause: unknownEvent("")}
	}
	total := 0
	for _, e := range []Event{Control{}, Restore{}, Snapshot{}, State{}, Reader{}, Claims{}, Query{}} {
		n := counts[e.event()]
		total += n
		if _, err := fmt.Fprintf(w, "%-8s %d\n", e.event(), n); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d events, no difference\n", total)
	return err
}

func (p *player) play(e Event) (*Difference, error) {
	switch e := e.(type) {
	case Control:
		return p.control(e)
	case Snapshot:
		b, err := p.ledger.Snapshot()
		if err != nil {
			return nil, err
		}
		restored, err := ctrl.Restore(b)
		if err != nil {
			return nil, err
		}
		p.ledger = restored
		return nil, nil
	case Restore:
		restored, err := ctrl.Restore(e.State)
		if err != nil {
			return nil, err
		}
		p.ledger = restored
		return nil, nil
	case State:
		return p.state(e), nil
	case Reader:
		l := claims.Limits{Window: time.Duration(e.WindowMS) * time.Millisecond, Ahead: time.Duration(e.AheadMS) * time.Millisecond}
		p.folds[e.Stream] = claims.New(l, e.Oldest, e.End)
		return nil, nil
	case Claims:
		return p.claims(e)
	case Query:
		return p.query(e)
	}
	return nil, unknownEvent(e.event())
}

func (p *player) control(e Control) (*Difference, error) {
	r, err := record.DecodeJSON(e.Record)
	if err != nil {
		return nil, err
	}
	if pub, ok := r.(record.Publish); ok && len(e.Config) > 0 {
		pub.Config = e.Config
		r = pub
	}
	out := p.ledger.Apply(e.Offset, r)
	return compare(fmt.Sprintf("the outcome of %s at offset %d (%s)", record.TypeOf(r), e.Offset, out.Detail), e.Expect, reason(string(out.Reason))), nil
}

// state compares what e states, in a fixed order.
func (p *player) state(e State) *Difference {
	if e.Version != nil {
		if d := compare("the version in force", fmt.Sprint(*e.Version), fmt.Sprint(p.ledger.Version())); d != nil {
			return d
		}
	}
	owner := func(u string) string {
		o, _ := p.ledger.Owner(u)
		s := fmt.Sprintf("%s@%d", o.Daemon, o.Epoch)
		if o.Resigned {
			s += ",resigned"
		}
		return s
	}
	if d := compareMap("the owner of", e.Owners, owner); d != nil {
		return d
	}
	if d := compareMap("the number of replicas of", e.Replicas, p.ledger.Replicas); d != nil {
		return d
	}
	if d := compareMap("the reserved memory of", e.Reserved, p.ledger.ReservedBytes); d != nil {
		return d
	}
	return compareMap("the number of former owners of", e.Formers, func(u string) int { return len(p.ledger.FormerOwners(u)) })
}

func (p *player) claims(e Claims) (*Difference, error) {
	f, err := p.fold(e.Stream)
	if err != nil {
		return nil, err
	}
	rs, err := claims.Decode(nil, e.Records)
	if err != nil {
		return nil, err
	}
	var got []string
	for _, o := range f.Apply(nil, e.Offset, e.TimeMS, rs...) {
		got = append(got, reason(string(o.Reason)))
	}
	return compare(fmt.Sprintf("the outcome at offset %d of %s", e.Offset, e.Stream), strings.Join(e.Expect, ", "), strings.Join(got, ", ")), nil
}

func (p *player) query(e Query) (*Difference, error) {
	f, err := p.fold(e.Stream)
	if err != nil {
		return nil, err
	}
	var id claims.ID
	if e.ID != nil {
		id = *e.ID
	}
	got, status := "", 0
	switch r := f.Query(e.Key, e.Digest, id).(type) {
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
	if d := compare("the answer about key "+e.Key.String(), e.Expect, got); d != nil {
		return d, nil
	}
	return compare("the stored status of key "+e.Key.String(), fmt.Sprint(e.Status), fmt.Sprint(status)), nil
}
