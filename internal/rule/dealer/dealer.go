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
		// probedAt is when a permit was last given unasked.
		probedAt time.Time
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

// Count returns the number of upstreams that have a limit.
func (d *Dealer) Count() int { return d.limits.Count() }

// Deal returns the permits for a daemon that wants a number of them by upstream. If
// callers send it requests, it also gets one for an upstream of whose limit there has
// been no news, because other upstreams served all requests.
func (d *Dealer) Deal(now time.Time, wants map[string]int, hasCallers bool) map[string]int {
	permits := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(wants)) {
		if perSecond, limited := d.limits.PerSecond(id); limited {
			d.bucket(now, id, perSecond).take(wants[id], id, permits)
		}
	}
	for _, n := range d.limits.Named(now) {
		if !hasCallers || !d.limits.Stale(now, n.Upstream) {
			continue
		}
		if b := d.bucket(now, n.Upstream, n.PerSecond); now.Sub(b.probedAt) > quota.StaleAfter {
			b.probedAt = now
			b.take(1, n.Upstream, permits)
		}
	}
	for id, b := range d.buckets {
		if now.Sub(b.filledAt) > idleTime {
			delete(d.buckets, id)
		}
	}
	return permits
}

// bucket returns the bucket of an upstream, filled until now.
func (d *Dealer) bucket(now time.Time, id string, perSecond float64) *bucket {
	b := d.buckets[id]
	if b == nil {
		b = &bucket{filledAt: now}
		d.buckets[id] = b
	}
	b.fill(now, perSecond)
	return b
}

// take takes up to n permits and adds them to permits.
func (b *bucket) take(n int, id string, permits map[string]int) {
	if n = min(n, int(b.permits)); n > 0 {
		b.permits -= float64(n)
		permits[id] += n
	}
}

// fill adds the permits that have accrued.
func (b *bucket) fill(now time.Time, perSecond float64) {
	if now.After(b.filledAt) {
		b.permits += perSecond * now.Sub(b.filledAt).Seconds()
		b.filledAt = now
	}
	b.permits = min(b.permits, 1+perSecond*maxSaved.Seconds())
}
