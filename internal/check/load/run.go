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

// run is the state of a Plan in progress. mu protects result and gaps.
type run struct {
	plan   Plan
	client *http.Client

	mu     sync.Mutex
	result Result
	gaps   histogram
}

const (
	// maxRefusalBytes bounds the body that is read from a refusal.
	maxRefusalBytes = 64 << 10
	// answerGrace is the time after the deadline in which an answer may
	// arrive. A daemon answers a request that it can't serve by its deadline.
	answerGrace = 5 * time.Second
	// arrivalStream is the second seed of the random numbers of a run.
	arrivalStream = 1
)

// Run sends the requests of p and returns the measurements. If p is invalid, it
// returns a *PlanError and sends nothing. It ends early when ctx is done. Failed
// requests are counted in the Result and are not an error of Run.
func Run(ctx context.Context, p Plan) (*Result, error) {
	p, err := p.complete()
	if err != nil {
		return nil, err
	}
	tr := &http.Transport{MaxIdleConnsPerHost: p.Concurrency, DisableCompression: true}
	defer tr.CloseIdleConnections()
	r := &run{plan: p, client: &http.Client{Transport: tr}}
	r.result.Refused, r.result.Errors = map[string]int{}, map[string]int{}
	rng := rand.New(rand.NewPCG(p.Seed, arrivalStream))
	slots := make(chan struct{}, p.Concurrency)
	var wg sync.WaitGroup
	start := time.Now()
	// at is the arrival time of the request, from the start.
	var at time.Duration
	for n := range p.Requests {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		q := p.request(n, rng)
		if at > p.Duration || !pause.For(ctx, time.Until(start.Add(at))) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.result.Skipped++
			continue
		}
		r.result.Requests++
		wg.Go(func() {
			defer func() { <-slots }()
			r.sendAndCount(ctx, &q)
		})
	}
	wg.Wait()
	return r.complete(time.Since(start)), nil
}

// RunOne sends the n-th request of p and returns the time to its first token. It
// returns an error unless the answer is complete.
func RunOne(ctx context.Context, hc *http.Client, p Plan, n int) (time.Duration, error) {
	p, err := p.complete()
	if err != nil {
		return 0, err
	}
	r := &run{plan: p, client: hc}
	q := p.request(n, rand.New(rand.NewPCG(p.Seed, uint64(n))))
	first, refused, _, err := r.send(ctx, &q)
	if err == nil && refused != "" {
		err = responseErrorf("refused: %s", refused)
	}
	return first, err
}

// sendAndCount sends q and counts its outcome.
func (r *run) sendAndCount(ctx context.Context, q *request) {
	first, refused, tokens, err := r.send(ctx, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Tokens += int64(tokens)
	if first > 0 {
		r.result.FirstTokenTimes = append(r.result.FirstTokenTimes, first)
	}
	switch {
	case err != nil:
		r.result.Errors[errorCause(err)]++
	case refused != "":
		r.result.Refused[refused]++
	default:
		r.result.Answered++
	}
}

// send sends q and reads its answer. first is the time to the first token, and
// refused the kind of a refusal.
func (r *run) send(ctx context.Context, q *request) (first time.Duration, refused string, tokens int, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Deadline+answerGrace)
	defer cancel()
	h, err := r.plan.httpRequest(ctx, q)
	if err != nil {
		return 0, "", 0, err
	}
	sent := time.Now()
	resp, err := r.client.Do(h)
	if err != nil {
		return 0, "", 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
		return 0, problemType(b), 0, err
	}
	var a response
	var gaps histogram
	err = a.read(resp.Body, time.Now, gaps.add)
	r.mu.Lock()
	r.gaps.merge(&gaps)
	r.mu.Unlock()
	if a.tokens > 0 {
		first = a.firstAt.Sub(sent)
	}
	if err == nil && a.problem == "" {
		// A connection is reused only if the body is read to its end.
		if _, err = io.Copy(io.Discard, resp.Body); err == nil && r.plan.Check {
			err = a.check(q)
		}
	}
	return first, a.problem, a.tokens, err
}

// merge adds the counts of o.
func (h *histogram) merge(o *histogram) {
	for i, n := range o.counts {
		h.counts[i] += n
	}
	h.total += o.total
}

// complete returns the result of a run that took the given time, with the derived
// values. No request may be in progress.
func (r *run) complete(took time.Duration) *Result {
	res := &r.result
	slices.Sort(res.FirstTokenTimes)
	res.Seconds = took.Seconds()
	res.TokensPerSecond = float64(res.Tokens) / res.Seconds
	res.FirstToken = Percentiles{Quantile(res.FirstTokenTimes, 0.5), Quantile(res.FirstTokenTimes, 0.95), Quantile(res.FirstTokenTimes, 0.99)}
	res.TokenGap = Percentiles{r.gaps.quantile(0.5), r.gaps.quantile(0.95), r.gaps.quantile(0.99)}
	return res
}
