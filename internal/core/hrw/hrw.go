package hrw

import (
	"hash/fnv"
	"sort"
)

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
func Best(key string, names []string) string {
	var best string
	var top uint64
	for _, n := range names {
		if s := Score(key, n); best == "" || s > top || s == top && n < best {
			best, top = n, s
		}
	}
	return best
}

// Top appends to dst the n names with the highest weights for key, the highest
// first, and returns it.
func Top(dst []string, key string, names []string, n int) []string {
	at := len(dst)
	dst = append(dst, names...)
	all := dst[at:]
	sort.Slice(all, func(i, j int) bool {
		a, b := Score(key, all[i]), Score(key, all[j])
		return a > b || a == b && all[i] < all[j]
	})
	return dst[:at+min(n, len(all))]
}

// Spread assigns each key to a name such that no name has more than
// ceil(len(keys)/len(names)) of them: keys are taken in order, and each goes to
// the name with the highest weight that has room. keys must be in the same
// order everywhere. It returns nil for no names.
//
// Reference: V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing
// with bounded loads", SODA 2018, with rendezvous hashing in place of a ring.
func AssignBounded(keys, names []string) map[string]string {
	if len(names) == 0 {
		return nil
	}
	room := (len(keys) + len(names) - 1) / len(names)
	used := make(map[string]int, len(names))
	out := make(map[string]string, len(keys))
	for _, k := range keys {
		var best string
		var top uint64
		for _, n := range names {
			if used[n] >= room {
				continue
			}
			if s := Score(k, n); best == "" || s > top || s == top && n < best {
				best, top = n, s
			}
		}
		used[best]++
		out[k] = best
	}
	return out
}
