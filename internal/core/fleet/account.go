package fleet

import (
	"crypto/sha256"
	"time"
)

type (
	// KeyHash is the hash of a caller's key. Keys themselves are not kept.
	KeyHash [sha256.Size]byte

	// Account is a client account.
	Account struct {
		Name string
		// Keys are the hashes of the keys that identify its callers.
		Keys []KeyHash
		// Rank is the account's urgency; 0 is the most urgent. It goes before
		// the rank of a route.
		Rank      int
		Allowance Allowance
	}

	// Allowance bounds what an account may use, summed over all daemons: in any
	// window of t seconds PerSecond x t + Burst, in requests or tokens.
	Allowance struct {
		// PerSecond is 0 for an account without a bound.
		PerSecond, Burst float64
		// Tokens is set if tokens are counted and not requests.
		Tokens bool
		// PlainTokens is the size of a request without a token count.
		PlainTokens float64
	}

	// Freshness is how certain it is that a configuration is the newest.
	Freshness struct {
		// Age is the time since the configuration was known to be the newest,
		// on a clock that counts suspensions of the machine.
		Age time.Duration
		// Outdated is set if a newer version is known to exist.
		Outdated bool
	}
)

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Limited reports whether the allowance has a bound.
func (a Allowance) Limited() bool { return a.PerSecond > 0 }

// Size returns what a request counts for.
func (a Allowance) Size(q *Request) float64 {
	switch n := q.PromptTokens + q.AnswerTokens; {
	case !a.Tokens:
		return 1
	case n > 0:
		return float64(n)
	}
	return a.PlainTokens
}

// AccountByKey returns the account that holds a key, nil if there is none. Its time
// doesn't depend on how much of a key is right, because hashes are compared.
func (c *Config) AccountByKey(k KeyHash) *Account { return c.byKey[k] }

// indexAccounts prepares c for AccountByKey.
func (c *Config) indexAccounts() {
	c.byKey = make(map[KeyHash]*Account)
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.byKey[k] = &c.Accounts[i]
		}
	}
}
