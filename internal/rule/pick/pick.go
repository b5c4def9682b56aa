package pick

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
)

type (
	// Settings of a Table.
	Settings struct {
		// FailureDomain of this daemon.
		FailureDomain string
	}

	// Table is the state of one daemon.
	Table struct {
		set    Settings
		rng    *rand.Rand
		ups    map[string]*state
		byName map[string][]*state
		// slots of an engine by service, from the configuration.
		slots map[string]int
		// daemons is the number of daemons that choose at the same time.
		daemons int
		// weighed is used by Choose only.
		weighed []weighed
	}

	// Query describes a request.
	Query struct {
		Key fleet.Key
		// Session is the shared part of the prompt, empty if there is none.
		PrefixKey string
		// Tried upstreams aren't chosen again.
		Tried []string
		// Once is set for a request that can't be repeated.
		NoRetry bool
	}

	// Choice is the result of Choose.
	Choice struct {
		Upstream fleet.Upstream
		// Load is the share of its slots in use, Others the number of
		// upstreams that were weighed.
		Load       float64
		Candidates int
		// Aside is set if all others are worse although this one has failed
		// lately.
		Ejected bool
	}

	// Reason says why there is no Choice.
	Reason uint8

	// End is how an attempt ended.
	Outcome uint8

	weighed struct {
		s    *state
		cost float64
	}

	state struct {
		up fleet.Upstream
		// held has the adapters by model, as last heard; models of engines
		// only.
		held map[string]map[string]bool
		// missing are models and adapters that the engine said it lacks.
		missing map[string]time.Time
		running map[fleet.Key]int
		own     int
		others  int
		// heldAt is the offset of the register's entry that held was last
		// compared with.
		heldAt int64
		// fails counts failures in a row, aside is until when it is avoided.
		fails int
		aside time.Time
		// trial is set while one request tests an upstream that was aside.
		trial int
		// errors is the smoothed share of failures, slow the smoothed time to
		// the first byte in seconds, 0 before the first.
		errors, slow float64
	}
)

// Reasons.
const (
	// Found: there is a Choice.
	Found Reason = iota
	// NoUpstream: the service has none that may be used.
	NoUpstream
	// NoCopy: no usable upstream holds the model or adapter.
	NotLoaded
	// Full: all that could run it are full.
	Full
)

// Ends of an attempt.
const (
	// Good: a complete answer.
	Succeeded Outcome = iota
	// Failed: the upstream's own failure, complete.
	Failed
	// Broken: no or no whole answer.
	Interrupted
	// Refused: the upstream didn't run it, because it is full.
	Rejected
	// Unconnected: no connection could be made.
	ConnectFailed
	// Neutral: the caller left, or the time was up.
	Inconclusive
)

const (
	// firstAside and lastAside bound how long a failing upstream is avoided.
	firstAside = 400 * time.Millisecond
	lastAside  = 4 * time.Second
	// brokenLimit is the number of broken answers in a row from which an
	// upstream is set aside; a failed connection does so at once.
	brokenLimit = 2
	// missingFor is how long the statement that a model isn't loaded goes
	// before what was heard.
	missingFor = 250 * time.Millisecond
	// smoothing of shares and times, per observation.
	smoothing = 0.15
	// overfill is the share of its slots that an engine may be given. What
	// waits beyond them waits here, where the order can still change.
	overfill = 1.0
	// queueFill is the same for a plain service, whose requests are short.
	queueFill = 3.0
	// crossCost is the cost of another failure domain, in shares of slots.
	crossCost = 0.04
	// sessionGain is what a shared prompt part saves, in shares of slots.
	sessionGain = 0.12
	// sessionLoad is the load from which a shared prompt doesn't count.
	sessionLoad = 0.7
	// errorCost is the cost of a failure, in shares of slots.
	errorCost = 3.0
	// asideCost and suspectCost put an upstream behind all that are better.
	asideCost   = 100.0
	suspectCost = 50.0
	// unseenPerDaemon is what another daemon may have sent to an upstream
	// since it was heard, in shares of slots; mostUnseen bounds the sum, and
	// leastUnseen breaks ties.
	unseenPerDaemon = 0.01
	mostUnseen      = 0.3
	leastUnseen     = 0.01
	// slowest bounds the factor by which slowness counts.
	slowest = 8.0
)

// String returns the name of r for logs.
func (r Reason) String() string {
	return [...]string{"found", "no-upstream", "no-copy", "full"}[r]
}

// String returns the name of e for logs.
func (e Outcome) String() string {
	return [...]string{"good", "failed", "broken", "refused", "unconnected", "neutral"}[e]
}

// New returns an empty Table.
func New(set Settings, rng *rand.Rand) *Table {
	return &Table{set: set, rng: rng, ups: map[string]*state{}, byName: map[string][]*state{}, slots: map[string]int{}, daemons: 1}
}

// Configure takes the limits of the services over.
func (t *Table) Configure(cfg *fleet.Config) {
	clear(t.slots)
	for name, s := range cfg.Services {
		if s.Engine != nil {
			t.slots[name] = s.Engine.Slots
		}
	}
}

// SetUpstreams replaces the registered upstreams. What they say that they hold
// counts until it is heard from the holder.
func (t *Table) SetUpstreams(ups []fleet.Upstream, heard bool) {
	seen := make(map[string]bool, len(ups))
	for _, u := range ups {
		seen[u.ID] = true
		s := t.ups[u.ID]
		if s == nil || s.up.Born != u.Born {
			s = &state{running: map[fleet.Key]int{}, missing: map[string]time.Time{}}
			t.ups[u.ID] = s
		}
		s.up = u
		if s.held == nil || !heard && u.Offset > s.heldAt {
			s.hold(u.Holding.Models)
		}
		s.heldAt = u.Offset
	}
	clear(t.byName)
	for id, s := range t.ups {
		if !seen[id] {
			delete(t.ups, id)
			continue
		}
		t.byName[s.up.Service] = append(t.byName[s.up.Service], s)
	}
	for _, ss := range t.byName {
		sort.Slice(ss, func(i, j int) bool { return ss[i].up.ID < ss[j].up.ID })
	}
}

func (s *state) hold(models []fleet.LoadedModel) {
	s.held = make(map[string]map[string]bool, len(models))
	for _, m := range models {
		as := make(map[string]bool, len(m.Adapters))
		for _, a := range m.Adapters {
			as[a] = true
		}
		s.held[m.Model] = as
	}
}

// SetCopies takes over what the holder says of engines.
func (t *Table) SetCopies(copies []fleet.Inventory) {
	for _, c := range copies {
		if s := t.ups[c.ID]; s != nil && (c.Born == s.up.Born || c.Born == 0) {
			s.hold(c.Held)
			clear(s.missing)
		}
	}
}

// SetOthers replaces the requests in progress of the other daemons.
func (t *Table) SetRemoteRunning(running map[string]int) {
	for id, s := range t.ups {
		s.others = running[id]
	}
}

// SetDaemons takes over how many daemons choose among the same upstreams.
func (t *Table) SetDaemons(n int) { t.daemons = max(n, 1) }

// Usable reports whether the upstream is still registered under the incarnation
// and isn't leaving.
func (t *Table) Usable(up fleet.Upstream) bool {
	s := t.ups[up.ID]
	return s != nil && s.up.Born == up.Born && !s.up.Leaving
}

// Running adds this daemon's requests in progress by upstream to dst.
func (t *Table) Running(dst map[string]map[fleet.Key]int) {
	for id, s := range t.ups {
		if len(s.running) == 0 {
			continue
		}
		m := make(map[fleet.Key]int, len(s.running))
		for k, n := range s.running {
			m[k] = n
		}
		dst[id] = m
	}
}

// Aside returns the upstreams that are set aside at now.
func (t *Table) Ejected(now time.Time) (ids []string) {
	for id, s := range t.ups {
		if now.Before(s.aside) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Known reports whether the upstream with the id is registered.
func (t *Table) Known(id string) bool { return t.ups[id] != nil }
