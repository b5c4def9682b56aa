package route

import "time"

// maxHolders is the number of upstreams remembered for a prefix.
const maxHolders = 4

type (
	// hint records that an upstream had a prefix in its cache at a time.
	hint struct {
		upstream *upstream
		at       time.Time
	}

	// prefixCache maps prefix hashes to hints. It keeps two generations and
	// drops the older one when the newer is full, which bounds its size without
	// an LRU list.
	prefixCache struct {
		limit    int
		cur, old map[uint64][maxHolders]hint
	}
)

func (c *prefixCache) get(hash uint64) ([maxHolders]hint, bool) {
	if h, ok := c.cur[hash]; ok {
		return h, true
	}
	h, ok := c.old[hash]
	return h, ok
}

func (c *prefixCache) put(hash uint64, u *upstream, at time.Time) {
	h, _ := c.get(hash)
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
	if len(c.cur) >= max(c.limit/2, 1) {
		if _, ok := c.cur[hash]; !ok {
			c.old, c.cur = c.cur, nil
		}
	}
	if c.cur == nil {
		c.cur = make(map[uint64][maxHolders]hint)
	}
	c.cur[hash] = h
}

func (c *prefixCache) remove(hash uint64, u *upstream) {
	for _, m := range []map[uint64][maxHolders]hint{c.cur, c.old} {
		if h, ok := m[hash]; ok {
			for i := range h {
				if h[i].upstream == u {
					h[i] = hint{}
				}
			}
			m[hash] = h
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
