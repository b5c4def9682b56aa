package retry

import "time"

// Budget is a token bucket that limits retries to a share of recent requests.
// The zero value allows none; see NewBudget.
type Budget struct {
	tokensPerRequest, tokensPerSecond, maxTokens float64
	tokens                                       float64
	refilledAt                                   time.Time
}

// NewBudget returns a full Budget of maxTokens. Each request adds
// tokensPerRequest, the share of requests that may be retried. Each second adds
// tokensPerSecond, so that a daemon with few requests can retry at all.
func NewBudget(tokensPerRequest, tokensPerSecond, maxTokens float64) *Budget {
	return &Budget{tokensPerRequest: tokensPerRequest, tokensPerSecond: tokensPerSecond, maxTokens: maxTokens, tokens: maxTokens}
}

// Resize changes the tokens per second and the limit. Tokens beyond the new
// limit are lost; none are added.
func (b *Budget) Resize(tokensPerSecond, maxTokens float64) {
	b.tokensPerSecond, b.maxTokens = tokensPerSecond, maxTokens
	b.tokens = min(b.tokens, maxTokens)
}

// Restart leaves one token; further ones accrue from now on. It is for a budget that
// is shared with an earlier process, which may have used its tokens.
func (b *Budget) Restart(now time.Time) { b.tokens, b.refilledAt = min(b.tokens, 1), now }

// AddRequest counts the first attempt of a request.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+b.tokensPerRequest, b.maxTokens) }

// Take takes a token at now and reports whether there was one beyond reserve
// tokens. If not, it takes none.
func (b *Budget) Take(now time.Time, reserve float64) bool {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.tokensPerSecond, b.maxTokens)
	}
	if b.refilledAt.IsZero() || now.After(b.refilledAt) {
		b.refilledAt = now
	}
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Return gives back a token that was taken for a retry that wasn't sent.
func (b *Budget) Return() { b.tokens = min(b.tokens+1, b.maxTokens) }

// Available returns the number of tokens at now.
func (b *Budget) Available(now time.Time) float64 {
	if b.refilledAt.IsZero() || !now.After(b.refilledAt) {
		return b.tokens
	}
	return min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.tokensPerSecond, b.maxTokens)
}

// Limit returns the maximum number of tokens.
func (b *Budget) Limit() float64 { return b.maxTokens }
