package route

import "time"

// holders is the number of upstreams remembered for a prefix.
const holders = 4

type (
	// hint says that an upstream had a prefix in its cache at a time.
	hint struct {
		up *upstream
		at time.Time
	}

	// prefixCache maps prefix hashes to hints. It keeps two generations and
	// drops the older one when the newer is full, which bounds it without a
	// list in order of use.
	prefixCache struct {
		limit    int
		cur, old map[uint64][holders]hint
	}
)

func (c *prefixCache) get(hash uint64) ([holders]hint, bool) {
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
		if h[i].up == u {
			slot = i
			break
		}
		if h[i].at.Before(h[slot].at) {
			slot = i
		}
	}
	if h[slot].up != u || h[slot].at.Before(at) {
		h[slot] = hint{up: u, at: at}
	}
	if len(c.cur) >= max(c.limit/2, 1) {
		if _, ok := c.cur[hash]; !ok {
			c.old, c.cur = c.cur, nil
		}
	}
	if c.cur == nil {
		c.cur = make(map[uint64][holders]hint)
	}
	c.cur[hash] = h
}

func (c *prefixCache) remove(hash uint64, u *upstream) {
	for _, m := range []map[uint64][holders]hint{c.cur, c.old} {
		if h, ok := m[hash]; ok {
			for i := range h {
				if h[i].up == u {
					h[i] = hint{}
				}
			}
			m[hash] = h
		}
	}
}

// CacheStored records a cache event: the upstream has had prefix since at.
func (t *Table) CacheStored(upstream string, prefix uint64, at time.Time) {
	if u := t.upstreams[upstream]; u != nil {
		t.prefixes.put(prefix, u, at)
	}
}

// CacheEvicted records a cache event: the upstream no longer has prefix.
func (t *Table) CacheEvicted(upstream string, prefix uint64) {
	if u := t.upstreams[upstream]; u != nil {
		t.prefixes.remove(prefix, u)
	}
}

// CacheGap records that cache events of an upstream up to at were missed, so
// that hints from before count half.
func (t *Table) CacheGap(upstream string, at time.Time) {
	if u := t.upstreams[upstream]; u != nil {
		u.prefixGap = at
	}
}

// saving is what the hints save on upstream u at now.
func (t *Table) saving(hints *[holders]hint, u *upstream, now time.Time) time.Duration {
	for i := range hints {
		h := &hints[i]
		if h.up != u {
			continue
		}
		age := now.Sub(h.at)
		if age >= t.s.PrefixTTL || h.at.Before(u.prefixFrom) {
			return 0
		}
		age = max(age, 0)
		s := time.Duration(float64(t.s.PrefixSaving) * (1 - float64(age)/float64(t.s.PrefixTTL)))
		if h.at.Before(u.prefixGap) {
			s /= 2
		}
		return s
	}
	return 0
}
