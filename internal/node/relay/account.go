package relay

import (
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/queue"
)

const (
	// staleConfigRetryAfter is the Retry-After of a daemon that can't know which
	// keys hold; other daemons mostly can, and a read of the configuration takes
	// some hundred ms.
	staleConfigRetryAfter = 300 * time.Millisecond
	// unauthorizedReason is the refusal reason of a request without a valid key.
	unauthorizedReason = "unauthorized"
	// staleReason is the refusal reason of a request whose key may not hold.
	staleReason = "configuration-age"
	// resumedPrecedence is by how many ranks a stream that its caller resumes goes
	// before others: it is late already, and what it has brought would be lost.
	resumedPrecedence = 1
	// costTokens is the number of tokens, of the prompt and the longest answer,
	// that count for one cost in the queue: a short request.
	costTokens = 256
)

// authorize returns the account that a request belongs to, nil if it needs none. It
// refuses a request without a key that holds, and one for which that is uncertain, of
// which it returns the account that has held the key.
func (r *Relay) authorize(cfg *fleet.Config, route *fleet.Route, req *fleet.Request, fresh fleet.Freshness) (*fleet.Account, refusal, bool) {
	req.Account = ""
	if len(cfg.Accounts) == 0 || route.Anonymous {
		return nil, refusal{}, true
	}
	var account *fleet.Account
	if req.Key != nil {
		account = cfg.AccountByKey(*req.Key)
	}
	switch {
	case account == nil && r.outdated(fresh):
		// A newer configuration may have the key.
		return nil, r.staleRefusal(), false
	case account == nil:
		return nil, refusal{code: http.StatusUnauthorized, reason: unauthorizedReason}, false
	case r.settings.KeyTTL > 0 && fresh.Age > r.settings.KeyTTL:
		// A newer configuration may lack the key.
		return account, r.staleRefusal(), false
	}
	req.Account = account.Name
	return account, refusal{}, true
}

// freshness returns how certain it is that the configuration is the newest, if it has
// accounts.
func (r *Relay) freshness(cfg *fleet.Config) fleet.Freshness {
	if r.settings.Freshness == nil || len(cfg.Accounts) == 0 {
		return fleet.Freshness{}
	}
	return r.settings.Freshness()
}

// outdated reports whether a newer configuration may be in force.
func (r *Relay) outdated(fresh fleet.Freshness) bool {
	return fresh.Outdated || r.settings.ConfigTTL > 0 && fresh.Age > r.settings.ConfigTTL
}

// staleRefusal is the refusal of a request whose key may or may not hold.
func (r *Relay) staleRefusal() refusal {
	return refusal{http.StatusServiceUnavailable, staleReason, r.jitter(staleConfigRetryAfter)}
}

// jitter returns a random delay in [3d/4, 5d/4), so that callers that were refused
// together don't return together.
func (r *Relay) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.rng.Int64N(int64(max(d, 2)/2)))
}

// accountRank returns the rank of the request's account, or the route's if it belongs
// to none.
func (x *exchange) accountRank() int {
	if x.account != nil {
		return x.account.Rank
	}
	return x.route.Rank
}

// queueItem returns the request as it is queued until its latest start. r.mu must be held.
func (x *exchange) queueItem(id uint64, latestStart time.Time) *queue.Item {
	it := &queue.Item{
		ID: id, Key: x.query.Key, AccountRank: x.accountRank(), Rank: x.route.Rank,
		TargetStart: x.targetStart(), LatestStart: latestStart, Cost: 1, Weight: 1,
	}
	if onTime, ok := x.slotStart(); ok {
		it.TargetStart = onTime
	}
	if x.route.Kind == fleet.Stream && x.req.LastEventID != "" {
		it.Rank -= resumedPrecedence
	}
	size := fleet.Allowance{Tokens: true}
	if x.account != nil {
		it.Account, size.PlainTokens = x.account.Name, x.account.Allowance.PlainTokens
		if w := x.relay.weights[it.Account]; w > 0 {
			it.Weight = w
		}
	}
	if x.relay.Config().Services[x.query.Key.Service].Engine != nil {
		it.Cost = max(size.Size(x.req)/costTokens, 1)
	}
	return it
}

// accountWeights returns the weights of accounts in the queue: their rate beside the
// mean of those whose allowance has the same unit. Accounts without a bound have none.
func accountWeights(accounts []fleet.Account) map[string]float64 {
	sum, count := map[bool]float64{}, map[bool]float64{}
	for _, a := range accounts {
		if a.Allowance.Limited() {
			sum[a.Allowance.Tokens] += a.Allowance.PerSecond
			count[a.Allowance.Tokens]++
		}
	}
	weights := map[string]float64{}
	for _, a := range accounts {
		if a.Allowance.Limited() {
			weights[a.Name] = a.Allowance.PerSecond * count[a.Allowance.Tokens] / sum[a.Allowance.Tokens]
		}
	}
	return weights
}
