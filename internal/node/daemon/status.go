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
		// Missing names what keeps the daemon from serving.
		Missing  []string `json:"missing"`
		Applied  uint64   `json:"applied"`
		Version  uint64   `json:"version"`
		Operator string   `json:"operator"`
		LogUp    bool     `json:"log-reachable"`
		Degraded []string `json:"degraded"`

		Hosts        []DaemonStatus      `json:"hosts"`
		Upstreams    []UpstreamStatus    `json:"upstreams"`
		FormerOwners []FormerOwnerStatus `json:"former-owners"`
		Replicas     []ReplicaStatus     `json:"replicas"`
		// Claims lists the claims partitions that this daemon owns.
		Claims []int `json:"claims-partitions"`
	}

	// HostStatus describes a daemon.
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

	// FormerStatus is a replaced owner of an upstream that has not
	// acknowledged the loss.
	FormerOwnerStatus struct {
		Upstream       string `json:"upstream"`
		Daemon         string `json:"daemon"`
		Epoch          uint64 `json:"epoch"`
		LostAt         uint64 `json:"lost-at"`
		IgnoresFencing bool   `json:"ignores-fencing"`
	}

	// ReplicaStatus describes a grant.
	ReplicaStatus struct {
		Upstream  string `json:"upstream"`
		Model     string `json:"model"`
		Version   string `json:"version"`
		GrantedAt uint64 `json:"granted-at"`
		Loaded    bool   `json:"loaded"`
	}
)

const (
	notWatched = "not-watched"
	resigned   = " (resigned)"
)

// Status returns what the daemon knows about the deployment.
func (d *Daemon) Status() Status {
	s := Status{
		Daemon: d.name, FailureDomain: d.set.Daemon.FailureDomain, Missing: d.front.Missing(), Degraded: []string{}, Hosts: []DaemonStatus{},
		Upstreams: []UpstreamStatus{}, FormerOwners: []FormerOwnerStatus{}, Replicas: []ReplicaStatus{}, Claims: append([]int{}, d.keeper.OwnedPartitions()...),
	}
	s.Ready = len(s.Missing) == 0
	var applied bool
	_, applied, s.LogUp = d.follow.Status()
	facts := map[member.Key]member.Fact{}
	d.gossip.Do(func(m *member.Set) {
		for _, k := range []member.Kind{member.Daemon, member.Upstream, member.UpstreamLoad} {
			m.Each(k, func(f member.Fact) { facts[f.Key()] = f })
		}
	})
	for _, f := range facts {
		if f.Kind == member.Daemon {
			s.Hosts = append(s.Hosts, DaemonStatus{f.Name, f.Domain, f.Status.String(), f.Address})
		}
	}
	sort.Slice(s.Hosts, func(i, j int) bool { return s.Hosts[i].Name < s.Hosts[j].Name })
	d.follow.View(func(l *ctrl.State) { s.fill(l, facts) })
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].GrantedAt < s.Replicas[j].GrantedAt })
	if !s.LogUp {
		s.degrade("the log service can't be reached")
	}
	if !applied {
		s.degrade("the control stream has not been read to its end")
	}
	if d.hostsFailing.Load() {
		s.degrade("the host list can't be read")
	}
	s.judge()
	return s
}

// fill adds what the ledger l and the facts tell of upstreams and replicas.
func (s *Status) fill(l *ctrl.State, facts map[member.Key]member.Fact) {
	s.Applied, s.Version, s.Operator = l.Applied(), l.Version(), l.Operator()
	x := l.Config()
	for i := range x.Deployment.Upstreams {
		u := &x.Deployment.Upstreams[i]
		o, _ := l.Owner(u.Name)
		up, load := facts[member.Key{Kind: member.Upstream, Name: u.Name}], facts[member.Key{Kind: member.UpstreamLoad, Name: u.Name}]
		us := UpstreamStatus{
			Name: u.Name, FailureDomain: u.FailureDomain, Status: up.Status.String(), Owner: o.Daemon, Epoch: o.Epoch,
			ReservedBytes: l.ReservedBytes(u.Name), MemoryBytes: u.MemoryBytes, Running: load.Running, Queued: load.Queued,
		}
		if v := x.Service(u.Service); v != nil && v.Kind == declare.PlainService {
			us.Status = notWatched
		}
		if o.Resigned {
			us.Owner += resigned
		}
		s.Upstreams = append(s.Upstreams, us)
		for _, f := range l.FormerOwners(u.Name) {
			s.FormerOwners = append(s.FormerOwners, FormerOwnerStatus{u.Name, f.Daemon, f.Epoch, f.LostAt, u.IgnoresFencing})
		}
		loaded := map[ctrl.GrantKey]bool{}
		for _, r := range up.Loaded {
			loaded[ctrl.GrantKey{Upstream: u.Name, Model: r.Model, Version: r.Version}] = true
		}
		for _, k := range l.UpstreamGrants(nil, u.Name) {
			g, _ := l.Grant(k)
			s.Replicas = append(s.Replicas, ReplicaStatus{k.Upstream, k.Model, k.Version, g.GrantedAt, loaded[k]})
		}
	}
}

func (s *Status) degrade(format string, args ...any) {
	s.Degraded = append(s.Degraded, fmt.Sprintf(format, args...))
}

// judge adds what the lists of s show to be degraded.
func (s *Status) judge() {
	unusable, replaced := map[string]string{}, map[string]bool{}
	for _, h := range s.Hosts {
		if h.Status == member.Alive.String() {
			replaced[ctrl.HostOf(h.Name)] = true
		}
	}
	for _, h := range s.Hosts {
		if h.Status == member.Alive.String() {
			continue
		}
		unusable[h.Name] = h.Status
		// A daemon that leaves is stopped on purpose, and one that was started
		// again on its host is not missed.
		if h.Status != member.Leaving.String() && !replaced[ctrl.HostOf(h.Name)] {
			s.degrade("daemon %s is %s", h.Name, h.Status)
		}
	}
	for _, u := range s.Upstreams {
		switch u.Status {
		case notWatched:
			continue
		case member.Alive.String():
		case member.Status(0).String():
			s.degrade("upstream %s has sent no report yet", u.Name)
		default:
			s.degrade("upstream %s is %s", u.Name, u.Status)
		}
		switch {
		case u.Owner == "" || strings.HasSuffix(u.Owner, resigned):
			s.degrade("upstream %s has no owner: nothing can be loaded on it", u.Name)
		case unusable[u.Owner] != "":
			s.degrade("upstream %s is owned by a daemon that is %s: nothing can be loaded on it", u.Name, unusable[u.Owner])
		}
	}
	for _, f := range s.FormerOwners {
		if f.IgnoresFencing {
			s.degrade("upstream %s keeps its grants until its former owner %s acknowledges the loss or its host is gone", f.Upstream, f.Daemon)
		}
	}
}
