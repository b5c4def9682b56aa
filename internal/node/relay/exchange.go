package relay

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/link/sse"
	"github.com/azurespan/azurespan/internal/rule/pick"
	"github.com/azurespan/azurespan/internal/rule/queue"
)

type (
	// exchange is one request on its way.
	exchange struct {
		r     *Relay
		w     http.ResponseWriter
		rc    *http.ResponseController
		q     *fleet.Request
		route *fleet.Route
		query pick.Query
		print string
		// arrived, and end, when the caller or the route allows no more.
		arrived, end time.Time
		// sends counts requests to upstreams, runs those that may have run.
		sends, runs int
		// failure is the last failure of an upstream.
		failure string
		// started is set once the head of the answer has been sent.
		started bool
		events  *sse.Cutter
		firstAt time.Time
	}

	// status is a final answer of azurespan's own.
	status struct {
		code       int
		reason     string
		retryAfter time.Duration
	}
)

// defaultBody bounds a request body, in bytes, before a configuration says it.
const defaultBody = 4 << 20

// ServeHTTP serves one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := r.now()
	limit := defaultBody
	if cfg := r.Config(); cfg != nil && cfg.Limits.BodyBytes > 0 {
		limit = cfg.Limits.BodyBytes
	}
	q, err := r.wire.DecodeRequest(hr, limit)
	if err != nil {
		r.unreadable(w, err)
		return
	}
	cfg := r.Config()
	if cfg == nil {
		r.refuse(w, q.ID, status{http.StatusServiceUnavailable, "no-configuration", unconfiguredRetry}, arrived)
		return
	}
	host, _, found := strings.Cut(q.Host, ":")
	if !found {
		host = q.Host
	}
	route := cfg.Match(host, q.Path)
	if route == nil {
		r.refuse(w, q.ID, status{code: http.StatusNotFound, reason: "no-route"}, arrived)
		return
	}
	x := &exchange{r: r, w: w, rc: http.NewResponseController(w), q: q, route: route, arrived: arrived, events: sse.New()}
	x.end = arrived.Add(route.Timeout)
	if q.CallerTimeout > 0 && q.CallerTimeout < route.Timeout {
		x.end = arrived.Add(q.CallerTimeout)
	}
	x.query = pick.Query{
		Key:       fleet.Key{Service: route.Pick(hash64(q.ID)), Model: q.Model, Adapter: q.Adapter},
		PrefixKey: q.SharedKey(),
		NoRetry:   !route.Repeatable(),
	}
	caller, _, err := net.SplitHostPort(hr.RemoteAddr)
	if err != nil {
		caller = hr.RemoteAddr
	}
	x.print = fingerprint(q, caller)
	// A caller that doesn't read must not hold the request beyond its end.
	if err := x.rc.SetWriteDeadline(x.end.Add(writeSlack)); err != nil {
		event.CallerWriteFailed.Log("request", q.ID, "cause", err.Error())
	}
	ctx, cancel := context.WithDeadline(hr.Context(), x.end)
	defer cancel()
	x.run(ctx)
}

func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64() >> 1
}

// fingerprint identifies a request that comes again under another id.
func fingerprint(q *fleet.Request, caller string) string {
	h := fnv.New128a()
	for _, s := range []string{caller, q.Method, q.Target, q.Model, q.Adapter} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// unreadable answers a request that couldn't be decoded.
func (r *Relay) unreadable(w http.ResponseWriter, err error) {
	st := status{code: http.StatusBadRequest, reason: "unreadable"}
	var coded interface{ HTTPStatus() int }
	if errors.As(err, &coded) {
		st.code = coded.HTTPStatus()
	}
	event.RequestUnreadable.Log("status", st.code, "cause", err.Error())
	r.wire.Refuse(w, "", st.code, st.reason, 0)
}

// refuse answers a request that was sent to no upstream.
func (r *Relay) refuse(w http.ResponseWriter, id string, st status, arrived time.Time) {
	event.RelayRefused.Log("request", id, "status", st.code, "reason", st.reason, "retry-after", st.retryAfter, "after", r.now().Sub(arrived))
	r.met.Refusals.WithLabelValues(st.reason).Inc()
	r.wire.Refuse(w, id, st.code, st.reason, st.retryAfter)
}

// run takes the request through its attempts.
func (x *exchange) run(ctx context.Context) {
	if st, ok := x.admit(); !ok {
		x.finish(ctx, st)
		return
	}
	for {
		c, st, ok := x.acquire(ctx)
		if !ok {
			x.finish(ctx, st)
			return
		}
		o := x.attempt(ctx, c)
		if o.done {
			x.log(metric.OutcomeOK, c.Upstream, o.status)
			return
		}
		if x.mayRepeat(ctx, o) {
			continue
		}
		x.conclude(ctx, o, c.Upstream)
		return
	}
}

// admit counts the request, and refuses one that has crashed upstreams.
func (x *exchange) admit() (status, bool) {
	r, now := x.r, x.r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[x.query.Key]++
	r.budget(x.query.Key.Service).AddRequest()
	v, left := r.poison.Judge(now, x.print)
	if v == poison.Quarantined || len(r.poison.Entry(x.print).Crashes) >= crashLimit {
		return status{http.StatusServiceUnavailable, "quarantined", max(left, time.Second)}, false
	}
	return status{}, true
}

// acquire returns an upstream for the next attempt, and waits for one while
// that makes sense.
func (x *exchange) acquire(ctx context.Context) (pick.Choice, status, bool) {
	r := x.r
	now := r.now()
	r.mu.Lock()
	c, why := r.table.Choose(now, &x.query)
	if why == pick.Found {
		r.table.Start(c.Upstream.ID, x.query.Key)
		r.mu.Unlock()
		return c, status{}, true
	}
	until, st, wait := r.patience(now, x, why)
	if !wait {
		r.mu.Unlock()
		return pick.Choice{}, st, false
	}
	r.nextID++
	w := &waiter{
		item:  &queue.Item{ID: r.nextID, Key: x.query.Key, Rank: x.route.Rank, TargetStart: x.aim(), LatestStart: until},
		query: &x.query, ready: make(chan pick.Choice, 1),
	}
	r.waiters[w.item.ID] = w
	r.line.Add(w.item)
	waiting := r.line.Len()
	r.mu.Unlock()
	r.kick()
	event.RequestQueued.Log("request", x.q.ID, "reason", why, "service", x.query.Key.Service,
		"model", fleet.ModelName(x.q.Model, x.q.Adapter), "until", until.Sub(now), "waiting", waiting)

	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case c := <-w.ready:
		return c, status{}, true
	case <-ctx.Done():
	case <-t.C:
	case <-r.stopped:
		if x.runs == 0 {
			st.reason, st.retryAfter = "stopping", stoppingRetry
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.line.Remove(w.item.ID) {
		// It was served in the same instant.
		return <-w.ready, status{}, true
	}
	delete(r.waiters, w.item.ID)
	return pick.Choice{}, st, false
}

// aim returns when the request must start to be on time.
func (x *exchange) aim() time.Time {
	if x.started {
		return x.end // a pause in a stream counts from its last event
	}
	return x.arrived.Add(x.route.LatencyTarget - leastService)
}

// log writes the outcome of the request.
func (x *exchange) log(outcome string, up fleet.Upstream, code int) {
	now := x.r.now()
	first := time.Duration(0)
	if !x.firstAt.IsZero() {
		first = x.firstAt.Sub(x.arrived)
	}
	event.RelayEnded.Log("request", x.q.ID, "outcome", outcome, "status", code, "route", x.route.Name,
		"rank", x.route.Rank, "upstream", up.ID, "sends", x.sends, "events", x.events.Events,
		"first", first, "took", now.Sub(x.arrived), "failure", x.failure)
	class := fmt.Sprintf("%s-%d", x.route.Kind, x.route.Rank)
	x.r.met.RequestSeconds.WithLabelValues(class, outcome).Observe(now.Sub(x.arrived).Seconds())
	if x.started {
		x.r.met.FirstTokenSeconds.WithLabelValues(class).Observe(first.Seconds())
	}
}

// finish ends a request that has no answer of an upstream.
func (x *exchange) finish(ctx context.Context, st status) {
	x.r.met.Refusals.WithLabelValues(st.reason).Inc()
	if ctx.Err() == context.Canceled {
		x.log(metric.OutcomeCallerGone, fleet.Upstream{}, 0)
		panic(http.ErrAbortHandler)
	}
	if x.started {
		x.log(metric.OutcomeBroken, fleet.Upstream{}, st.code)
		panic(http.ErrAbortHandler)
	}
	event.RelayRefused.Log("request", x.q.ID, "status", st.code, "reason", st.reason, "retry-after", st.retryAfter,
		"after", x.r.now().Sub(x.arrived), "route", x.route.Name, "model", fleet.ModelName(x.q.Model, x.q.Adapter),
		"service", x.query.Key.Service, "sends", x.sends, "may-have-run", x.runs > 0, "failure", x.failure)
	x.log(metric.OutcomeRefused, fleet.Upstream{}, st.code)
	x.r.wire.Refuse(x.w, x.q.ID, st.code, st.reason, st.retryAfter)
}
