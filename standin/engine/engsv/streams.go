package engsv

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurespan/azurespan/standin/serve"
)

type (
	delta struct {
		Content string `json:"content"`
	}

	choice struct {
		Index  int     `json:"index"`
		Delta  delta   `json:"delta"`
		Finish *string `json:"finish_reason"`
	}

	chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}

	// kvState is the exported KV cache state of a stream. A real engine exports
	// opaque bytes.
	kvState struct {
		Request  string     `json:"request"`
		Priority string     `json:"priority"`
		Next     int64      `json:"next"`
		Text     Completion `json:"text"`
	}
)

// keepAliveInterval is the time between comments sent on a stream that has no
// new tokens.
const keepAliveInterval = 500 * time.Millisecond

// checkReplica returns the error code and detail if no replica can run t, and
// empty strings otherwise.
func (st *state) checkReplica(t *Completion) (code, detail string) {
	rep := st.replicas[t.Model+"@"+t.Version]
	if rep == nil || rep.state != "ready" {
		return "model-not-loaded", t.Model + "@" + t.Version
	}
	if t.Adapter != "" && !rep.readyAdapters[t.Adapter] {
		return "adapter-not-loaded", t.Adapter
	}
	return "", ""
}

func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if !serve.ReadJSON(w, r, &c) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(c.Messages) == 0 {
		serve.Error(w, http.StatusBadRequest, "bad-request", "X-Request-Id and messages are required")
		return
	}
	t := c.completion()
	if c.Prefix != "" && c.PrefixTokens == 0 {
		c.PrefixTokens = int64(strings.Count(c.Prefix, " "))
	}
	st := s.lockState(w, true)
	if st == nil {
		return
	}
	o := st.streams[id]
	switch code, detail := st.checkReplica(t); {
	case o != nil && *o.completion != *t:
		s.mu.Unlock()
		serve.Error(w, http.StatusConflict, "request-id-in-use", id)
		return
	case o != nil && c.PrefixTokens >= o.first && !o.cancelled:
		// A repeated request attaches to the existing stream.
	case code != "":
		s.record(Entry{Kind: "request-refused", Request: id, Model: t.Model, Version: t.Version, Adapter: t.Adapter, Code: code})
		s.mu.Unlock()
		serve.Error(w, http.StatusNotFound, code, detail)
		return
	case c.PrefixTokens >= t.Tokens:
		s.mu.Unlock()
		serve.Error(w, http.StatusBadRequest, "bad-request", "the prefix is as long as the answer")
		return
	default:
		if c.Prefix != t.Text(0, c.PrefixTokens) {
			s.record(Entry{Kind: "prefix-mismatch", Request: id, To: c.PrefixTokens})
		}
		o = &stream{id: id, priority: r.Header.Get("X-Priority"), completion: t, prefixKey: orDefault(r.Header.Get("X-Prefix-Hash"), t.prefixHash()), first: c.PrefixTokens, next: c.PrefixTokens}
		s.enqueue(st, o)
	}
	s.mu.Unlock()
	s.writeStream(w, r, st, o, c.PrefixTokens)
}

func (s *Server) getStream(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	st := s.lockState(w, false)
	o := st.streams[r.PathValue("id")]
	s.mu.Unlock()
	switch {
	case o == nil:
		serve.Error(w, http.StatusNotFound, "unknown-stream", r.PathValue("id"))
	case err != nil || from < o.first:
		serve.Error(w, http.StatusConflict, "not-kept", fmt.Sprintf("the stream starts at token %d", o.first))
	default:
		s.writeStream(w, r, st, o, from)
	}
}

func (s *Server) deleteStream(w http.ResponseWriter, r *http.Request) {
	st := s.lockState(w, false)
	o := st.streams[r.PathValue("id")]
	if o != nil && !o.done() {
		o.cancelled = true
		s.finish(st, o)
		o.notify()
	}
	s.mu.Unlock()
	if o == nil {
		serve.Error(w, http.StatusNotFound, "unknown-stream", r.PathValue("id"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeStream sends the tokens of o, starting at index from, as server-sent
// events. A fault mode applies to the token halfway to the end.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *state, o *stream, from int64) {
	s.mu.Lock()
	mode := s.faults.Mode
	if mode != "" && s.faults.Times > 0 {
		if s.faults.Times--; s.faults.Times == 0 {
			s.faults.Mode = ""
		}
	}
	s.mu.Unlock()
	sent := from
	defer func() {
		s.mu.Lock()
		s.record(Entry{Kind: "sent", Request: o.id, From: from, To: sent})
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	event := func(i int64, id string) {
		c := chunk{ID: id, Object: "chat.completion.chunk", Model: o.completion.Model, Choices: []choice{{Delta: delta{o.completion.Token(i)}}}}
		if i == o.completion.Tokens-1 {
			c.Choices[0].Finish = &o.completion.Finish
		}
		b, _ := json.Marshal(c)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, b)
	}
	half := from + (o.completion.Tokens-from)/2
	for {
		s.mu.Lock()
		next, cancelled, changed := o.next, o.cancelled, o.changed
		s.mu.Unlock()
		for ; sent < next; sent++ {
			id := o.id
			if sent == half {
				switch mode {
				case "garbage":
					fmt.Fprintf(w, "id: %d\ndata: {\"choices\": \x00}\n\n", sent)
					continue
				case "half":
					return
				case "cut":
					rc.Flush()
					panic(http.ErrAbortHandler)
				case "foreign-id":
					id = "another-request"
				case "duplicate":
					event(sent, id)
				case "skip":
					continue
				}
			}
			event(sent, id)
		}
		if sent >= o.completion.Tokens {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		rc.Flush()
		if cancelled {
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
			fmt.Fprint(w, ": waiting\n\n")
		case <-r.Context().Done():
			return
		case <-st.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) getKV(w http.ResponseWriter, r *http.Request) {
	st := s.lockState(w, false)
	o := st.streams[r.PathValue("id")]
	var out kvState
	if o != nil {
		out = kvState{Request: o.id, Priority: o.priority, Next: o.next, Text: *o.completion}
		s.record(Entry{Kind: "kv-export", Request: o.id, To: o.next})
	}
	s.mu.Unlock()
	if o == nil {
		serve.Error(w, http.StatusNotFound, "unknown-stream", r.PathValue("id"))
		return
	}
	serve.WriteJSON(w, http.StatusOK, out)
}

// putKV imports the KV state of a stream and continues it without prefill.
func (s *Server) putKV(w http.ResponseWriter, r *http.Request) {
	var in kvState
	if !serve.ReadJSON(w, r, &in) {
		return
	}
	st := s.lockState(w, true)
	if st == nil {
		return
	}
	defer s.mu.Unlock()
	code, detail := st.checkReplica(&in.Text)
	switch {
	case in.Request != r.PathValue("id"):
		serve.Error(w, http.StatusBadRequest, "bad-request", "the state belongs to "+in.Request)
	case st.streams[in.Request] != nil:
		serve.Error(w, http.StatusConflict, "request-id-in-use", in.Request)
	case code != "":
		serve.Error(w, http.StatusNotFound, code, detail)
	default:
		s.record(Entry{Kind: "kv-import", Request: in.Request, To: in.Next})
		o := &stream{id: in.Request, priority: in.Priority, completion: &in.Text, first: 0, next: in.Next}
		s.enqueue(st, o)
		w.WriteHeader(http.StatusNoContent)
	}
}
