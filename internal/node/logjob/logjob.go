// Package logjob lets the holder call the log through another daemon while it
// can't reach the log itself.
//
// The holder's Dispatcher offers the call as a job. The next daemon that requests
// changes gets the job with the reply, makes the call and returns the result. The
// condition of an append protects against a job that runs twice or late.
package logjob

import (
	"context"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/node/feed"
)

type (
	// Topic is a topic of the log.
	Topic interface {
		// Newest returns the newest record of each key.
		Newest(ctx context.Context) (*feed.Page, error)
		// Append writes a record if the topic ends at the offset of at, in
		// whichever era. ok is false if it ends at another offset. end is the
		// topic's end after the call, in the era that the answer names.
		Append(ctx context.Context, at logpos.Position, key string, value []byte) (end logpos.Position, ok bool, err error)
	}

	// Job is one call to the log.
	Job struct {
		ID uint64
		// Append is set for an append; otherwise the job reads the newest
		// records.
		Append bool
		At     logpos.Position
		Key    string
		Value  []byte
	}

	// Result is the outcome of a Job. Problem describes the error, empty if the
	// log answered. End is the topic's end after an append; daemons that don't know
	// eras leave it at 0.
	Result struct {
		ID      uint64
		OK      bool
		End     logpos.Position
		Page    *feed.Page
		Problem string
	}

	// Dispatcher is a Topic that makes its calls through other daemons while
	// the log can't be reached directly. It is safe for concurrent use.
	Dispatcher struct {
		topic Topic
		now   func() time.Time

		mu      sync.Mutex
		lastID  uint64
		waiting *Job
		// result receives the result of the job lastID, nil if none is
		// expected.
		result chan Result
		// directFailedAt is when the last direct call failed, zero if it
		// succeeded.
		directFailedAt time.Time
		// avoidUntil maps daemons whose jobs failed to the time until which
		// they get no other.
		avoidUntil map[string]time.Time
		// takenBy is the daemon that has taken the job, empty if none has, and taken
		// is closed then.
		takenBy string
		taken   chan struct{}
		// reached is closed when the log answers this daemon while no other one has
		// taken the job.
		reached chan struct{}
		// wake is called when a job waits for a daemon.
		wake func()
	}

	// FailedError states that a call failed both directly and through another
	// daemon. Peer describes the latter failure.
	FailedError struct {
		Direct error
		Peer   string
	}
)

const (
	// jobTimeout bounds a job: two calls between daemons and one to the log. takeTimeout
	// bounds the time until a daemon takes it: those that wait for changes are told at
	// once, the others ask each 0.1 s.
	jobTimeout  = 700 * time.Millisecond
	takeTimeout = 200 * time.Millisecond
	// directRetryDelay is how long after a failed direct call a job is tried
	// before the direct call.
	directRetryDelay = 3 * time.Second
	// avoidDuration is how long a daemon whose job failed gets no other.
	avoidDuration = 2 * time.Second
)

var _ Topic = (*Dispatcher)(nil)

// Error implements error.
func (e *FailedError) Error() string {
	s := "log: call through another daemon failed: " + e.Peer
	if e.Direct != nil {
		s = e.Direct.Error() + "; " + s
	}
	return s
}

// New returns a Dispatcher for topic. wake is called when a job waits for a
// daemon.
func New(topic Topic, wake func(), now func() time.Time) *Dispatcher {
	return &Dispatcher{topic: topic, wake: wake, now: now, avoidUntil: map[string]time.Time{}}
}

// Newest returns the newest records.
func (d *Dispatcher) Newest(ctx context.Context) (*feed.Page, error) {
	var p *feed.Page
	err := d.call(ctx, Job{}, func() (err error) {
		p, err = d.topic.Newest(ctx)
		return err
	}, func(r Result) { p = r.Page })
	return p, err
}

// Append writes a record if the topic ends at the offset of at.
func (d *Dispatcher) Append(ctx context.Context, at logpos.Position, key string, value []byte) (end logpos.Position, ok bool, err error) {
	err = d.call(ctx, Job{Append: true, At: at, Key: key, Value: value}, func() (err error) {
		end, ok, err = d.topic.Append(ctx, at, key, value)
		return err
	}, func(r Result) { end, ok = r.End, r.OK })
	return end, ok, err
}

// call makes the call directly, or as a job if that fails or has failed lately.
// After a recent failure the job is first and the direct call is the fallback.
func (d *Dispatcher) call(ctx context.Context, j Job, direct func() error, use func(Result)) error {
	d.mu.Lock()
	jobFirst := !d.directFailedAt.IsZero() && d.now().Sub(d.directFailedAt) < directRetryDelay
	d.mu.Unlock()
	var cause error
	if !jobFirst {
		if cause = direct(); cause == nil {
			d.setDirectFailure(time.Time{})
			return nil
		}
		d.setDirectFailure(d.now())
	}
	r, ok := d.runJob(ctx, j)
	if ok {
		use(r)
		return nil
	}
	if jobFirst {
		if cause = direct(); cause == nil {
			d.setDirectFailure(time.Time{})
			return nil
		}
	}
	return &FailedError{Direct: cause, Peer: r.Problem}
}

func (d *Dispatcher) setDirectFailure(failed time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directFailedAt = failed
}

// runJob offers a job to the other daemons and waits for its result.
func (d *Dispatcher) runJob(ctx context.Context, j Job) (Result, bool) {
	d.mu.Lock()
	d.lastID++
	j.ID = d.lastID
	d.waiting, d.takenBy = &j, ""
	result, taken, reached := make(chan Result, 1), make(chan struct{}), make(chan struct{})
	d.result, d.taken, d.reached = result, taken, reached
	d.mu.Unlock()
	d.wake()
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	r := Result{Problem: "no daemon returned a result in time"}
	untaken := time.NewTimer(takeTimeout)
	defer untaken.Stop()
	select {
	case <-taken:
		select {
		case r = <-result:
		case <-ctx.Done():
		}
	case <-untaken.C:
		r.Problem = "no daemon took the job in time"
	case <-reached:
		r.Problem = "the log answers this daemon"
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting, d.result, d.taken, d.reached = nil, nil, nil, nil
	if r.Problem != "" && d.takenBy != "" {
		d.avoidUntil[d.takenBy] = d.now().Add(avoidDuration)
	}
	event.LogJobDone.Log("append", j.Append, "at", j.At, "by", d.takenBy, "ok", r.OK, "problem", r.Problem)
	return r, r.Problem == ""
}

// Reached records that the log has answered a call of this daemon to another topic, so
// that the next call is made directly, and that of a job which nobody has taken.
func (d *Dispatcher) Reached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directFailedAt = time.Time{}
	if d.reached != nil {
		close(d.reached)
		d.reached, d.waiting = nil, nil
	}
}

// Take returns the job for a daemon, nil if there is none.
func (d *Dispatcher) Take(host string) *Job {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil || d.now().Before(d.avoidUntil[host]) {
		return nil
	}
	j := d.waiting
	d.waiting, d.takenBy = nil, host
	if d.taken != nil {
		close(d.taken)
		d.taken, d.reached = nil, nil
	}
	return j
}

// Done passes the result of a job to the waiting call. Results of previous jobs
// are ignored.
func (d *Dispatcher) Done(r Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.result == nil || r.ID != d.lastID {
		return
	}
	select {
	case d.result <- r:
	default:
	}
}

// Do makes the call of a job.
func Do(ctx context.Context, topic Topic, j *Job) Result {
	r := Result{ID: j.ID}
	var err error
	if j.Append {
		r.End, r.OK, err = topic.Append(ctx, j.At, j.Key, j.Value)
	} else {
		r.Page, err = topic.Newest(ctx)
	}
	if err != nil {
		r.Problem = err.Error()
	}
	return r
}
