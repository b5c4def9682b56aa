package hrw

import "hash/fnv"

// Score returns the weight of name for key.
func Score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	// FNV leaves similar names with similar high bits; the finalizer of
	// MurmurHash3 spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// First returns the name with the highest weight for key, or "" for no names.
func First(key string, names []string) string {
	var best string
	var top uint64
	for _, n := range names {
		if s := Score(key, n); best == "" || s > top || s == top && n < best {
			best, top = n, s
		}
	}
	return best
}
