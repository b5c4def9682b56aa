package engsv

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

// cacheEvent reports that a checkpoint or prompt prefix was added to or evicted
// from a cache.
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

// maxEvents is the maximum number of retained cache events.
const maxEvents = 1000

// tierOf returns the fastest tier that holds the checkpoint key.
func (s *Server) tierOf(st *state, key string) string {
	switch {
	case slices.Contains(st.memoryCheckpoints, key):
		return "memory"
	case slices.Contains(s.diskCheckpoints, key):
		return "disk"
	}
	return "remote"
}

// lruAdd moves or appends key to the end of list. If the list then exceeds limit,
// its first element is evicted.
func lruAdd(list []string, key string, limit int) (out []string, found bool, evicted string) {
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

// cacheCheckpoint adds a loaded checkpoint to both cache tiers.
func (s *Server) cacheCheckpoint(st *state, key string) {
	for _, c := range []struct {
		tier  string
		list  *[]string
		limit int
	}{{"memory", &st.memoryCheckpoints, s.cfg.MemoryCheckpoints}, {"disk", &s.diskCheckpoints, s.cfg.DiskCheckpoints}} {
		out, found, evicted := lruAdd(*c.list, key, c.limit)
		*c.list = out
		if !found {
			st.addCacheEvent("stored", key, c.tier, "", s.cfg.CacheEventDropInterval)
		}
		if evicted != "" {
			st.addCacheEvent("evicted", evicted, c.tier, "", s.cfg.CacheEventDropInterval)
		}
	}
}

// cachePrefix adds the prompt prefix of r to the prefix cache and reports whether
// it was there before.
func (s *Server) cachePrefix(st *state, r *stream) bool {
	if r.prefixKey == "" {
		return true
	}
	// A space separates key and prefix because model names can't contain one.
	key := r.completion.Model + "@" + r.completion.Version
	out, found, evicted := lruAdd(st.prefixCache, key+" "+r.prefixKey, s.cfg.PrefixCacheSize)
	st.prefixCache = out
	if !found {
		st.addCacheEvent("stored", key, "", r.prefixKey, s.cfg.CacheEventDropInterval)
	}
	if k, p, ok := strings.Cut(evicted, " "); ok {
		st.addCacheEvent("evicted", k, "", p, s.cfg.CacheEventDropInterval)
	}
	return found
}

// addCacheEvent appends a cache event. If dropInterval is not 0, every
// dropInterval-th event is dropped, which leaves a gap in the offsets.
func (st *state) addCacheEvent(kind, key, tier, prefix string, dropInterval uint64) {
	e := cacheEvent{Offset: st.nextEventOffset, TimeMS: time.Now().UnixMilli(), Kind: kind, Tier: tier, Prefix: prefix}
	e.Model, e.Version, _ = strings.Cut(key, "@")
	st.nextEventOffset++
	if dropInterval > 0 && e.Offset%dropInterval == 0 {
		return
	}
	st.events = append(st.events, e)
	if len(st.events) > maxEvents {
		st.events = st.events[1:]
	}
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	st := s.lockState(w, false)
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
