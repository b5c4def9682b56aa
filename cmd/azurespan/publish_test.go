package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
	"github.com/azurespan/azurespan/internal/link/logsvc"
)

// fakeLog is a log service with only the control stream, whose appends can fail.
type fakeLog struct {
	mu      sync.Mutex
	oldest  uint64
	records []logsvc.Record
	// onAppend is called before append n, counted from 0, and returns how the
	// append fails.
	onAppend func(n int) appendFailure
	appends  int
	reads    int
}

type appendFailure int

const (
	none appendFailure = iota
	// responseLost stores the record and breaks the connection.
	responseLost
	// requestLost breaks the connection without storing the record.
	requestLost
	// outage responds with status 503.
	outage
)

func (f *fakeLog) put(t testing.TB, r record.Record) uint64 {
	b, err := record.Encode(r)
	must.NoError(t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store(b)
}

func (f *fakeLog) store(b []byte) uint64 {
	next := uint64(1)
	if n := len(f.records); n > 0 {
		next = f.records[n-1].Offset + 1
	}
	f.records = append(f.records, logsvc.Record{Offset: next, Data: b})
	return next
}

func (f *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/streams/control/records" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method == http.MethodPost {
		f.append(w, r)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	most, _ := strconv.Atoi(r.FormValue("max"))
	p := logsvc.Page{Oldest: max(f.oldest, 1), End: 1}
	for _, rec := range f.records {
		p.End = rec.Offset + 1
		if rec.Offset >= max(from, p.Oldest) && len(p.Records) < most {
			p.Records = append(p.Records, rec)
		}
	}
	_ = json.NewEncoder(w).Encode(p)
}

func (f *fakeLog) append(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Records) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	n := f.appends
	f.appends++
	f.mu.Unlock()
	how := none
	if f.onAppend != nil {
		how = f.onAppend(n)
	}
	if how == outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if how == requestLost {
		panic(http.ErrAbortHandler)
	}
	f.mu.Lock()
	first := f.store(body.Records[0])
	f.mu.Unlock()
	if how == responseLost {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"first-offset": first, "time-ms": 1})
}

// newTestPublisher returns a publisher on f whose context ends after the given
// number of pauses.
func newTestPublisher(t *testing.T, f *fakeLog, replaces uint64, pauses int) *publisher {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return &publisher{
		log:    logsvc.New(s.URL, s.Client()),
		record: record.Publish{Publication: "mine", Operator: "haneul", Replaces: replaces, Config: []byte(config)},
		pause: func(context.Context, time.Duration) error {
			if pauses--; pauses < 0 {
				return context.DeadlineExceeded
			}
			return nil
		},
	}
}

const config = `{"name":"t","cold-start-weight":0,"failure-domains":["a"],"limits":{},"services":[],"upstreams":[],"models":[],"adapters":[]}`

func otherPublish(publication, operator string, replaces uint64) record.Publish {
	return record.Publish{Publication: publication, Operator: operator, Replaces: replaces, Config: []byte(config)}
}

// TestPublishOutcomes guards against reporting a wrong outcome when publications
// race or responses of the log are lost, and against appending a second record
// although the first was found.
func TestPublishOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		replaces uint64
		before   []record.Record
		onAppend func(t *testing.T, f *fakeLog) func(n int) appendFailure
		state    string
		version  uint64
		operator string
		appends  int
		detail   string
	}{
		"first":     {state: stateAccepted, version: 1, operator: "haneul", appends: 1},
		"next":      {replaces: 1, before: []record.Record{otherPublish("p", "sora", 0)}, state: stateAccepted, version: 2, operator: "haneul", appends: 1},
		"stale":     {replaces: 1, before: []record.Record{otherPublish("p", "sora", 0), otherPublish("q", "ken", 1)}, state: stateRefused, version: 2, operator: "ken", detail: "nothing was appended"},
		"no record": {replaces: 7, state: stateRefused, detail: "version 0 by nobody"},
		"race": {state: stateRefused, version: 1, operator: "sora", appends: 1, detail: "version 1 by sora", onAppend: func(t *testing.T, f *fakeLog) func(int) appendFailure {
			return func(int) appendFailure { f.put(t, otherPublish("p", "sora", 0)); return none }
		}},
		"response lost": {state: stateAccepted, version: 1, operator: "haneul", appends: 1, onAppend: func(*testing.T, *fakeLog) func(int) appendFailure {
			return func(int) appendFailure { return responseLost }
		}},
		"request lost": {state: stateAccepted, version: 1, operator: "haneul", appends: 2, onAppend: func(*testing.T, *fakeLog) func(int) appendFailure {
			return func(n int) appendFailure {
				if n == 0 {
					return requestLost
				}
				return none
			}
		}},
		"request lost, then overtaken": {state: stateRefused, version: 1, operator: "sora", appends: 1, detail: "refused as well", onAppend: func(t *testing.T, f *fakeLog) func(int) appendFailure {
			return func(int) appendFailure { f.put(t, otherPublish("p", "sora", 0)); return requestLost }
		}},
		"short outage": {state: stateAccepted, version: 1, operator: "haneul", appends: 3, onAppend: func(*testing.T, *fakeLog) func(int) appendFailure {
			return func(n int) appendFailure {
				if n < 2 {
					return outage
				}
				return none
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeLog{}
			for _, r := range c.before {
				f.put(t, r)
			}
			if c.onAppend != nil {
				f.onAppend = c.onAppend(t, f)
			}
			got, err := newTestPublisher(t, f, c.replaces, 5).publish(t.Context())
			must.NoError(t, err)
			must.Eq(t, c.state, got.State)
			must.Eq(t, c.version, got.Version)
			must.Eq(t, c.operator, got.Operator)
			must.Eq(t, c.appends, f.appends)
			must.StrContains(t, got.Detail, c.detail)
		})
	}
}

// TestPublishOutage guards against reporting an outcome that is not known, and
// against appending a second record when the attempt is resumed.
func TestPublishOutage(t *testing.T) {
	f := &fakeLog{onAppend: func(int) appendFailure { return outage }}
	got, err := newTestPublisher(t, f, 0, 2).publish(t.Context())
	must.Eq(t, exitUnreachable, exitCode(err))
	must.Eq(t, reasonNotAppended, got.Reason)
	f.onAppend = func(int) appendFailure { return requestLost }
	p := newTestPublisher(t, f, 0, 2)
	got, err = p.publish(t.Context())
	must.Eq(t, exitUnreachable, exitCode(err))
	must.Eq(t, stateUnknown, got.State)
	// The lost append takes effect later, and another operator follows it.
	f.put(t, p.record)
	f.put(t, otherPublish("q", "sora", 1))
	f.appends = 0
	p = newTestPublisher(t, f, 0, 0)
	p.mayBeAppended = true
	got, err = p.publish(t.Context())
	must.NoError(t, err)
	must.Eq(t, stateAccepted, got.State)
	must.Eq(t, 1, got.Version)
	must.Eq(t, 2, got.Latest)
	must.Eq(t, "sora", got.LatestOperator)
	must.Eq(t, 0, f.appends)
}

// TestPublishRetention guards against reporting a wrong version in force or a
// wrong outcome after the log has dropped its oldest records.
func TestPublishRetention(t *testing.T) {
	l := ctrl.New()
	f := &fakeLog{}
	for i := range uint64(100) {
		r := otherPublish("p"+strconv.FormatUint(i, 10), "sora", i)
		f.put(t, r)
		must.Eq(t, ctrl.Accepted, l.Apply(i+1, r).Reason)
	}
	state, err := l.Snapshot()
	must.NoError(t, err)
	f.put(t, otherPublish("late", "ken", 100))
	f.records, f.oldest = f.records[95:], 96
	_, err = newTestPublisher(t, f, 101, 0).publish(t.Context())
	var gap *gapError
	must.True(t, errors.As(err, &gap), must.Sprint(err))
	f.put(t, record.Snapshot{AsOf: 100, State: state})
	// The record of p98 is in the stream but its outcome is not known; p99 was in
	// force at the snapshot.
	for id, want := range map[string]string{"p98": stateUnknown, "p99": stateAccepted, "late": stateAccepted, "p3": stateUnknown, "new": stateRefused} {
		p := newTestPublisher(t, f, 98, 0)
		p.record.Publication = id
		p.mayBeAppended = id != "new"
		got, err := p.publish(t.Context())
		must.NoError(t, err, must.Sprint(id))
		must.Eq(t, want, got.State, must.Sprint(id))
	}
	got, err := newTestPublisher(t, f, 101, 0).publish(t.Context())
	must.NoError(t, err)
	must.Eq(t, stateAccepted, got.State)
	must.Eq(t, 103, got.Version)
}

// TestPublishCommand guards against a wrong exit code or output of the command,
// and against publishing an invalid configuration.
func TestPublishCommand(t *testing.T) {
	f := &fakeLog{}
	s := httptest.NewServer(f)
	defer s.Close()
	// Each identifier takes 10 bytes.
	entropy := strings.NewReader("0123456789abcdefghijklmnopqrst")
	id := ulid.MustNew(1, strings.NewReader("0123456789")).String()
	publish := func(text string, more ...string) (int, string) {
		var out bytes.Buffer
		env := environment{in: strings.NewReader(text), out: &out, errOut: &out, now: func() time.Time { return time.UnixMilli(1) }, entropy: entropy}
		args := append([]string{"publish", "--config", "-", "--operator", "haneul", "--log", s.URL}, more...)
		return run(t.Context(), args, env), out.String()
	}
	code, out := publish("{}", "--replaces", "0")
	must.Eq(t, exitRefused, code, must.Sprint(out))
	must.StrContains(t, out, "-: failure-domains: missing")
	must.Eq(t, 0, f.reads)
	code, out = publish(config, "--replaces", "0")
	must.Eq(t, exitOK, code, must.Sprint(out))
	must.Eq(t, "publication "+id+" is accepted as version 1\n", out)
	code, out = publish(config, "--replaces", "0", "--publication", id, "--json")
	must.Eq(t, exitOK, code, must.Sprint(out))
	must.StrContains(t, out, `"state": "accepted"`)
	code, out = publish(config, "--replaces", "0")
	must.Eq(t, exitRefused, code)
	must.StrContains(t, out, "version 1 by haneul is in force")
	s.Close()
	code, out = publish(config, "--replaces", "1", "--timeout", "50ms")
	must.Eq(t, exitUnreachable, code, must.Sprint(out))
	must.StrContains(t, out, "no record was appended")
}
