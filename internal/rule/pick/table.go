package pick

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/rule/permit"
	"github.com/azurespan/azurespan/internal/rule/quota"
)

type (
	// Settings configures a Table.
	Settings struct {
		// FailureDomain is that of this daemon.
		FailureDomain string
	}

	// Table is the load balancing state of one daemon.
	Table struct {
		settings Settings
		limits   *quota.Table
		// permits are for the slots of contended engines; nil if there are none.
		permits *permit.Table
		// permitsRev is the revision of the permits for which upstreams know whether
		// they are contended.
		permitsRev uint64
		rng        *rand.Rand
		upstreams  map[string]*upstream
		byService  map[string][]*upstream
		// former are the upstreams that are no longer registered.
		former former
		// slots is the configured number of slots per engine, by service.
		slots map[string]int
		// brittleServices is what the last answer of any upstream of a service has said
		// of its being brittle.
		brittleServices map[string]brittleness
		// spacings keep requests to brittle plain services apart.
		spacings map[string]*spacing
		// restartTime is the moving average of the time from a crash of an upstream to
		// the registration of the next one at its address.
		restartTime time.Duration
		// daemons is the number of daemons that choose concurrently among the
		// same upstreams.
		daemons int
		// admits reports whether streams may begin at a version of a service; nil
		// admits all.
		admits func(service, version string) bool
		// candidates is a buffer that Choose reuses.
		candidates []candidate
	}

	// Query describes a request.
	Query struct {
		Key fleet.Key
		// PrefixKey identifies the prompt part that is shared with other
		// requests, empty if there is none.
		PrefixKey string
		// Tried lists the IDs of upstreams that must not be chosen again.
		Tried []string
		// Version is the only software version that may run the request, nil if any
		// may.
		Version *string
		// Begins is set for a request that begins a stream, unless Version is set.
		Begins bool
		// NoRetry is set for a request that can't be repeated.
		NoRetry bool
		// Limited is set by Choose: the upstream that could have run the
		// request but for its rate limit, empty if another one was chosen.
		Limited string
		// PausedUntil is set by Choose: if all upstreams that could have run the
		// request have asked for a pause, the end of the first.
		PausedUntil time.Time
	}

	// Choice is the result of Choose.
	Choice struct {
		Upstream fleet.Upstream
		// Load is the share of the upstream's slots in use.
		Load float64
		// Candidates is the number of upstreams that were compared.
		Candidates int
		// Granted is set if a slot of the upstream was granted for the request.
		Granted bool
		// Ejected is set if the upstream is ejected after recent failures, but
		// no other candidate was better.
		Ejected bool
	}

	// Reason is the result code of Choose: Found, or why there is no Choice.
	Reason uint8

	// Outcome is how an attempt ended.
	Outcome uint8

	candidate struct {
		up   *upstream
		cost float64
	}

	upstream struct {
		info fleet.Upstream
		// contended is set while the holder grants the upstream's slots.
		contended bool
		// closed is set while streams may not begin at the upstream's version.
		closed bool
		// models holds the sets of loaded adapters by model, as last reported;
		// engines only.
		models map[string]map[string]bool
		// missing holds when the engine last answered that it lacks a model or
		// adapter, by name.
		missing map[string]time.Time
		// running counts this daemon's requests in progress by key,
		// localRunning in total; remoteRunning is that of the other daemons.
		running       map[fleet.Key]int
		localRunning  int
		remoteRunning int
		// comparedOffset is the position of the register entry that models was
		// last compared with.
		comparedOffset      logpos.Position
		consecutiveFailures int
		ejectedUntil        time.Time
		// unconnectedAt is when a connection could first not be established since the
		// last sign of the upstream, zero if that was later.
		unconnectedAt time.Time
		// saidLeaving is set once the upstream has said that it is leaving.
		saidLeaving bool
		// pausedUntil is the end of the time for which the upstream has asked for no
		// requests.
		pausedUntil time.Time
		brittleness brittleness
		// room is this daemon's part of the room that a brittle engine had at drawnAt,
		// less what it has sent since.
		room    int
		drawnAt time.Time
		// restartedAt is when the upstream last said that it has started again since its
		// registration, so that its software version isn't known.
		restartedAt time.Time
		// silentSince is when the upstream, which has been silent since then, last
		// sent something; it is ejected until silentUntil.
		silentSince, silentUntil time.Time
		// heardAt is when the upstream last sent a part of a response.
		heardAt time.Time
		// probes counts the requests in progress that were sent after a
		// failure and before a success.
		probes int
		// errorRate is the moving average of the share of failures,
		// firstByteSeconds that of the time to the first byte, 0 before the
		// first sample.
		errorRate, firstByteSeconds float64
	}
)

// Values of Reason.
const (
	// Found means that an upstream was chosen.
	Found Reason = iota
	// NoUpstream means that the service has no usable upstream.
	NoUpstream
	// NotLoaded means that no usable upstream has loaded the model or adapter.
	NotLoaded
	// Full means that every upstream that could run the request is full.
	Full
	// OtherVersion means that there are usable upstreams of other versions than the
	// Query's only.
	OtherVersion
)

// Values of Outcome.
const (
	// Succeeded is a complete successful response.
	Succeeded Outcome = iota
	// Failed is a complete error response that the upstream is to blame for.
	Failed
	// Interrupted is a missing or incomplete response.
	Interrupted
	// Rejected means that the upstream did not run the request because it is
	// full.
	Rejected
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// Inconclusive means that the caller disconnected or the deadline passed.
	Inconclusive
	// GivenUp means that the upstream was silent and another one has taken the
	// request over. Silent records the silence.
	GivenUp
)

const (
	// minEjection is the ejection time after one failure. It doubles with each
	// further failure, at most maxEjectionDoublings times and up to maxEjection.
	minEjection          = 400 * time.Millisecond
	maxEjection          = 4 * time.Second
	maxEjectionDoublings = 5
	// minSilence is the least time without any response that counts as a silence;
	// Heard is called less often than a stream's events come.
	minSilence = 300 * time.Millisecond
	// interruptionLimit is the number of consecutive failures from which an
	// interrupted response ejects an upstream; a failed connection ejects it
	// at once.
	interruptionLimit = 2
	// missingTTL is how long an engine's answer that a model isn't loaded
	// overrides the last report.
	missingTTL = 250 * time.Millisecond
	// restartedTTL is how long an upstream's word that it has started again holds, unless
	// it registers earlier: reports name the time of the start, and one that is wrong
	// must not keep a sound upstream from streams for longer than a status report takes.
	restartedTTL = 2 * time.Second
	// ewmaWeight is the weight of a new sample in the moving averages.
	ewmaWeight = 0.15
	// engineMaxLoad is the load at which an engine is full. Further requests
	// wait in the daemon, which can still reorder them.
	engineMaxLoad = 1.0
	// serviceMaxLoad is the same for a plain service, whose requests are short.
	serviceMaxLoad = 3.0
	// minFirstByteSamples is the number of upstreams with a latency sample that
	// a median needs; maxFirstByteSamples bounds those it is taken over.
	minFirstByteSamples = 2
	maxFirstByteSamples = 64
	// minPartitionEjections is the number of ejected upstreams from which a
	// failure domain can count as partitioned; at most maxPartitionDomains
	// failure domains are examined.
	minPartitionEjections = 2
	maxPartitionDomains   = 8
)

// Costs are in units of load, that is shares of an upstream's slots.
const (
	// crossDomainCost is added for an upstream in another failure domain.
	crossDomainCost = 0.04
	// coldCost is added for an upstream that is still slow after its start.
	coldCost = 0.2
	// slownessCost is added per unit by which the slowness factor exceeds 1.
	slownessCost = 0.15
	// maxSlowFactor bounds the slowness factor.
	maxSlowFactor = 8.0
	// prefixDiscount is the largest discount for an upstream that shares a
	// prompt part; it applies below a load of prefixMaxLoad.
	prefixDiscount = 0.12
	prefixMaxLoad  = 0.7
	// errorCost is multiplied by the error rate.
	errorCost = 3.0
	// ejectedCost and suspectCost rank an upstream behind all healthy ones.
	ejectedCost = 100.0
	// limitedCost is added for an upstream with a rate limit, which is in need:
	// it comes after all healthy ones that aren't full.
	limitedCost = 10.0
	suspectCost = 50.0
	// unseenPerDaemon is the load that another daemon may have added to an
	// upstream since its last report; maxUnseen bounds the sum over daemons,
	// and minUnseen breaks ties.
	unseenPerDaemon = 0.01
	maxUnseen       = 0.3
	minUnseen       = 0.01
)

// String returns the name of r for logs.
func (r Reason) String() string {
	return [...]string{"found", "no-upstream", "no-copy", "full", "other-version"}[r]
}

// String returns the name of o for logs.
func (o Outcome) String() string {
	return [...]string{"good", "failed", "broken", "refused", "unconnected", "neutral", "given-up"}[o]
}

// New returns an empty Table that respects limits.
func New(settings Settings, limits *quota.Table, rng *rand.Rand) *Table {
	return &Table{settings: settings, limits: limits, rng: rng, upstreams: map[string]*upstream{}, byService: map[string][]*upstream{}, former: former{map[string]removed{}}, slots: map[string]int{}, brittleServices: map[string]brittleness{}, spacings: map[string]*spacing{}, daemons: 1, restartTime: defaultRestartTime}
}

// Configure replaces the engines' slots by those of cfg.
func (t *Table) Configure(cfg *fleet.Config) {
	clear(t.slots)
	for name, s := range cfg.Services {
		if s.Engine != nil {
			t.slots[name] = s.Engine.Slots
		}
	}
}

// SetUpstreams replaces the registered upstreams. heard tells whether the
// holder's reports are current; without them, the models that a newer register
// entry lists are taken over.
func (t *Table) SetUpstreams(now time.Time, registered []fleet.Upstream, heard bool) {
	lost := t.unconnectedByAddress()
	seen := make(map[string]bool, len(registered))
	for _, r := range registered {
		seen[r.ID] = true
		u := t.upstreams[r.ID]
		if u == nil {
			u = t.former.take(r)
		}
		if u == nil || u.info.Born != r.Born {
			u = &upstream{running: map[fleet.Key]int{}, missing: map[string]time.Time{}}
			if at, ok := lost[r.Address]; ok {
				t.restartTime += time.Duration(ewmaWeight * float64(now.Sub(at)-t.restartTime))
			}
		}
		t.upstreams[r.ID] = u
		u.info = r
		if u.models == nil || !heard && u.comparedOffset.Before(r.Offset) {
			u.setModels(r.Holding.Models)
		}
		u.comparedOffset = r.Offset
		u.contended = t.permits != nil && t.permits.IsContended(r.ID)
		u.closed = t.admits != nil && !t.admits(r.Service, r.Version)
	}
	t.former.expire(now)
	clear(t.byService)
	for id, u := range t.upstreams {
		if !seen[id] {
			delete(t.upstreams, id)
			t.former.add(now, u)
			continue
		}
		t.byService[u.info.Service] = append(t.byService[u.info.Service], u)
	}
	for _, us := range t.byService {
		sort.Slice(us, func(i, j int) bool { return us[i].info.ID < us[j].info.ID })
	}
}

// HasVersions reports whether a service has upstreams of several software versions.
func (t *Table) HasVersions(service string) bool {
	us := t.byService[service]
	return slices.ContainsFunc(us, func(u *upstream) bool { return u.info.Version != us[0].info.Version })
}

// SetAdmission has streams begin at the versions alone that admits reports, as it does now.
func (t *Table) SetAdmission(admits func(service, version string) bool) {
	t.admits = admits
	for _, u := range t.upstreams {
		u.closed = !admits(u.info.Service, u.info.Version)
	}
}

func (u *upstream) setModels(models []fleet.LoadedModel) {
	u.models = make(map[string]map[string]bool, len(models))
	for _, m := range models {
		adapters := make(map[string]bool, len(m.Adapters))
		for _, a := range m.Adapters {
			adapters[a] = true
		}
		u.models[m.Model] = adapters
	}
}

// SetCopies replaces the loaded models of engines by those in the inventories
// that the holder reports.
func (t *Table) SetCopies(inventories []fleet.Inventory) {
	for _, c := range inventories {
		if u := t.upstreams[c.ID]; u != nil && (c.Born == u.info.Born || c.Born == 0) {
			u.setModels(c.Held)
			clear(u.missing)
		}
	}
}

// SetRemoteRunning replaces the other daemons' requests in progress by
// upstream. rest is the load of those that running doesn't have, in requests per slot.
func (t *Table) SetRemoteRunning(running map[string]int, rest float64) {
	for id, u := range t.upstreams {
		n, told := running[id]
		if !told && rest > 0 {
			n = int(rest * float64(t.concurrency(u)))
		}
		u.remoteRunning = n
	}
}

// SetDaemons sets the number of daemons that choose among the same upstreams.
func (t *Table) SetDaemons(n int) { t.daemons = max(n, 1) }

// Usable reports whether the upstream is still registered under the same
// incarnation and isn't leaving.
func (t *Table) Usable(up fleet.Upstream) bool {
	u := t.upstreams[up.ID]
	return u != nil && u.info.Born == up.Born && !u.leaving()
}

// Find returns the registered upstream with an ID.
func (t *Table) Find(id string) (fleet.Upstream, bool) {
	u := t.upstreams[id]
	if u == nil {
		return fleet.Upstream{}, false
	}
	return u.info, true
}

// Running adds this daemon's requests in progress by upstream to dst.
func (t *Table) Running(dst map[string]map[fleet.Key]int) {
	for id, u := range t.upstreams {
		if len(u.running) == 0 {
			continue
		}
		m := make(map[fleet.Key]int, len(u.running))
		for k, n := range u.running {
			m[k] = n
		}
		dst[id] = m
	}
}

// Ejected returns the IDs of the upstreams that are ejected at now, sorted.
func (t *Table) Ejected(now time.Time) (ids []string) {
	for id, u := range t.upstreams {
		if u.ejected(now) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Unreachable returns the IDs of the upstreams that are ejected at now, or have shown no
// sign since a connection could not be established, sorted. The latter may be tried again,
// but must not be relied on.
func (t *Table) Unreachable(now time.Time) (ids []string) {
	for id, u := range t.upstreams {
		if !u.unconnectedAt.IsZero() || u.ejected(now) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Known reports whether the upstream with the ID is registered.
func (t *Table) Known(id string) bool { return t.upstreams[id] != nil }
