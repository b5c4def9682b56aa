package dedup

import (
	"fmt"
	"hash/fnv"
)

// Owner returns the daemon that should own the partition: the one with the
// highest rendezvous hash, so that a change of membership moves only the
// partitions of the daemons that changed. It returns "" for no daemons. The
// order of daemons does not matter.
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

// mix spreads the bits of x (the finalizer of MurmurHash3). FNV alone favours
// some names, because inputs that differ in their last bytes have hashes that
// differ mostly in the low bits.
func mix64(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Stream returns the name of a partition's stream.
func StreamName(partition int) string { return fmt.Sprintf("claims-%02d", partition) }
