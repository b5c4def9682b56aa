package admit

import (
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/heap"
)

type (
	// Request is one waiting request.
	Request struct {
		// ID is unique in the Queue.
		ID    uint64
		Model string
		Class declare.Class
		// Priority orders the requests of a class: lower numbers go first.
		Priority int
		// Deadline is when the caller stops waiting.
		Deadline time.Time
		// MinDuration is the least time from the start to the end of the
		// request.
		MinDuration time.Duration
		// OfferedAt is set by Offer.
		OfferedAt time.Time
	}

	// Settings configures a Queue. A zero field stands for its default.
	Settings struct {
		// MaxLength bounds the number of waiting requests; default 1,024
		// (design.md section 7).
		MaxLength int
		// BackgroundShare bounds background requests and ModelShare those
		// for one model, as shares of MaxLength; default 0.75 each, so that
		// neither can crowd out the rest.
		BackgroundShare, ModelShare float64
		// PromotionSlack is the slack below which a background request
		// competes with urgent ones; default 20 s.
		PromotionSlack time.Duration
		// ExpiryMargin is how long before a request becomes impossible to
		// finish in time it expires; default 50 ms, so that the refusal
		// reaches the caller before the deadline.
		ExpiryMargin time.Duration
		// InitialServiceTime is assumed until ObserveServiceTime was called;
		// default 4 s.
		InitialServiceTime time.Duration
		// MinRetryAfter and MaxRetryAfter bound the retry delay of a refusal
		// before jitter; defaults 1 s and 60 s.
		MinRetryAfter, MaxRetryAfter time.Duration
	}

	// Queue holds the requests that wait in one daemon.
	Queue struct {
		settings        Settings
		lanes           map[string]*lane
		requests        map[uint64]*entry
		expiry          *heap.Heap[*entry]
		backgroundCount int
	}

	entry struct {
		Request
		lane       *lane
		laneNode   *heap.Node[*entry]
		expiryNode *heap.Node[*entry]
	}

	lane struct {
		urgent, background *heap.Heap[*entry]
		serviceTime        time.Duration
		// lastPromoted is set if the last request served was a background
		// request promoted ahead of a waiting urgent one.
		lastPromoted bool
	}
)

// serviceTimeDivisor is the inverse of the weight of a new sample in the moving
// average of the service time.
const serviceTimeDivisor = 8

// latestStart returns the latest time at which e must start.
func (e *entry) latestStart() time.Time { return e.Deadline.Add(-e.MinDuration) }

// startsBefore orders entries by latest start, then by ID.
func startsBefore(a, b *entry) bool {
	if la, lb := a.latestStart(), b.latestStart(); !la.Equal(lb) {
		return la.Before(lb)
	}
	return a.ID < b.ID
}

// servesBefore orders entries of one class by priority, then as startsBefore.
func servesBefore(a, b *entry) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return startsBefore(a, b)
}

// New returns an empty Queue.
func New(s Settings) *Queue {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.PromotionSlack, 20*time.Second)
	setDefault(&s.ExpiryMargin, 50*time.Millisecond)
	setDefault(&s.InitialServiceTime, 4*time.Second)
	setDefault(&s.MinRetryAfter, time.Second)
	setDefault(&s.MaxRetryAfter, time.Minute)
	if s.MaxLength == 0 {
		s.MaxLength = 1024
	}
	if s.BackgroundShare == 0 {
		s.BackgroundShare = 0.75
	}
	if s.ModelShare == 0 {
		s.ModelShare = 0.75
	}
	return &Queue{settings: s, lanes: map[string]*lane{}, requests: map[uint64]*entry{}, expiry: heap.New(startsBefore)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.requests) }

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

// ObserveServiceTime records how long a request for model ran in total.
func (q *Queue) ObserveServiceTime(model string, service time.Duration) {
	l := q.lane(model)
	if l.serviceTime == 0 {
		l.serviceTime = service
		return
	}
	l.serviceTime += (service - l.serviceTime) / serviceTimeDivisor
}

// Next removes and returns the request to serve next at now on a free sequence
// of model. ok is false if none waits.
func (q *Queue) Next(now time.Time, model string) (req Request, ok bool) {
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
		l.lastPromoted = false
	case b != nil && !l.lastPromoted && b.Value.latestStart().Sub(now) < q.settings.PromotionSlack && startsBefore(b.Value, u.Value):
		n = b
		l.lastPromoted = true
	default:
		l.lastPromoted = false
	}
	e := n.Value
	q.remove(e)
	return e.Request, true
}

// Remove removes a request whose caller has disconnected, and reports whether it
// waited.
func (q *Queue) Remove(id uint64) bool {
	e := q.requests[id]
	if e != nil {
		q.remove(e)
	}
	return e != nil
}

// Expire removes the requests that can no longer end before their deadlines,
// appends them to dst and returns it. The caller must refuse them at once.
func (q *Queue) Expire(now time.Time, dst []Request) []Request {
	for n := q.expiry.Peek(); n != nil && !now.Before(q.expiresAt(n.Value)); n = q.expiry.Peek() {
		q.remove(n.Value)
		dst = append(dst, n.Value.Request)
	}
	return dst
}

// NextExpiry returns when Expire must be called next; ok is false if no request
// waits.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	n := q.expiry.Peek()
	if n == nil {
		return time.Time{}, false
	}
	return q.expiresAt(n.Value), true
}

func (q *Queue) expiresAt(e *entry) time.Time { return e.latestStart().Add(-q.settings.ExpiryMargin) }

func (q *Queue) lane(model string) *lane {
	l := q.lanes[model]
	if l == nil {
		l = &lane{urgent: heap.New(servesBefore), background: heap.New(servesBefore)}
		q.lanes[model] = l
	}
	return l
}

func (q *Queue) insert(req Request) {
	l := q.lane(req.Model)
	e := &entry{Request: req, lane: l}
	if req.Class == declare.Background {
		e.laneNode = l.background.Push(e)
		q.backgroundCount++
	} else {
		e.laneNode = l.urgent.Push(e)
	}
	e.expiryNode = q.expiry.Push(e)
	q.requests[req.ID] = e
}

func (q *Queue) remove(e *entry) {
	if e.Class == declare.Background {
		e.lane.background.Remove(e.laneNode)
		q.backgroundCount--
	} else {
		e.lane.urgent.Remove(e.laneNode)
	}
	q.expiry.Remove(e.expiryNode)
	delete(q.requests, e.ID)
}
