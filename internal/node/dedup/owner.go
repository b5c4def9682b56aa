package dedup

import (
	"fmt"
	"hash/fnv"
)

// PreferredOwner returns the daemon that should own the partition: the one with
// the highest rendezvous hash, so that a change of membership moves only the
// partitions of the daemons that changed. The result does not depend on the
// order of daemons; it is "" if there are none.
func PreferredOwner(partition int, daemons []string) string {
	best, bestHash := "", uint64(0)
	for _, d := range daemons {
		h := fnv.New64a()
		fmt.Fprintf(h, "%d/%s", partition, d)
		x := mix64(h.Sum64())
		if best == "" || x > bestHash || x == bestHash && d < best {
			best, bestHash = d, x
		}
	}
	return best
}

// mix64 is the 64-bit finalizer of MurmurHash3. Without it, FNV favours some
// names, because the hashes of inputs that differ only in their last bytes
// differ mostly in the low bits.
func mix64(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// StreamName returns the name of a partition's stream.
func StreamName(partition int) string { return fmt.Sprintf("claims-%02d", partition) }
