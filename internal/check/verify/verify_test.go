package verify_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/check/verify"
	"github.com/azurespan/azurespan/standin/engine/engsv"
	"github.com/azurespan/azurespan/standin/service/servsv"
)

const body = `{"model":"m","max_tokens":4,"ignore_eos":true,"messages":[{"role":"user","content":"x"}]}`

// start is an arbitrary time at which a history begins.
var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func us(ms int) int64 { return at(ms).UnixMicro() }

// validHistory returns a history without violations.
func validHistory(t *testing.T) *verify.History {
	text, err := engsv.ExpectedCompletion("m", "v1", "", []byte(body))
	must.NoError(t, err)
	x := func(daemon string, status int) []verify.Exchange {
		return []verify.Exchange{{Daemon: daemon, Sent: at(0), Ended: at(100), Deadline: time.Second, Status: status, Complete: true}}
	}
	return &verify.History{
		ReplicaLimits: map[string]int{"m": 1},
		Targets:       map[string]verify.Target{"m": {Model: "m", Version: "v1"}},
		Engines: []verify.Engine{
			{Name: "a", MemoryBytes: 10, Records: engsv.Records{PeakBytes: 10, Entries: []engsv.Entry{
				{TimeUS: us(0), Kind: "load", Model: "m", Version: "v1", Order: "1"},
				{TimeUS: us(10), Kind: "run", Request: "r1"},
				{TimeUS: us(20), Kind: "unload", Model: "m", Version: "v1"},
			}}},
			{Name: "b", MemoryBytes: 10, Records: engsv.Records{Entries: []engsv.Entry{
				{TimeUS: us(30), Kind: "load", Model: "m", Version: "v1", Order: "2"},
				{TimeUS: us(40), Kind: "crash"},
				{TimeUS: us(50), Kind: "load", Model: "m", Version: "v1", Order: "3"},
			}}},
		},
		Services: []verify.Service{{Name: "s", Entries: []servsv.Entry{{TimeUS: us(5), Kind: "run", Request: "c1", Key: "k"}}}},
		Requests: []verify.Request{
			{Kind: verify.Stream, ID: "r1", Model: "m", Body: []byte(body), Text: text.Text(0, 4), Tokens: 4, Done: true, Exchanges: x("d", 200)},
			{Kind: verify.NonStreaming, ID: "r2", Model: "m", Body: []byte(body), Refusal: "no-capacity", Run: "no", Exchanges: x("d", 503)},
			{Kind: verify.Call, ID: "c1", Key: "k", Text: "booked", Done: true, Exchanges: x("d", 201)},
		},
		TerminatedAt: map[string]time.Time{"e": at(50)}, LeavingSince: map[string]time.Time{"a": at(15)},
		Rounds: 1, Publications: []verify.Publication{
			{Round: 1, MarkerModel: "mark-1", Accepted: true, Version: 5, At: at(0)}, {Round: 1, MarkerModel: "mark-2", At: at(1)},
		},
		Observations: []verify.Observation{{Daemon: "d", Sent: at(1), Ended: at(2)}, {Daemon: "d", Sent: at(3000), Ended: at(3001), MarkerModel: "mark-1"}},
	}
}

// TestCheck guards against a violation of an invariant that Check does not report,
// and against one that it reports in a history without violations.
func TestCheck(t *testing.T) {
	must.Eq(t, nil, validHistory(t).Check())
	for name, c := range map[string]struct {
		invariant string
		change    func(h *verify.History)
	}{
		"two replicas":      {"I1", func(h *verify.History) { h.Engines[1].Records.Entries[0].TimeUS = us(15) }},
		"over memory":       {"I2", func(h *verify.History) { h.Engines[0].Records.PeakBytes = 11 }},
		"order over memory": {"I2", func(h *verify.History) { add(h, engsv.Entry{Kind: "order-refused", Code: "memory"}) }},
		"late":              {"I3", func(h *verify.History) { h.Requests[0].Exchanges[0].Ended = at(3001) }},
		"dropped":           {"I3", func(h *verify.History) { h.Requests[1].Exchanges[0].Complete = false }},
		"short answer":      {"I4", func(h *verify.History) { h.Requests[0].Text = h.Requests[0].Text[:3] }},
		"token twice":       {"I4", func(h *verify.History) { h.Requests[0].Text += "x " }},
		"event twice":       {"I4", func(h *verify.History) { h.Requests[0].Tokens = 5 }},
		"other part": {"I4", func(h *verify.History) {
			h.Requests[0].Done, h.Requests[0].Text = false, "nothing "
		}},
		"false no":      {"I5", func(h *verify.History) { add(h, engsv.Entry{Kind: "run", Request: "r2"}) }},
		"no run stated": {"I5", func(h *verify.History) { h.Requests[1].Run = "" }},
		"second run": {"I6", func(h *verify.History) {
			h.Services[0].Entries = append(h.Services[0].Entries, servsv.Entry{Kind: "run", Request: "c2", Key: "k"})
		}},
		"no run at all": {"I4", func(h *verify.History) { h.Services[0].Entries = nil }},
		"late work":     {"I7", func(h *verify.History) { add(h, engsv.Entry{TimeUS: us(3016), Kind: "leaving-refused"}) }},
		"cut by stop": {"I8", func(h *verify.History) {
			h.Requests[0].Exchanges[0].Daemon, h.Requests[0].Exchanges[0].Complete, h.Requests[0].Done = "e", false, false
		}},
		"none accepted": {"I9", func(h *verify.History) { h.Publications[0].Accepted = false; h.Observations = nil }},
		"both accepted": {"I9", func(h *verify.History) { h.Publications[1].Accepted, h.Publications[1].Version = true, 4 }},
		"reverted": {"I9", func(h *verify.History) {
			h.Observations = append(h.Observations, verify.Observation{Daemon: "d", Sent: at(3500), Ended: at(3501)})
		}},
		"not in force": {"I9", func(h *verify.History) { h.Observations[1].Sent, h.Observations[1].MarkerModel = at(4001), "" }},
		"refused one in force": {"I9", func(h *verify.History) {
			h.Observations[1].MarkerModel = "mark-2"
		}},
	} {
		h := validHistory(t)
		c.change(h)
		found := map[string]bool{}
		for _, v := range h.Check() {
			found[v.Invariant] = true
		}
		must.True(t, found[c.invariant], must.Sprintf("%s: found %v", name, h.Check()))
	}
}

// add appends e to the records of engine a.
func add(h *verify.History, e engsv.Entry) {
	r := &h.Engines[0].Records
	r.Entries = append(r.Entries, e)
}
