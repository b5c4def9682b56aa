package route

import (
	"time"

	"github.com/maypok86/otter/v2"
)

// maxHolders is the number of upstreams remembered for a prefix.
const maxHolders = 4

type (
	// hint records that an upstream had a prefix in its cache at a time.
	hint struct {
		upstream *upstream
		at       time.Time
	}

	// prefixCache maps prefix hashes to hints. It keeps the most frequently used ones,
	// so that the prefixes in use outlive any number of others that callers name. It
	// isn't safe for concurrent use.
	prefixCache struct {
		limit int
		// hints is nil before the first prefix: plain services have none.
		hints *otter.Cache[uint64, *[maxHolders]hint]
	}
)

func newHints(limit int) *otter.Cache[uint64, *[maxHolders]hint] {
	return otter.Must(&otter.Options[uint64, *[maxHolders]hint]{
		MaximumSize: limit,
		// Otherwise uses aren't counted until half of the size is reached.
		InitialCapacity: limit,
		// In the caller's goroutine, so that the size is kept.
		Executor: func(fn func()) { fn() },
	})
}

func (c *prefixCache) get(hash uint64) ([maxHolders]hint, bool) {
	if c.hints == nil {
		return [maxHolders]hint{}, false
	}
	if h, ok := c.hints.GetIfPresent(hash); ok {
		return *h, true
	}
	return [maxHolders]hint{}, false
}

func (c *prefixCache) put(hash uint64, u *upstream, at time.Time) {
	if c.hints == nil {
		c.hints = newHints(c.limit)
	}
	h, known := c.hints.GetIfPresent(hash)
	if !known {
		c.hints.Set(hash, &[maxHolders]hint{{upstream: u, at: at}})
		return
	}
	slot := 0
	for i := range h {
		if h[i].upstream == u {
			slot = i
			break
		}
		if h[i].at.Before(h[slot].at) {
			slot = i
		}
	}
	if h[slot].upstream != u || h[slot].at.Before(at) {
		h[slot] = hint{upstream: u, at: at}
	}
}

func (c *prefixCache) remove(hash uint64, u *upstream) {
	if c.hints == nil {
		return
	}
	h, ok := c.hints.GetIfPresent(hash)
	if !ok {
		return
	}
	for i := range h {
		if h[i].upstream == u {
			h[i] = hint{}
		}
	}
}

// CacheStored records the cache event that an upstream stored prefix at a time.
func (t *Table) CacheStored(upstream string, prefix uint64, at time.Time) {
	if u := t.upstreams[upstream]; u != nil {
		t.prefixes.put(prefix, u, at)
	}
}

// CacheEvicted records the cache event that an upstream evicted prefix.
func (t *Table) CacheEvicted(upstream string, prefix uint64) {
	if u := t.upstreams[upstream]; u != nil {
		t.prefixes.remove(prefix, u)
	}
}

// CacheGap records that cache events of an upstream up to a time were missed,
// so that earlier hints count half.
func (t *Table) CacheGap(upstream string, at time.Time) {
	if u := t.upstreams[upstream]; u != nil {
		u.prefixGapAt = at
	}
}

// prefixSaving returns the time that the hints are expected to save on upstream
// u at now.
func (t *Table) prefixSaving(hints *[maxHolders]hint, u *upstream, now time.Time) time.Duration {
	for i := range hints {
		h := &hints[i]
		if h.upstream != u {
			continue
		}
		age := now.Sub(h.at)
		if age >= t.settings.PrefixTTL || h.at.Before(u.prefixValidFrom) {
			return 0
		}
		age = max(age, 0)
		saving := time.Duration(float64(t.settings.PrefixSaving) * (1 - float64(age)/float64(t.settings.PrefixTTL)))
		if h.at.Before(u.prefixGapAt) {
			saving /= 2
		}
		return saving
	}
	return 0
}
