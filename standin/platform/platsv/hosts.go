package platsv

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	// Host is one entry of the host list.
	Host struct {
		Name          string `json:"name"`
		Address       string `json:"address"`
		FailureDomain string `json:"failure-domain"`
		// State is live, leaving or gone; empty removes the entry.
		State string `json:"state"`
	}

	hostChange struct {
		due  time.Time
		host Host
	}
)

// SetHost changes an entry of the host list. The change becomes visible after
// Config.HostListLag.
func (s *Server) SetHost(h Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingHosts = append(s.pendingHosts, hostChange{due: s.cfg.Now().Add(s.cfg.HostListLag), host: h})
	s.record(Entry{Kind: "host", Host: &h})
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	h := Host{}
	if !serve.ReadJSON(w, r, &h) {
		return
	}
	h.Name = r.PathValue("name")
	if r.Method == http.MethodDelete {
		h = Host{Name: h.Name}
	}
	s.SetHost(h)
	serve.WriteJSON(w, http.StatusOK, h)
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.cfg.Now()
	for len(s.pendingHosts) > 0 && !s.pendingHosts[0].due.After(now) {
		h := s.pendingHosts[0].host
		s.pendingHosts = s.pendingHosts[1:]
		if h.State == "" {
			delete(s.hosts, h.Name)
			continue
		}
		s.hosts[h.Name] = h
	}
	missing := s.faults.HostListUnavailable
	out := make([]Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		out = append(out, h)
	}
	s.mu.Unlock()
	if missing {
		serve.Error(w, http.StatusServiceUnavailable, "missing", "there is no host list")
		return
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	serve.WriteJSON(w, http.StatusOK, map[string]any{"time-ms": now.UnixMilli(), "hosts": out})
}
