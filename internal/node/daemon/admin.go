package daemon

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"sort"
	"strings"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azurespan/azurespan/internal/core/ledger"
	"github.com/azurespan/azurespan/internal/core/member"
)

type (
	// Status is the answer to the status command.
	Status struct {
		Daemon   string   `json:"daemon"`
		Applied  uint64   `json:"applied"`
		Version  uint64   `json:"version"`
		Operator string   `json:"operator"`
		LogUp    bool     `json:"log-reachable"`
		Degraded []string `json:"degraded"`

		Hosts     []HostStatus     `json:"hosts"`
		Upstreams []UpstreamStatus `json:"upstreams"`
		Replicas  []ReplicaStatus  `json:"replicas"`
		Claims    []int            `json:"claims-partitions"`
	}

	// HostStatus describes a daemon.
	HostStatus struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure-domain"`
		Status        string `json:"status"`
		Address       string `json:"address"`
	}

	// UpstreamStatus describes an upstream and its owner.
	UpstreamStatus struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure-domain"`
		Status        string `json:"status"`
		Owner         string `json:"owner"`
		Epoch         uint64 `json:"epoch"`
		Formers       int    `json:"former-owners"`
		ReservedBytes int64  `json:"reserved-bytes"`
		MemoryBytes   int64  `json:"memory-bytes"`
		Running       int    `json:"running"`
		Queued        int    `json:"queued"`
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

// adminHandler serves health, metrics and the operators' calls. Calls under
// /admin/ need the shared secret as bearer token.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", d.front.Livez)
	mux.HandleFunc("GET /readyz", d.front.Readyz)
	mux.HandleFunc("GET /admin/status", d.secured(func(*http.Request) any { return d.Status() }))
	mux.HandleFunc("GET /admin/decisions", d.secured(func(r *http.Request) any {
		q := r.URL.Query()
		return map[string]any{"decisions": d.trail.Find(q.Get("request"), q.Get("model"))}
	}))
	return http.MaxBytesHandler(mux, 1<<16)
}

// secured answers with fn's value as JSON if the request has the secret.
func (d *Daemon) secured(fn func(*http.Request) any) http.HandlerFunc {
	secret := string(d.set.Secret.SharedSecret)
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(secret)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the shared secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the operator's connection is gone.
		_ = json.NewEncoder(w).Encode(fn(r))
	}
}

// Status returns what the daemon knows about the deployment.
func (d *Daemon) Status() Status {
	s := Status{Daemon: d.name, Degraded: []string{}, Claims: d.keeper.Owned()}
	var applied bool
	_, applied, s.LogUp = d.follow.Status()
	loaded := map[ledger.Key]bool{}
	facts := map[member.Key]member.Fact{}
	d.gossip.Do(func(m *member.Set) {
		for _, k := range []member.Kind{member.Daemon, member.Upstream, member.Load} {
			m.Each(k, func(f member.Fact) { facts[f.Key()] = f })
		}
	})
	for _, f := range facts {
		switch f.Kind {
		case member.Daemon:
			s.Hosts = append(s.Hosts, HostStatus{f.Name, f.Domain, f.Status.String(), f.Address})
		case member.Upstream:
			for _, r := range f.Loaded {
				loaded[ledger.Key{Upstream: f.Name, Model: r.Model, Version: r.Version}] = true
			}
		case member.Load, member.Loads, member.Request:
		}
	}
	sort.Slice(s.Hosts, func(i, j int) bool { return s.Hosts[i].Name < s.Hosts[j].Name })
	d.follow.View(func(l *ledger.Ledger) {
		s.Applied, s.Version, s.Operator = l.Applied(), l.Version(), l.Operator()
		for i := range l.Config().Deployment.Upstreams {
			u := &l.Config().Deployment.Upstreams[i]
			o, _ := l.Owner(u.Name)
			up, load := facts[member.Key{Kind: member.Upstream, Name: u.Name}], facts[member.Key{Kind: member.Load, Name: u.Name}]
			s.Upstreams = append(s.Upstreams, UpstreamStatus{
				Name: u.Name, FailureDomain: u.FailureDomain, Status: up.Status.String(), Owner: o.Daemon, Epoch: o.Epoch,
				Formers: len(l.FormersOf(u.Name)), ReservedBytes: l.Reserved(u.Name), MemoryBytes: u.MemoryBytes,
				Running: load.Running, Queued: load.Queued,
			})
			for _, k := range l.GrantsOf(nil, u.Name) {
				g, _ := l.Grant(k)
				s.Replicas = append(s.Replicas, ReplicaStatus{k.Upstream, k.Model, k.Version, g.GrantedAt, loaded[k]})
			}
		}
	})
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].GrantedAt < s.Replicas[j].GrantedAt })
	if !s.LogUp {
		s.Degraded = append(s.Degraded, "the log service can't be reached")
	}
	if !applied {
		s.Degraded = append(s.Degraded, "the control stream has not been read to its end")
	}
	for _, h := range s.Hosts {
		if h.Status == member.Suspect.String() || h.Status == member.Dead.String() {
			s.Degraded = append(s.Degraded, "daemon "+h.Name+" is "+h.Status)
		}
	}
	for _, u := range s.Upstreams {
		if u.Status == member.Dead.String() || u.Status == member.Leaving.String() {
			s.Degraded = append(s.Degraded, "upstream "+u.Name+" is "+u.Status)
		}
	}
	return s
}
