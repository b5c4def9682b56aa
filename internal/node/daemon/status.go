package daemon

import (
	"fmt"
	"sort"
	"strings"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
)

type (
	// Status is the answer to the status command.
	Status struct {
		Daemon        string `json:"daemon"`
		FailureDomain string `json:"failure-domain"`
		Ready         bool   `json:"ready"`
		// Missing names the conditions that the daemon lacks to serve.
		Missing  []string `json:"missing"`
		Applied  uint64   `json:"applied"`
		Version  uint64   `json:"version"`
		Operator string   `json:"operator"`
		LogUp    bool     `json:"log-reachable"`
		Degraded []string `json:"degraded"`

		Daemons      []DaemonStatus      `json:"hosts"`
		Upstreams    []UpstreamStatus    `json:"upstreams"`
		FormerOwners []FormerOwnerStatus `json:"former-owners"`
		Replicas     []ReplicaStatus     `json:"replicas"`
		// Claims lists the claims partitions that this daemon owns.
		Claims []int `json:"claims-partitions"`
	}

	// DaemonStatus describes a daemon.
	DaemonStatus struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure-domain"`
		Status        string `json:"status"`
		Address       string `json:"address"`
	}

	// UpstreamStatus describes an upstream and its owner. Plain services have
	// no owner and send no reports; their status is "not-watched".
	UpstreamStatus struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure-domain"`
		Status        string `json:"status"`
		Owner         string `json:"owner"`
		Epoch         uint64 `json:"epoch"`
		ReservedBytes int64  `json:"reserved-bytes"`
		MemoryBytes   int64  `json:"memory-bytes"`
		Running       int    `json:"running"`
		Queued        int    `json:"queued"`
	}

	// FormerOwnerStatus is a replaced owner of an upstream that has not
	// acknowledged the loss.
	FormerOwnerStatus struct {
		Upstream       string `json:"upstream"`
		Daemon         string `json:"daemon"`
		Epoch          uint64 `json:"epoch"`
		LostAt         uint64 `json:"lost-at"`
		IgnoresFencing bool   `json:"ignores-fencing"`
	}

	// ReplicaStatus describes a granted replica.
	ReplicaStatus struct {
		Upstream  string `json:"upstream"`
		Model     string `json:"model"`
		Version   string `json:"version"`
		GrantedAt uint64 `json:"granted-at"`
		Loaded    bool   `json:"loaded"`
	}
)

const (
	// notWatched is the status of an upstream of a plain service.
	notWatched = "not-watched"
	// resignedSuffix marks an owner that has resigned.
	resignedSuffix = " (resigned)"
)

// Status returns what the daemon knows about the deployment.
func (d *Daemon) Status() Status {
	s := Status{
		Daemon: d.name, FailureDomain: d.settings.Daemon.FailureDomain, Missing: d.front.Missing(), Degraded: []string{}, Daemons: []DaemonStatus{},
		Upstreams: []UpstreamStatus{}, FormerOwners: []FormerOwnerStatus{}, Replicas: []ReplicaStatus{}, Claims: append([]int{}, d.dedup.OwnedPartitions()...),
	}
	s.Ready = len(s.Missing) == 0
	var controlReady bool
	_, controlReady, s.LogUp = d.follower.Status()
	facts := map[member.Key]member.Fact{}
	d.gossip.Do(func(m *member.Set) {
		for _, k := range []member.Kind{member.Daemon, member.Upstream, member.UpstreamLoad} {
			m.Each(k, func(f member.Fact) { facts[f.Key()] = f })
		}
	})
	for _, f := range facts {
		if f.Kind == member.Daemon {
			s.Daemons = append(s.Daemons, DaemonStatus{f.Name, f.Domain, f.Status.String(), f.Address})
		}
	}
	sort.Slice(s.Daemons, func(i, j int) bool { return s.Daemons[i].Name < s.Daemons[j].Name })
	d.follower.View(func(state *ctrl.State) { s.addUpstreams(state, facts) })
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].GrantedAt < s.Replicas[j].GrantedAt })
	if !s.LogUp {
		s.addDegraded("the log service can't be reached")
	}
	if !controlReady {
		s.addDegraded("the control stream has not been read to its end")
	}
	if d.hostListFailing.Load() {
		s.addDegraded("the host list can't be read")
	}
	s.findDegraded()
	return s
}

// addUpstreams adds the upstreams and replicas from the control state and the
// facts.
func (s *Status) addUpstreams(state *ctrl.State, facts map[member.Key]member.Fact) {
	s.Applied, s.Version, s.Operator = state.Applied(), state.Version(), state.Operator()
	index := state.Config()
	for i := range index.Deployment.Upstreams {
		u := &index.Deployment.Upstreams[i]
		o, _ := state.Owner(u.Name)
		fact, load := facts[member.Key{Kind: member.Upstream, Name: u.Name}], facts[member.Key{Kind: member.UpstreamLoad, Name: u.Name}]
		us := UpstreamStatus{
			Name: u.Name, FailureDomain: u.FailureDomain, Status: fact.Status.String(), Owner: o.Daemon, Epoch: o.Epoch,
			ReservedBytes: state.ReservedBytes(u.Name), MemoryBytes: u.MemoryBytes, Running: load.Running, Queued: load.Queued,
		}
		if v := index.Service(u.Service); v != nil && v.Kind == declare.PlainService {
			us.Status = notWatched
		}
		if o.Resigned {
			us.Owner += resignedSuffix
		}
		s.Upstreams = append(s.Upstreams, us)
		for _, f := range state.FormerOwners(u.Name) {
			s.FormerOwners = append(s.FormerOwners, FormerOwnerStatus{u.Name, f.Daemon, f.Epoch, f.LostAt, u.IgnoresFencing})
		}
		loaded := map[ctrl.GrantKey]bool{}
		for _, r := range fact.Loaded {
			loaded[ctrl.GrantKey{Upstream: u.Name, Model: r.Model, Version: r.Version}] = true
		}
		for _, k := range state.UpstreamGrants(nil, u.Name) {
			g, _ := state.Grant(k)
			s.Replicas = append(s.Replicas, ReplicaStatus{k.Upstream, k.Model, k.Version, g.GrantedAt, loaded[k]})
		}
	}
}

func (s *Status) addDegraded(format string, args ...any) {
	s.Degraded = append(s.Degraded, fmt.Sprintf(format, args...))
}

// findDegraded adds the daemons and upstreams of s that are degraded.
func (s *Status) findDegraded() {
	unusable, replaced := map[string]string{}, map[string]bool{}
	for _, h := range s.Daemons {
		if h.Status == member.Alive.String() {
			replaced[ctrl.HostOf(h.Name)] = true
		}
	}
	for _, h := range s.Daemons {
		if h.Status == member.Alive.String() {
			continue
		}
		unusable[h.Name] = h.Status
		// A leaving daemon is stopped on purpose, and an ended one has been
		// replaced if another process on its host is alive.
		if h.Status != member.Leaving.String() && !replaced[ctrl.HostOf(h.Name)] {
			s.addDegraded("daemon %s is %s", h.Name, h.Status)
		}
	}
	for _, u := range s.Upstreams {
		switch u.Status {
		case notWatched:
			continue
		case member.Alive.String():
		case member.Status(0).String():
			s.addDegraded("upstream %s has sent no report yet", u.Name)
		default:
			s.addDegraded("upstream %s is %s", u.Name, u.Status)
		}
		switch {
		case u.Owner == "" || strings.HasSuffix(u.Owner, resignedSuffix):
			s.addDegraded("upstream %s has no owner: nothing can be loaded on it", u.Name)
		case unusable[u.Owner] != "":
			s.addDegraded("upstream %s is owned by a daemon that is %s: nothing can be loaded on it", u.Name, unusable[u.Owner])
		}
	}
	for _, f := range s.FormerOwners {
		if f.IgnoresFencing {
			s.addDegraded("upstream %s keeps its grants until its former owner %s acknowledges the loss or its host is gone", f.Upstream, f.Daemon)
		}
	}
}
