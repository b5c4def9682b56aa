package paths

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Table is what a daemon knows of the paths to upstreams. It is safe for
	// concurrent use.
	Table struct {
		self fleet.PathReport

		mu sync.Mutex
		// failed is when an upstream last didn't accept a connection of this daemon,
		// and down when a forwarder last said the same.
		failed, down map[string]time.Time
		// probed is when a path that had failed was last tried again.
		probed map[string]time.Time
		// directAt and forwardedAt are when a connection was last established over
		// either way.
		directAt, forwardedAt time.Time
		// forwarders are the addresses of the daemons that forward, in the order of
		// preference, and avoid holds until when one isn't used.
		forwarders []string
		avoid      map[string]time.Time
	}

	// Plan is how to connect to an upstream.
	Plan struct {
		// Direct is set if the daemon's own path is tried first, for at most
		// DirectFor if that isn't zero.
		Direct    bool
		DirectFor time.Duration
		// Forwarders are the daemons to be asked in this order.
		Forwarders []string
		// Probe is set if the daemon's own path is to be tried as well, to learn
		// whether it is back.
		Probe bool
	}
)

const (
	// failureTTL is how long a failed connection counts. Probes keep it short once
	// the path is back.
	failureTTL = 3 * time.Second
	// downTTL is how long an upstream that nobody reached isn't asked for through
	// forwarders.
	downTTL = time.Second
	// probeInterval is the time between two attempts on a path that has failed.
	probeInterval = 500 * time.Millisecond
	// directWait is how long a connection may take before a forwarder is asked: the
	// longest round trip between failure domains is 8 ms, and a daemon whose
	// processor time is limited may stand still for 100 ms.
	directWait = 100 * time.Millisecond
	// minCutOff is the number of upstreams that must have failed since the last
	// connection over the daemon's own path for it to count as lost.
	minCutOff = 2
	// avoidForwarder is how long a daemon isn't asked to forward after it failed to.
	avoidForwarder = time.Second
	// maxAsked bounds the forwarders of a Plan.
	maxAsked = 2
)

// New returns a Table of a daemon that forwards on an address and stands in a failure
// domain.
func New(address, failureDomain string) *Table {
	return &Table{
		self:   fleet.PathReport{Address: address, FailureDomain: failureDomain},
		failed: map[string]time.Time{}, down: map[string]time.Time{}, probed: map[string]time.Time{}, avoid: map[string]time.Time{},
	}
}

// Plan returns how to connect to an upstream at now.
func (t *Table) Plan(now time.Time, upstream string) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	forwarders := t.usable(now)
	if len(forwarders) == 0 || within(now, t.down[upstream], downTTL) {
		return Plan{Direct: true}
	}
	if !within(now, t.failed[upstream], failureTTL) && !t.cutOff(now) {
		return Plan{Direct: true, DirectFor: directWait, Forwarders: forwarders}
	}
	p := Plan{Forwarders: forwarders, Probe: !within(now, t.probed[upstream], probeInterval)}
	if p.Probe {
		t.probed[upstream] = now
	}
	return p
}

// usable returns the forwarders that haven't failed recently. t.mu must be held.
func (t *Table) usable(now time.Time) []string {
	var out []string
	for _, f := range t.forwarders {
		if !now.Before(t.avoid[f]) && len(out) < maxAsked {
			out = append(out, f)
		}
	}
	return out
}

// Direct records whether an upstream accepted a connection of this daemon, and reports
// whether the daemon's own path counts as lost before and after.
func (t *Table) Direct(now time.Time, upstream string, ok bool) (before, after bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.cutOff(now)
	if ok {
		delete(t.failed, upstream)
		delete(t.down, upstream)
		t.directAt = now
		return before, false
	}
	t.failed[upstream] = now
	return before, t.cutOff(now)
}

// Forwarded records that a forwarder has established a connection to an upstream, or
// that the upstream didn't accept it.
func (t *Table) Forwarded(now time.Time, upstream string, ok bool) (before, after bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.cutOff(now)
	if ok {
		delete(t.down, upstream)
		t.forwardedAt = now
	} else {
		t.down[upstream] = now
	}
	return before, t.cutOff(now)
}

// ForwarderFailed records that a forwarder couldn't be reached or can't forward.
func (t *Table) ForwarderFailed(now time.Time, forwarder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoid[forwarder] = now.Add(avoidForwarder)
}

// CutOff reports whether the daemon's own path to upstreams counts as lost: several of
// them have failed since the last connection over it, and are reached by others.
func (t *Table) CutOff(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff(now)
}

// cutOff is CutOff for callers that hold t.mu.
func (t *Table) cutOff(now time.Time) bool {
	t.expire(now)
	if !t.forwardedAt.After(t.directAt) || !within(now, t.forwardedAt, failureTTL) {
		return false
	}
	n := 0
	for _, at := range t.failed {
		if at.After(t.directAt) {
			n++
		}
	}
	return n >= minCutOff
}

// expire forgets what no longer counts. t.mu must be held.
func (t *Table) expire(now time.Time) {
	for _, m := range []map[string]time.Time{t.failed, t.down, t.probed} {
		for id, at := range m {
			if !within(now, at, failureTTL) {
				delete(m, id)
			}
		}
	}
	for f, until := range t.avoid {
		if !now.Before(until) {
			delete(t.avoid, f)
		}
	}
}

// within reports whether less than d has passed since a time, which is zero if it
// never came.
func within(now, at time.Time, d time.Duration) bool { return !at.IsZero() && now.Sub(at) < d }

// SetForwarders replaces the addresses of the daemons that forward.
func (t *Table) SetForwarders(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwarders = slices.Clone(addresses)
}

// Report returns what the holder is told at now.
func (t *Table) Report(now time.Time) fleet.PathReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.self
	r.CutOff, r.Known = t.cutOff(now), Digest(t.forwarders)
	return r
}

// Digest returns a hash of a list of forwarders, by which the holder finds that a
// daemon knows another one.
func Digest(addresses []string) uint64 {
	h := fnv.New64a()
	for _, a := range addresses {
		_, _ = h.Write([]byte(a))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
