package hrw

import (
	"hash/fnv"
	"sort"
)

// Parameters of fmix64, the finalizer of MurmurHash3.
const (
	fmixShift       = 33
	fmixMultiplier1 = 0xff51afd7ed558ccd
	fmixMultiplier2 = 0xc4ceb9fe1a85ec53
)

// Score returns the weight of name for key.
func Score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	// FNV gives similar names similar high bits; the finalizer of MurmurHash3
	// (fmix64) distributes them evenly.
	x := h.Sum64()
	x ^= x >> fmixShift
	x *= fmixMultiplier1
	x ^= x >> fmixShift
	x *= fmixMultiplier2
	return x ^ x>>fmixShift
}

// Best returns the name with the highest weight for key, or "" if there are no
// names.
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
	start := len(dst)
	dst = append(dst, names...)
	all := dst[start:]
	sort.Slice(all, func(i, j int) bool {
		a, b := Score(key, all[i]), Score(key, all[j])
		return a > b || a == b && all[i] < all[j]
	})
	return dst[:start+min(n, len(all))]
}

// AssignBounded assigns each key to a name such that no name has more than
// ceil(len(keys)/len(names)) keys: the keys are assigned in order, each to the
// name with the highest weight that has capacity left. All daemons must pass
// keys in the same order. It returns nil if there are no names.
//
// Reference: V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing
// with bounded loads", SODA 2018, with rendezvous hashing in place of a ring.
func AssignBounded(keys, names []string) map[string]string {
	if len(names) == 0 {
		return nil
	}
	capacity := (len(keys) + len(names) - 1) / len(names)
	used := make(map[string]int, len(names))
	out := make(map[string]string, len(keys))
	for _, k := range keys {
		var best string
		var top uint64
		for _, n := range names {
			if used[n] >= capacity {
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
