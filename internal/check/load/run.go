package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/base/pause"
)

// run is a Plan in progress.
type run struct {
	p    Plan
	http *http.Client

	mu  sync.Mutex
	res Result
	gap histogram
}

// maxRefusal bounds the body read from a refusal, in bytes.
const maxRefusal = 64 << 10

// Run sends the traffic of p and returns what it measured. It fails with a
// *PlanError before it sends anything. The end of ctx ends it early. Failed
// answers are counted and are no error of Run.
func Run(ctx context.Context, p Plan) (*Result, error) {
	p, err := p.complete()
	if err != nil {
		return nil, err
	}
	tr := &http.Transport{MaxIdleConnsPerHost: p.Concurrency, DisableCompression: true}
	defer tr.CloseIdleConnections()
	r := &run{p: p, http: &http.Client{Transport: tr}}
	r.res.Refused, r.res.Errors = map[string]int{}, map[string]int{}
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	slots := make(chan struct{}, p.Concurrency)
	var wg sync.WaitGroup
	began := time.Now()
	var at time.Duration
	for n := range p.Requests {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		q := p.request(n, rng)
		if at > p.Duration || !pause.For(ctx, time.Until(began.Add(at))) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.res.Skipped++
			continue
		}
		r.res.Requests++
		wg.Go(func() {
			defer func() { <-slots }()
			r.one(ctx, &q)
		})
	}
	wg.Wait()
	return r.result(time.Since(began)), nil
}

// One sends the n-th request of p and returns the time to its first token. It
// fails unless the whole answer arrives.
func RunOne(ctx context.Context, hc *http.Client, p Plan, n int) (time.Duration, error) {
	p, err := p.complete()
	if err != nil {
		return 0, err
	}
	r := &run{p: p, http: hc}
	q := p.request(n, rand.New(rand.NewPCG(p.Seed, uint64(n))))
	first, refused, _, err := r.send(ctx, &q)
	if err == nil && refused != "" {
		err = wrong("refused: %s", refused)
	}
	return first, err
}

// one sends q and counts the outcome.
func (r *run) one(ctx context.Context, q *request) {
	first, refused, tokens, err := r.send(ctx, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Tokens += int64(tokens)
	if first > 0 {
		r.res.FirstTokenTimes = append(r.res.FirstTokenTimes, first)
	}
	switch {
	case err != nil:
		r.res.Errors[kindOf(err)]++
	case refused != "":
		r.res.Refused[refused]++
	default:
		r.res.Answered++
	}
}

// send sends q and reads its answer. refused is the kind of a refusal.
func (r *run) send(ctx context.Context, q *request) (first time.Duration, refused string, tokens int, err error) {
	// A daemon answers a request that it can't serve by its deadline; the
	// added time lets that answer arrive.
	ctx, cancel := context.WithTimeout(ctx, r.p.Deadline+5*time.Second)
	defer cancel()
	h, err := r.p.http(ctx, q)
	if err != nil {
		return 0, "", 0, err
	}
	began := time.Now()
	resp, err := r.http.Do(h)
	if err != nil {
		return 0, "", 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
		return 0, problemType(b), 0, err
	}
	var a answer
	var gap histogram
	err = a.read(resp.Body, time.Now, gap.add)
	r.mu.Lock()
	r.gap.merge(&gap)
	r.mu.Unlock()
	if a.tokens > 0 {
		first = a.first.Sub(began)
	}
	if err == nil && a.problem == "" {
		// The connection can be used again once the body is read to its end.
		if _, err = io.Copy(io.Discard, resp.Body); err == nil && r.p.Check {
			err = a.check(q)
		}
	}
	return first, a.problem, a.tokens, err
}

func (h *histogram) merge(o *histogram) {
	for i, n := range o.counts {
		h.counts[i] += n
	}
	h.total += o.total
}

// result completes the figures; no request is in progress.
func (r *run) result(took time.Duration) *Result {
	res := &r.res
	slices.Sort(res.FirstTokenTimes)
	res.Seconds = took.Seconds()
	res.TokensPerSecond = float64(res.Tokens) / res.Seconds
	res.FirstToken = Percentiles{Quantile(res.FirstTokenTimes, 0.5), Quantile(res.FirstTokenTimes, 0.95), Quantile(res.FirstTokenTimes, 0.99)}
	res.TokenGap = Percentiles{r.gap.quantile(0.5), r.gap.quantile(0.95), r.gap.quantile(0.99)}
	return res
}
