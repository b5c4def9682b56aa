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
	// publishResult is the result of a publication.
	publishResult struct {
		Publication string `json:"publication"`
		// State is accepted, refused or unknown.
		State string `json:"state"`
		// Offset is that of the record in the control stream, 0 if there is
		// none.
		Offset uint64 `json:"offset,omitempty"`
		// Version and Operator belong to the configuration in force after the
		// record, or at the refusal if there is no record.
		Version  uint64 `json:"version"`
		Operator string `json:"operator,omitempty"`
		Reason   string `json:"reason,omitempty"`
		Detail   string `json:"detail,omitempty"`
		// Latest and LatestOperator belong to the configuration in force now,
		// if its version differs from Version.
		Latest         uint64 `json:"latest,omitempty"`
		LatestOperator string `json:"latest-operator,omitempty"`
	}

	// publisher appends one publish record and finds out its outcome.
	publisher struct {
		log    controlLog
		record record.Publish
		// mayBeAppended is set once the record may be in the stream, and from
		// the start if there was an earlier attempt.
		mayBeAppended bool
		// gaps is the count of the controlReader before the first append. If
		// the count grows afterwards, the record may have been dropped.
		gaps int
		// pause waits between attempts. It returns the context's error.
		pause func(ctx context.Context, d time.Duration) error
	}
)

// States of a publication.
const (
	stateAccepted = "accepted"
	stateRefused  = "refused"
	stateUnknown  = "unknown"

	// reasonNotAppended is the reason of a publication of which no record was
	// appended.
	reasonNotAppended = "not-appended"
)

// The delay between two attempts doubles from the minimum to the maximum. It is
// short because an operator waits, but there are at most 5 attempts a second
// because the log service accepts only several hundred appends a second from all
// daemons.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

func (p *publishResult) writeText(w io.Writer) {
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

// publishCommand checks the flags and the configuration, and publishes the
// configuration.
func publishCommand(ctx context.Context, o options, env environment, dial func(base string) controlLog) (commandResult, error) {
	if len(o.configs) != 1 || o.replaces == "" || o.operator == "" || o.logAddress == "" {
		return nil, &usageError{detail: "publish needs --config, --replaces, --operator and --log"}
	}
	replaces, err := strconv.ParseUint(o.replaces, 10, 64)
	if err != nil {
		return nil, &usageError{detail: fmt.Sprintf("--replaces %q is not a version number", o.replaces)}
	}
	base, err := setup.BaseURL(o.logAddress)
	if err != nil {
		return nil, &usageError{detail: "--log: " + err.Error()}
	}
	_, text, problems := readConfig(o.configs[0], env.in)
	if len(problems) > 0 {
		return &checkResult{Problems: problems}, &refusedError{detail: "the configuration is not valid; nothing was published"}
	}
	// White space is removed, because daemons store the text and every reader of
	// the log fetches it.
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
		log: dial(base), mayBeAppended: o.publication != "", pause: sleep,
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

// publish appends the record unless it would be refused or is already in the
// stream, and retries failed calls until ctx ends. Retrying an append is safe:
// both records replace the same version, so at most one of them is accepted.
func (p *publisher) publish(ctx context.Context) (*publishResult, error) {
	control := newControlReader(p.log)
	delay := minRetryDelay
	for {
		result, err := p.attempt(ctx, control)
		if result != nil || err != nil && !retryable(err) {
			return p.resultOrDefault(result), err
		}
		if pauseErr := p.pause(ctx, delay); pauseErr != nil {
			if err == nil {
				err = pauseErr
			}
			return p.resultOrDefault(nil), &unreachableError{service: "the log service", cause: err}
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// resultOrDefault returns result, or if it is nil one that states whether the
// record may be in the stream.
func (p *publisher) resultOrDefault(result *publishResult) *publishResult {
	if result != nil {
		return result
	}
	if p.mayBeAppended {
		return &publishResult{Publication: p.record.Publication, State: stateUnknown}
	}
	return &publishResult{Publication: p.record.Publication, State: stateRefused, Reason: reasonNotAppended, Detail: "no record was appended"}
}

// attempt reads the stream, and appends the record if the stream lacks it. It
// returns nil without an error if the record was appended but not yet read.
func (p *publisher) attempt(ctx context.Context, control *controlReader) (*publishResult, error) {
	if err := control.catchUp(ctx); err != nil {
		return nil, err
	}
	if found, ok := control.publications[p.record.Publication]; ok {
		return p.resultOf(control, found), nil
	}
	if !p.mayBeAppended {
		p.gaps = control.gaps
	}
	if control.state.Version() != p.record.Replaces {
		if control.gaps > p.gaps {
			r := p.staleResult(control, "its record may have been dropped from the log")
			r.State, r.Reason = stateUnknown, ""
			return r, nil
		}
		if p.mayBeAppended {
			// An append that is still in progress can't be accepted any more,
			// because a replaced version never comes into force again.
			return p.staleResult(control, "an earlier append, if it takes effect, is refused as well"), nil
		}
		return p.staleResult(control, "nothing was appended"), nil
	}
	b, err := record.Encode(p.record)
	if err != nil {
		return nil, err
	}
	_, _, err = p.append(ctx, b)
	var streamErr *logsvc.Error
	if err == nil || !errors.As(err, &streamErr) || streamErr.Ambiguous {
		p.mayBeAppended = true
	}
	if err != nil {
		return nil, err
	}
	if err := control.catchUp(ctx); err != nil {
		return nil, err
	}
	if found, ok := control.publications[p.record.Publication]; ok {
		return p.resultOf(control, found), nil
	}
	return nil, nil
}

func (p *publisher) append(ctx context.Context, b []byte) (uint64, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.log.Append(ctx, controlStream, b)
}

// staleResult returns the refusal of a record that does not replace the version
// in force.
func (p *publisher) staleResult(control *controlReader, remark string) *publishResult {
	return &publishResult{
		Publication: p.record.Publication, State: stateRefused, Reason: string(ctrl.StaleVersion),
		Version: control.state.Version(), Operator: control.state.Operator(),
		Detail: fmt.Sprintf("it replaces version %d, but version %d by %s is in force; %s", p.record.Replaces, control.state.Version(), orNobody(control.state.Operator()), remark),
	}
}

func (p *publisher) resultOf(control *controlReader, found publication) *publishResult {
	r := &publishResult{
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
	if v := control.state.Version(); v != found.version {
		r.Latest, r.LatestOperator = v, control.state.Operator()
	}
	return r
}

// retryable reports whether a later attempt may succeed.
func retryable(err error) bool {
	var streamErr *logsvc.Error
	return errors.As(err, &streamErr)
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
