package platsv

import (
	"net/http"
	"strconv"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	logRecord struct {
		Offset uint64 `json:"offset"`
		TimeMS int64  `json:"time-ms"`
		Data   []byte `json:"data"`
	}

	// logStream holds the records with offsets [oldest, end). changed is closed
	// when the stream or the faults change.
	logStream struct {
		oldest, end uint64
		records     []logRecord
		changed     chan struct{}
	}
)

// Limits of the response to one read.
const (
	maxReadRecords = 10_000
	maxReadBytes   = 4 << 20
	maxReadWait    = time.Minute
)

// stream returns the stream with the given name and creates it if necessary. The
// caller holds s.mu.
func (s *Server) stream(name string) *logStream {
	l := s.streams[name]
	if l == nil {
		l = &logStream{oldest: 1, end: 1, changed: make(chan struct{})}
		s.streams[name] = l
	}
	return l
}

// notify wakes up waiting readers.
func (l *logStream) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// truncate removes the records with offsets below before.
func (l *logStream) truncate(before uint64) {
	before = min(before, l.end)
	if before > l.oldest {
		l.records = append([]logRecord(nil), l.records[before-l.oldest:]...)
		l.oldest = before
	}
}

// applyRetention removes records beyond the retention by number and by age.
func (s *Server) applyRetention(l *logStream, nowMS int64) {
	if n := s.cfg.RetentionCount; n > 0 && len(l.records) > n {
		l.truncate(l.end - uint64(n))
	}
	if s.cfg.Retention > 0 {
		i := 0
		for i < len(l.records) && l.records[i].TimeMS < nowMS-s.cfg.Retention.Milliseconds() {
			i++
		}
		l.truncate(l.oldest + uint64(i))
	}
}

// logTime returns the time of the log service in Unix milliseconds. It never
// decreases. The caller holds s.mu.
func (s *Server) logTime() int64 {
	s.lastTimeMS = max(s.lastTimeMS, s.cfg.Now().UnixMilli())
	return s.lastTimeMS
}

// waitLatency waits for the injected log latency. It returns false if the client
// disconnected.
func (s *Server) waitLatency(r *http.Request) bool {
	select {
	case <-time.After(time.Duration(s.Faults().LogLatencyMS) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) postRecords(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Records [][]byte `json:"records"`
	}
	if !serve.ReadJSON(w, r, &in) || !s.waitLatency(r) {
		return
	}
	if len(in.Records) == 0 {
		serve.Error(w, http.StatusBadRequest, "bad-request", "no records")
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	if s.faults.LogOutage {
		s.record(Entry{Kind: "append-refused", Stream: name})
		s.mu.Unlock()
		serve.Error(w, http.StatusServiceUnavailable, "outage", "the log service is down")
		return
	}
	if !s.appendLimiter.Allow() {
		s.record(Entry{Kind: "append-refused", Stream: name})
		s.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		serve.Error(w, http.StatusTooManyRequests, "rate", "too many appends")
		return
	}
	lost := s.faults.LoseAppendResponses > 0
	if lost {
		s.faults.LoseAppendResponses--
	}
	l, t := s.stream(name), s.logTime()
	first := l.end
	for _, d := range in.Records {
		l.records = append(l.records, logRecord{Offset: l.end, TimeMS: t, Data: d})
		s.record(Entry{Kind: "append", Stream: name, Offset: l.end, Data: d, ResponseLost: lost})
		l.end++
	}
	s.applyRetention(l, t)
	l.notify()
	s.mu.Unlock()
	if lost {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	serve.WriteJSON(w, http.StatusOK, map[string]any{"first-offset": first, "time-ms": t})
}

func (s *Server) getRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err := strconv.Atoi(q.Get("max"))
	if err != nil || limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	wait := time.After(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	if !s.waitLatency(r) {
		return
	}
	for {
		s.mu.Lock()
		if s.faults.LogOutage {
			s.mu.Unlock()
			serve.Error(w, http.StatusServiceUnavailable, "outage", "the log service is down")
			return
		}
		l := s.stream(r.PathValue("name"))
		s.applyRetention(l, s.logTime())
		start := max(from, l.oldest)
		out := []logRecord{}
		for n := 0; start < l.end && len(out) < limit && n < maxReadBytes; start++ {
			rec := l.records[start-l.oldest]
			out, n = append(out, rec), n+len(rec.Data)
		}
		oldest, end, changed := l.oldest, l.end, l.changed
		s.mu.Unlock()
		if len(out) == 0 && waitMS > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-wait:
			}
		}
		serve.WriteJSON(w, http.StatusOK, map[string]any{"oldest": oldest, "end": end, "records": out})
		return
	}
}
