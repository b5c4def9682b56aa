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

	// logStream keeps the records [oldest, end).
	logStream struct {
		oldest, end uint64
		records     []logRecord
		changed     chan struct{}
	}
)

// Bounds of one read.
const (
	maxRead    = 10_000
	maxReadLen = 4 << 20
)

// stream returns the stream called name. The caller holds s.mu.
func (s *Server) stream(name string) *logStream {
	l := s.streams[name]
	if l == nil {
		l = &logStream{oldest: 1, end: 1, changed: make(chan struct{})}
		s.streams[name] = l
	}
	return l
}

func (l *logStream) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *logStream) truncate(before uint64) {
	before = min(before, l.end)
	if before > l.oldest {
		l.records = append([]logRecord(nil), l.records[before-l.oldest:]...)
		l.oldest = before
	}
}

// retain applies the limits by count and by time.
func (s *Server) retain(l *logStream, nowMS int64) {
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

// logTime returns the log's clock, which never goes back.
func (s *Server) logTime() int64 {
	s.lastMS = max(s.lastMS, s.cfg.Now().UnixMilli())
	return s.lastMS
}

// delay waits for the latency in force; false means that the caller left.
func (s *Server) delay(r *http.Request) bool {
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
	if !serve.ReadJSON(w, r, &in) || !s.delay(r) {
		return
	}
	if len(in.Records) == 0 {
		serve.Error(w, http.StatusBadRequest, "bad-request", "no records")
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	if s.faults.LogOutage {
		s.note(Entry{Kind: "append-refused", Stream: name})
		s.mu.Unlock()
		serve.Error(w, http.StatusServiceUnavailable, "outage", "the log service is down")
		return
	}
	if !s.appends.Allow() {
		s.note(Entry{Kind: "append-refused", Stream: name})
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
		s.note(Entry{Kind: "append", Stream: name, Offset: l.end, Data: d, ResponseLost: lost})
		l.end++
	}
	s.retain(l, t)
	l.wake()
	s.mu.Unlock()
	if lost {
		// Closes the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	serve.WriteJSON(w, http.StatusOK, map[string]any{"first-offset": first, "time-ms": t})
}

func (s *Server) getRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err := strconv.Atoi(q.Get("max"))
	if err != nil || limit <= 0 || limit > maxRead {
		limit = maxRead
	}
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	wait := time.After(min(time.Duration(waitMS)*time.Millisecond, time.Minute))
	if !s.delay(r) {
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
		s.retain(l, s.logTime())
		start := max(from, l.oldest)
		out := []logRecord{}
		for n := 0; start < l.end && len(out) < limit && n < maxReadLen; start++ {
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
