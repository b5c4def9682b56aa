package admit

import (
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/queue"
)

type (
	// Item is one waiting request.
	Request struct {
		// ID is unique in the Queue.
		ID    uint64
		Model string
		Class declare.Class
		// Deadline is when the caller stops waiting.
		Deadline time.Time
		// Needs is the least time from the start to the end of the request.
		MinDuration time.Duration
		// At is when it was offered.
		OfferedAt time.Time
	}

	// Settings tune a Queue. A zero field stands for its default.
	Settings struct {
		// Length bounds the Queue; default 1,024 (design.md section 7).
		MaxLength int
		// BackgroundShare bounds background requests and ModelShare those
		// for one model, as shares of Length; default 0.75 each, so that
		// neither can shut out the rest.
		BackgroundShare, ModelShare float64
		// Promote is the slack below which a background request competes
		// with urgent ones; default 20 s.
		PromotionSlack time.Duration
		// Margin before the deadline at which Expire gives up; default
		// 50 ms, so that the refusal reaches the caller before it.
		ExpiryMargin time.Duration
		// Service is assumed until Observe was called; default 4 s.
		InitialServiceTime time.Duration
		// MinRetry and MaxRetry bound the delay of a refusal before jitter;
		// defaults 1 s and 60 s.
		MinRetryAfter, MaxRetryAfter time.Duration
	}

	// Queue holds the requests that wait in one daemon.
	Queue struct {
		s          Settings
		lanes      map[string]*lane
		items      map[uint64]*entry
		expiry     *queue.Heap[*entry]
		background int
	}

	entry struct {
		Request
		lane   *lane
		inLane *queue.Node[*entry]
		inAll  *queue.Node[*entry]
	}

	lane struct {
		urgent, background *queue.Heap[*entry]
		service            time.Duration
		// promoted is set if the last one served was promoted ahead of a
		// waiting urgent one.
		promoted bool
	}
)

// latest is the latest time at which e must start.
func (e *entry) latest() time.Time { return e.Deadline.Add(-e.MinDuration) }

// before orders entries by latest start, then by arrival.
func before(a, b *entry) bool {
	if la, lb := a.latest(), b.latest(); !la.Equal(lb) {
		return la.Before(lb)
	}
	return a.ID < b.ID
}

// New returns an empty Queue.
func New(s Settings) *Queue {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.PromotionSlack, 20*time.Second)
	def(&s.ExpiryMargin, 50*time.Millisecond)
	def(&s.InitialServiceTime, 4*time.Second)
	def(&s.MinRetryAfter, time.Second)
	def(&s.MaxRetryAfter, time.Minute)
	if s.MaxLength == 0 {
		s.MaxLength = 1024
	}
	if s.BackgroundShare == 0 {
		s.BackgroundShare = 0.75
	}
	if s.ModelShare == 0 {
		s.ModelShare = 0.75
	}
	return &Queue{s: s, lanes: map[string]*lane{}, items: map[uint64]*entry{}, expiry: queue.New(before)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number of urgent and background requests for model.
func (q *Queue) Waiting(model string) (urgent, background int) {
	l := q.lanes[model]
	if l == nil {
		return 0, 0
	}
	return l.urgent.Len(), l.background.Len()
}

// Models appends the models for which requests wait to dst and returns it.
func (q *Queue) Models(dst []string) []string {
	for m, l := range q.lanes {
		if l.urgent.Len()+l.background.Len() > 0 {
			dst = append(dst, m)
		}
	}
	return dst
}

// Observe records the whole time that a request for model ran.
func (q *Queue) ObserveServiceTime(model string, service time.Duration) {
	l := q.lane(model)
	if l.service == 0 {
		l.service = service
		return
	}
	l.service += (service - l.service) / 8
}

// Next takes the request for model that is to be served next at now, which
// has a free sequence. ok is false if none waits.
func (q *Queue) Next(now time.Time, model string) (it Request, ok bool) {
	l := q.lanes[model]
	if l == nil {
		return Request{}, false
	}
	u, b := l.urgent.Peek(), l.background.Peek()
	n := u
	switch {
	case u == nil && b == nil:
		return Request{}, false
	case u == nil:
		n = b
		l.promoted = false
	case b != nil && !l.promoted && b.Value.latest().Sub(now) < q.s.PromotionSlack && before(b.Value, u.Value):
		n = b
		l.promoted = true
	default:
		l.promoted = false
	}
	e := n.Value
	q.take(e)
	return e.Request, true
}

// Remove takes a request out whose caller has gone, and reports whether it
// waited.
func (q *Queue) Remove(id uint64) bool {
	e := q.items[id]
	if e != nil {
		q.take(e)
	}
	return e != nil
}

// Expire appends to dst the requests that can't end before their deadlines any
// more, takes them out, and returns dst. The caller refuses them at once.
func (q *Queue) Expire(now time.Time, dst []Request) []Request {
	for n := q.expiry.Peek(); n != nil && !now.Before(q.expires(n.Value)); n = q.expiry.Peek() {
		q.take(n.Value)
		dst = append(dst, n.Value.Request)
	}
	return dst
}

// NextExpiry returns when Expire must be called next; ok is false if nothing
// waits.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	n := q.expiry.Peek()
	if n == nil {
		return time.Time{}, false
	}
	return q.expires(n.Value), true
}

func (q *Queue) expires(e *entry) time.Time { return e.latest().Add(-q.s.ExpiryMargin) }

func (q *Queue) lane(model string) *lane {
	l := q.lanes[model]
	if l == nil {
		l = &lane{urgent: queue.New(before), background: queue.New(before)}
		q.lanes[model] = l
	}
	return l
}

func (q *Queue) put(it Request) {
	l := q.lane(it.Model)
	e := &entry{Request: it, lane: l}
	if it.Class == declare.Background {
		e.inLane = l.background.Push(e)
		q.background++
	} else {
		e.inLane = l.urgent.Push(e)
	}
	e.inAll = q.expiry.Push(e)
	q.items[it.ID] = e
}

func (q *Queue) take(e *entry) {
	if e.Class == declare.Background {
		e.lane.background.Remove(e.inLane)
		q.background--
	} else {
		e.lane.urgent.Remove(e.inLane)
	}
	q.expiry.Remove(e.inAll)
	delete(q.items, e.ID)
}
