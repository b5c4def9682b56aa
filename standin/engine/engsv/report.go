package engsv

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	report struct {
		Name        string           `json:"name"`
		Incarnation int64            `json:"incarnation"`
		TimeMS      int64            `json:"time-ms"`
		Leaving     bool             `json:"leaving"`
		Role        string           `json:"role"`
		Fencing     uint64           `json:"fencing"`
		MemoryBytes int64            `json:"memory-bytes"`
		UsedBytes   int64            `json:"used-bytes"`
		Sequences   int              `json:"sequences"`
		Running     int              `json:"running"`
		Queued      int              `json:"queued"`
		Models      []modelReport    `json:"models"`
		Checkpoints []checkpointTier `json:"checkpoints"`
	}

	modelReport struct {
		Model       string   `json:"model"`
		Version     string   `json:"version"`
		State       string   `json:"state"`
		MemoryBytes int64    `json:"memory-bytes"`
		Adapters    []string `json:"adapters"`
		Streams     int      `json:"streams"`
	}

	checkpointTier struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Tier    string `json:"tier"`
	}
)

// samplesPerLag is the number of reports sampled per report lag.
const samplesPerLag = 4

// currentReport returns a report of the current state. The caller holds s.mu.
func (s *Server) currentReport(st *state) report {
	r := report{
		Name: s.cfg.Name, Incarnation: st.incarnation, TimeMS: time.Now().UnixMilli(),
		Leaving: s.faults.Leaving, Role: st.role, Fencing: s.fencing,
		MemoryBytes: s.cfg.MemoryBytes, UsedBytes: st.usedBytes(), Sequences: s.cfg.Sequences,
		Running: len(st.running), Queued: len(st.queue),
		Models: []modelReport{}, Checkpoints: []checkpointTier{},
	}
	for _, k := range slices.Sorted(maps.Keys(st.replicas)) {
		rep := st.replicas[k]
		r.Models = append(r.Models, modelReport{
			Model: rep.model, Version: rep.version, State: rep.state, MemoryBytes: rep.memoryBytes,
			Adapters: append([]string{}, slices.Sorted(maps.Keys(rep.readyAdapters))...),
			Streams:  st.activeStreams(rep.model, rep.version, ""),
		})
	}
	for _, k := range slices.Compact(slices.Sorted(slices.Values(slices.Concat(st.memoryCheckpoints, s.diskCheckpoints)))) {
		model, version, _ := strings.Cut(k, "@")
		r.Checkpoints = append(r.Checkpoints, checkpointTier{model, version, s.tierOf(st, k)})
	}
	return r
}

// sampleReports stores reports periodically and discards those older than the
// report lag, so that getReport can return an outdated one.
func (s *Server) sampleReports(st *state) {
	tick := time.NewTicker(max(s.cfg.ReportLag/samplesPerLag, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-st.ctx.Done():
			return
		}
		s.mu.Lock()
		st.reports = append(st.reports, s.currentReport(st))
		for len(st.reports) > 1 && time.Since(time.UnixMilli(st.reports[1].TimeMS)) > s.cfg.ReportLag {
			st.reports = st.reports[1:]
		}
		s.mu.Unlock()
	}
}

func (s *Server) getReport(w http.ResponseWriter, _ *http.Request) {
	st := s.lockState(w, false)
	var r report
	if len(st.reports) > 0 {
		r = st.reports[0]
	} else {
		r = s.currentReport(st)
	}
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, r)
}
