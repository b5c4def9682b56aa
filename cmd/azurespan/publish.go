package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

type (
	// published is the result of a publication.
	published struct {
		Publication string `json:"publication"`
		// State is accepted, refused or unknown.
		State string `json:"state"`
		// Offset of the record in the control stream; 0 if there is none.
		Offset uint64 `json:"offset,omitempty"`
		// Version and Operator are the version in force after the record, or
		// when the publication was refused without a record.
		Version  uint64 `json:"version"`
		Operator string `json:"operator,omitempty"`
		Reason   string `json:"reason,omitempty"`
		Detail   string `json:"detail,omitempty"`
		// Latest is the version in force now, if it is another one.
		Latest         uint64 `json:"latest,omitempty"`
		LatestOperator string `json:"latest-operator,omitempty"`
	}

	// publisher appends one publish record and finds out what became of it.
	publisher struct {
		log    controlLog
		record record.Publish
		// tried is set once a record may be in the stream, from the start if
		// there was an earlier attempt.
		tried bool
		// gaps is the folder's count before the first append. If it grows
		// afterwards, the record may be among the dropped ones.
		gaps int
		// pause waits between attempts; it returns the context's error.
		pause func(ctx context.Context, d time.Duration) error
	}
)

// States of a publication.
const (
	stateAccepted = "accepted"
	stateRefused  = "refused"
	stateUnknown  = "unknown"

	// reasonNotAppended stands for an attempt that did not reach the log.
	reasonNotAppended = "not-appended"
)

// Pauses between two attempts double from the first to the last. They are
// short because an operator waits, and at most 5 a second because the log
// service accepts only several hundred appends a second from all daemons.
const (
	firstPause = 200 * time.Millisecond
	lastPause  = 3 * time.Second
)

func (p *published) text(w io.Writer) {
	switch p.State {
	case stateAccepted:
		fmt.Fprintf(w, "publication %s is accepted as version %d\n", p.Publication, p.Version)
	case stateRefused:
		if p.Reason == reasonNotAppended {
			fmt.Fprintf(w, "publication %s: %s\n", p.Publication, p.Detail)
			return
		}
		fmt.Fprintf(w, "publication %s is refused: %s: %s\nversion %d by %s is in force\n", p.Publication, p.Reason, p.Detail, p.Version, orNobody(p.Operator))
	default:
		fmt.Fprintf(w, "the outcome of publication %s is not known\n", p.Publication)
		if p.Detail != "" {
			fmt.Fprintln(w, p.Detail)
			return
		}
		fmt.Fprintf(w, "run the command again with --publication %s\n", p.Publication)
	}
	if p.Latest != 0 {
		fmt.Fprintf(w, "version %d by %s is in force now\n", p.Latest, orNobody(p.LatestOperator))
	}
}

func orNobody(operator string) string {
	if operator == "" {
		return "nobody"
	}
	return operator
}

// publishCommand checks the command line and the configuration, and publishes.
func publishCommand(ctx context.Context, o options, env environment, dial func(base string) controlLog) (outcome, error) {
	if len(o.configs) != 1 || o.replaces == "" || o.operator == "" || o.log == "" {
		return nil, &usageError{detail: "publish needs --config, --replaces, --operator and --log"}
	}
	replaces, err := strconv.ParseUint(o.replaces, 10, 64)
	if err != nil {
		return nil, &usageError{detail: fmt.Sprintf("--replaces %q is not a version number", o.replaces)}
	}
	base, err := setup.BaseURL(o.log)
	if err != nil {
		return nil, &usageError{detail: "--log: " + err.Error()}
	}
	_, text, problems := readConfig(o.configs[0], env.in)
	if len(problems) > 0 {
		return &checked{Problems: problems}, &refusedError{detail: "the configuration is not valid; nothing was published"}
	}
	// Daemons keep and log readers fetch the text, so white space is dropped.
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return nil, err
	}
	id := o.publication
	if id == "" {
		u, err := ulid.New(ulid.Timestamp(env.now()), env.entropy)
		if err != nil {
			return nil, err
		}
		id = u.String()
	} else if _, err := ulid.ParseStrict(id); err != nil {
		return nil, &usageError{detail: fmt.Sprintf("--publication %q is not an identifier that publish printed", id)}
	}
	p := &publisher{
		log: dial(base), tried: o.publication != "", pause: sleep,
		record: record.Publish{Publication: id, Operator: o.operator, Replaces: replaces, Config: compact.Bytes()},
	}
	result, err := p.publish(ctx)
	switch {
	case err != nil:
	case result.State == stateRefused:
		err = &refusedError{detail: "the publication is refused"}
	case result.State == stateUnknown:
		err = &refusedError{detail: "the log no longer shows what became of the publication"}
	}
	return result, err
}

// publish appends the record unless the fold would refuse it or it is in the
// stream already, and repeats failed calls until ctx ends. Repeating an append
// is safe: both records replace the same version, so the fold accepts at most
// one of them.
func (p *publisher) publish(ctx context.Context) (*published, error) {
	f := newFolder(p.log)
	pause := firstPause
	for {
		result, err := p.attempt(ctx, f)
		if result != nil || err != nil && !retryable(err) {
			return p.unless(result), err
		}
		if perr := p.pause(ctx, pause); perr != nil {
			if err == nil {
				err = perr
			}
			return p.unless(nil), &unreachableError{service: "the log service", cause: err}
		}
		pause = min(2*pause, lastPause)
	}
}

// unless returns result, or one that says whether a record may be in the
// stream.
func (p *publisher) unless(result *published) *published {
	if result != nil {
		return result
	}
	if p.tried {
		return &published{Publication: p.record.Publication, State: stateUnknown}
	}
	return &published{Publication: p.record.Publication, State: stateRefused, Reason: reasonNotAppended, Detail: "no record was appended"}
}

// attempt reads the stream, and appends the record if it is not there. It
// returns nil without an error if the record was appended but not yet read.
func (p *publisher) attempt(ctx context.Context, f *folder) (*published, error) {
	if err := f.catchUp(ctx); err != nil {
		return nil, err
	}
	if found, ok := f.found[p.record.Publication]; ok {
		return p.result(f, found), nil
	}
	if !p.tried {
		p.gaps = f.gaps
	}
	if f.ledger.Version() != p.record.Replaces {
		if f.gaps > p.gaps {
			r := p.stale(f, "its record may have been dropped from the log")
			r.State, r.Reason = stateUnknown, ""
			return r, nil
		}
		if p.tried {
			// An append that is still under way can't be accepted any more,
			// because versions never return.
			return p.stale(f, "an earlier append, if it takes effect, is refused as well"), nil
		}
		return p.stale(f, "nothing was appended"), nil
	}
	b, err := record.Encode(p.record)
	if err != nil {
		return nil, err
	}
	_, _, err = p.append(ctx, b)
	var failed *logsvc.Error
	if err == nil || !errors.As(err, &failed) || failed.Ambiguous {
		p.tried = true
	}
	if err != nil {
		return nil, err
	}
	if err := f.catchUp(ctx); err != nil {
		return nil, err
	}
	if found, ok := f.found[p.record.Publication]; ok {
		return p.result(f, found), nil
	}
	return nil, nil
}

func (p *publisher) append(ctx context.Context, b []byte) (uint64, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.log.Append(ctx, controlStream, b)
}

func (p *publisher) stale(f *folder, remark string) *published {
	return &published{
		Publication: p.record.Publication, State: stateRefused, Reason: string(ctrl.StaleVersion),
		Version: f.ledger.Version(), Operator: f.ledger.Operator(),
		Detail: fmt.Sprintf("it replaces version %d, but version %d by %s is in force; %s", p.record.Replaces, f.ledger.Version(), orNobody(f.ledger.Operator()), remark),
	}
}

func (p *publisher) result(f *folder, found publication) *published {
	r := &published{
		Publication: p.record.Publication, State: stateRefused, Offset: found.offset,
		Version: found.version, Operator: found.operator, Reason: string(found.reason), Detail: found.detail,
	}
	if found.accepted {
		r.State = stateAccepted
	}
	if !found.known {
		r.State = stateUnknown
		r.Detail = "only a snapshot covers the record"
	}
	if v := f.ledger.Version(); v != found.version {
		r.Latest, r.LatestOperator = v, f.ledger.Operator()
	}
	return r
}

// retryable reports whether a later attempt may succeed.
func retryable(err error) bool {
	var failed *logsvc.Error
	return errors.As(err, &failed)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
