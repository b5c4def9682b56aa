package retry

import "time"

// Budget limits retries to a share of recent requests. The zero value allows
// none; see NewBudget.
type Budget struct {
	share, perSecond, limit float64
	tokens                  float64
	at                      time.Time
}

// NewBudget returns a full Budget: each request adds share of a token, each
// second perSecond tokens, which lets a daemon with few requests retry at all,
// and at most limit tokens are kept.
func NewBudget(share, perSecond, limit float64) *Budget {
	return &Budget{share: share, perSecond: perSecond, limit: limit, tokens: limit}
}

// Resize changes the tokens a second and the limit. Tokens beyond the new limit
// are lost; none are added.
func (b *Budget) Resize(perSecond, limit float64) {
	b.perSecond, b.limit = perSecond, limit
	b.tokens = min(b.tokens, limit)
}

// Request counts a first attempt.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+b.share, b.limit) }

// Take takes a token at now and reports whether there was one above reserve
// tokens.
func (b *Budget) Take(now time.Time, reserve float64) bool {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*b.perSecond, b.limit)
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of tokens at now.
func (b *Budget) Available(now time.Time) float64 {
	if b.at.IsZero() || !now.After(b.at) {
		return b.tokens
	}
	return min(b.tokens+now.Sub(b.at).Seconds()*b.perSecond, b.limit)
}

// Limit returns the largest number of tokens.
func (b *Budget) Limit() float64 { return b.limit }
