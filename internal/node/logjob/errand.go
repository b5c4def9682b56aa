// Package logjob lets the holder of the right to order loads reach the log
// through another daemon while it is cut off from the log itself.
//
// The holder puts a job on its Desk, a daemon that asks for changes takes it,
// makes the call and brings the result. The condition of an append guards
// against a job that is carried out twice or late.
package logjob

import (
	"context"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/node/feed"
)

type (
	// Topic is a topic of the log.
	Topic interface {
		Newest(ctx context.Context) (*feed.Page, error)
		Append(ctx context.Context, at int64, key string, value []byte) (ok bool, err error)
	}

	// Job is one call to the log.
	Job struct {
		ID uint64
		// Append tells an append from a read of the newest records.
		Append bool
		At     int64
		Key    string
		Value  []byte
	}

	// Result is the outcome of a Job. Problem is empty if the log answered.
	Result struct {
		ID      uint64
		OK      bool
		Page    *feed.Page
		Problem string
	}

	// Desk is a Topic that goes through other daemons when the log can't be
	// reached. It is safe for concurrent use.
	Dispatcher struct {
		topic Topic
		now   func() time.Time

		mu     sync.Mutex
		next   uint64
		open   *Job
		result chan Result
		// failed is when a direct call failed last.
		failed time.Time
		// avoid holds daemons whose jobs failed, until a time.
		avoid map[string]time.Time
		by    string
		// Wake is called when there is a job.
		wake func()
	}

	// FailedError states that neither way led to the log.
	FailedError struct {
		Direct error
		Peer   string
	}
)

const (
	// jobTime bounds a job: two calls between daemons and one to the log.
	jobTime = 700 * time.Millisecond
	// directPause is the time after a failed direct call in which jobs go
	// first.
	directPause = 3 * time.Second
	// avoidTime is how long a daemon whose job failed gets no other.
	avoidTime = 2 * time.Second
)

var _ Topic = (*Dispatcher)(nil)

// Error describes both ways.
func (e *FailedError) Error() string {
	s := "log: not through another daemon: " + e.Peer
	if e.Direct != nil {
		s = e.Direct.Error() + "; " + s
	}
	return s
}

// New returns a Desk in front of topic. wake is called when a job waits for a
// daemon.
func New(topic Topic, wake func(), now func() time.Time) *Dispatcher {
	return &Dispatcher{topic: topic, wake: wake, now: now, avoid: map[string]time.Time{}}
}

// Newest returns the newest records.
func (d *Dispatcher) Newest(ctx context.Context) (*feed.Page, error) {
	var p *feed.Page
	err := d.try(ctx, Job{}, func() (err error) {
		p, err = d.topic.Newest(ctx)
		return err
	}, func(r Result) { p = r.Page })
	return p, err
}

// Append writes a record if the topic ends at offset at.
func (d *Dispatcher) Append(ctx context.Context, at int64, key string, value []byte) (bool, error) {
	var ok bool
	err := d.try(ctx, Job{Append: true, At: at, Key: key, Value: value}, func() (err error) {
		ok, err = d.topic.Append(ctx, at, key, value)
		return err
	}, func(r Result) { ok = r.OK })
	return ok, err
}

// try makes the call directly, or as a job if that fails or has failed lately.
func (d *Dispatcher) try(ctx context.Context, j Job, direct func() error, use func(Result)) error {
	d.mu.Lock()
	cut := !d.failed.IsZero() && d.now().Sub(d.failed) < directPause
	d.mu.Unlock()
	var cause error
	if !cut {
		if cause = direct(); cause == nil {
			d.mark(time.Time{})
			return nil
		}
		d.mark(d.now())
	}
	r, ok := d.do(ctx, j)
	if ok {
		use(r)
		return nil
	}
	if cut {
		if cause = direct(); cause == nil {
			d.mark(time.Time{})
			return nil
		}
	}
	return &FailedError{Direct: cause, Peer: r.Problem}
}

func (d *Dispatcher) mark(failed time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = failed
}

// do puts a job on the desk and waits for its result.
func (d *Dispatcher) do(ctx context.Context, j Job) (Result, bool) {
	d.mu.Lock()
	d.next++
	j.ID = d.next
	d.open, d.by = &j, ""
	result := make(chan Result, 1)
	d.result = result
	d.mu.Unlock()
	d.wake()
	ctx, cancel := context.WithTimeout(ctx, jobTime)
	defer cancel()
	r := Result{Problem: "no daemon did it in time"}
	select {
	case r = <-result:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open, d.result = nil, nil
	if r.Problem != "" && d.by != "" {
		d.avoid[d.by] = d.now().Add(avoidTime)
	}
	event.LogJobDone.Log("append", j.Append, "at", j.At, "by", d.by, "ok", r.OK, "problem", r.Problem)
	return r, r.Problem == ""
}

// Take returns the job for a daemon, nil if there is none.
func (d *Dispatcher) Take(host string) *Job {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == nil || d.now().Before(d.avoid[host]) {
		return nil
	}
	j := d.open
	d.open, d.by = nil, host
	return j
}

// Done takes the result of a job over.
func (d *Dispatcher) Done(r Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.result == nil || r.ID != d.next {
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
		r.OK, err = topic.Append(ctx, j.At, j.Key, j.Value)
	} else {
		r.Page, err = topic.Newest(ctx)
	}
	if err != nil {
		r.Problem = err.Error()
	}
	return r
}
