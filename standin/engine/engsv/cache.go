package engsv

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

// cacheEvent says that a checkpoint or prompt prefix entered or left a cache.
type cacheEvent struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time-ms"`
	// Kind is stored or evicted.
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Tier is memory or disk for a checkpoint and empty for a prefix.
	Tier   string `json:"tier,omitempty"`
	Prefix string `json:"prefix,omitempty"`
}

// maxEvents is the number of cache events kept.
const maxEvents = 1000

// tier returns where the checkpoint lies.
func (s *Server) tier(st *state, key string) string {
	switch {
	case slices.Contains(st.memory, key):
		return "memory"
	case slices.Contains(s.disk, key):
		return "disk"
	}
	return "remote"
}

// touch moves key to the end of the list, which drops its first element if it
// is longer than limit.
func touch(list []string, key string, limit int) (out []string, found bool, evicted string) {
	i := slices.Index(list, key)
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, key)
	if len(list) > limit {
		evicted, list = list[0], list[1:]
	}
	return list, i >= 0, evicted
}

// keepCheckpoint puts a loaded checkpoint into both cache tiers.
func (s *Server) keepCheckpoint(st *state, key string) {
	for _, c := range []struct {
		tier  string
		list  *[]string
		limit int
	}{{"memory", &st.memory, s.cfg.MemoryCheckpoints}, {"disk", &s.disk, s.cfg.DiskCheckpoints}} {
		out, found, evicted := touch(*c.list, key, c.limit)
		*c.list = out
		if !found {
			st.emit("stored", key, c.tier, "", s.cfg.CacheEventDropInterval)
		}
		if evicted != "" {
			st.emit("evicted", evicted, c.tier, "", s.cfg.CacheEventDropInterval)
		}
	}
}

// touchPrefix returns whether the prompt's prefix is cached, and caches it.
func (s *Server) touchPrefix(st *state, r *run) bool {
	if r.prefix == "" {
		return true
	}
	// The separator can't occur in a model's name.
	key := r.text.Model + "@" + r.text.Version
	out, found, evicted := touch(st.prefixes, key+" "+r.prefix, s.cfg.PrefixCacheSize)
	st.prefixes = out
	if !found {
		st.emit("stored", key, "", r.prefix, s.cfg.CacheEventDropInterval)
	}
	if k, p, ok := strings.Cut(evicted, " "); ok {
		st.emit("evicted", k, "", p, s.cfg.CacheEventDropInterval)
	}
	return found
}

// emit adds an event; the offset of every gap-th event is left out.
func (st *state) emit(kind, key, tier, prefix string, gap uint64) {
	e := cacheEvent{Offset: st.nextEvent, TimeMS: time.Now().UnixMilli(), Kind: kind, Tier: tier, Prefix: prefix}
	e.Model, e.Version, _ = strings.Cut(key, "@")
	st.nextEvent++
	if gap > 0 && e.Offset%gap == 0 {
		return
	}
	st.events = append(st.events, e)
	if len(st.events) > maxEvents {
		st.events = st.events[1:]
	}
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	st := s.begin(w, false)
	due := time.Now().Add(-s.cfg.CacheEventLag).UnixMilli()
	out, end := []cacheEvent{}, max(from, 1)
	for _, e := range st.events {
		if e.TimeMS > due {
			break
		}
		if e.Offset >= from {
			out, end = append(out, e), e.Offset+1
		}
	}
	incarnation := st.incarnation
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, map[string]any{"incarnation": incarnation, "end": end, "events": out})
}
