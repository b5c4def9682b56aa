package dealer

import (
	"maps"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/rule/quota"
)

type (
	// Dealer gives permits. It is not safe for concurrent use.
	Dealer struct {
		limits  *quota.Table
		buckets map[string]*bucket
	}

	// bucket holds the permits that may be given for one upstream.
	bucket struct {
		permits  float64
		filledAt time.Time
	}
)

const (
	// maxSaved is the time for which unused permits are saved, beside one. Daemons
	// ask each 0.2 s.
	maxSaved = 250 * time.Millisecond
	// idleTime is the time without a request for permits after which a bucket is
	// forgotten. It is then empty at the next one.
	idleTime = time.Minute
)

// New returns a Dealer without limits.
func New() *Dealer { return &Dealer{limits: quota.New(), buckets: map[string]*bucket{}} }

// Learn takes over limits that a daemon knows, and reports whether any is news.
func (d *Dealer) Learn(now time.Time, limits []fleet.NamedLimit) bool {
	return d.limits.Learn(now, limits)
}

// Limits returns the known limits, for daemons.
func (d *Dealer) Limits(now time.Time) []fleet.NamedLimit { return d.limits.Named(now) }

// Deal returns the permits for a daemon that wants a number of them by upstream.
func (d *Dealer) Deal(now time.Time, wants map[string]int) map[string]int {
	var permits map[string]int
	for _, id := range slices.Sorted(maps.Keys(wants)) {
		perSecond, limited := d.limits.PerSecond(id)
		if !limited {
			continue
		}
		b := d.buckets[id]
		if b == nil {
			b = &bucket{filledAt: now}
			d.buckets[id] = b
		}
		b.fill(now, perSecond)
		n := min(wants[id], int(b.permits))
		if n <= 0 {
			continue
		}
		b.permits -= float64(n)
		if permits == nil {
			permits = map[string]int{}
		}
		permits[id] = n
	}
	for id, b := range d.buckets {
		if now.Sub(b.filledAt) > idleTime {
			delete(d.buckets, id)
		}
	}
	return permits
}

// fill adds the permits that have accrued.
func (b *bucket) fill(now time.Time, perSecond float64) {
	if now.After(b.filledAt) {
		b.permits += perSecond * now.Sub(b.filledAt).Seconds()
		b.filledAt = now
	}
	b.permits = min(b.permits, 1+perSecond*maxSaved.Seconds())
}
