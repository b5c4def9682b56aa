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

	// kv is the exported state of a stream. A real engine's is opaque bytes.
	kv struct {
		Request  string     `json:"request"`
		Priority string     `json:"priority"`
		Next     int64      `json:"next"`
		Text     Completion `json:"text"`
	}
)

// keepAlive is the interval of the comments sent while a stream waits.
const keepAlive = 500 * time.Millisecond

// replicaFor returns the replica that can run t, or the code and reason of
// the refusal.
func (st *state) replicaFor(t *Completion) (code, detail string) {
	rep := st.replicas[t.Model+"@"+t.Version]
	if rep == nil || rep.state != "ready" {
		return "model-not-loaded", t.Model + "@" + t.Version
	}
	if t.Adapter != "" && !rep.ready[t.Adapter] {
		return "adapter-not-loaded", t.Adapter
	}
	return "", ""
}

func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request) {
	var c completion
	if !serve.ReadJSON(w, r, &c) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(c.Messages) == 0 {
		serve.Error(w, http.StatusBadRequest, "bad-request", "X-Request-Id and messages are required")
		return
	}
	t := c.text()
	if c.Prefix != "" && c.PrefixLen == 0 {
		c.PrefixLen = int64(strings.Count(c.Prefix, " "))
	}
	st := s.begin(w, true)
	if st == nil {
		return
	}
	o := st.runs[id]
	switch code, detail := st.replicaFor(t); {
	case o != nil && *o.text != *t:
		s.mu.Unlock()
		serve.Error(w, http.StatusConflict, "request-id-in-use", id)
		return
	case o != nil && c.PrefixLen >= o.first && !o.cancelled:
		// A repeated request attaches to the run that exists.
	case code != "":
		s.note(Entry{Kind: "request-refused", Request: id, Model: t.Model, Version: t.Version, Adapter: t.Adapter, Code: code})
		s.mu.Unlock()
		serve.Error(w, http.StatusNotFound, code, detail)
		return
	case c.PrefixLen >= t.Tokens:
		s.mu.Unlock()
		serve.Error(w, http.StatusBadRequest, "bad-request", "the prefix is as long as the answer")
		return
	default:
		if c.Prefix != t.Text(0, c.PrefixLen) {
			s.note(Entry{Kind: "prefix-mismatch", Request: id, To: c.PrefixLen})
		}
		o = &run{id: id, priority: r.Header.Get("X-Priority"), text: t, prefix: or(r.Header.Get("X-Prefix-Hash"), t.prefixHash()), first: c.PrefixLen, next: c.PrefixLen}
		s.enqueue(st, o)
	}
	s.mu.Unlock()
	s.send(w, r, st, o, c.PrefixLen)
}

func (s *Server) getStream(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	st := s.begin(w, false)
	o := st.runs[r.PathValue("id")]
	s.mu.Unlock()
	switch {
	case o == nil:
		serve.Error(w, http.StatusNotFound, "unknown-stream", r.PathValue("id"))
	case err != nil || from < o.first:
		serve.Error(w, http.StatusConflict, "not-kept", fmt.Sprintf("the stream starts at token %d", o.first))
	default:
		s.send(w, r, st, o, from)
	}
}

func (s *Server) deleteStream(w http.ResponseWriter, r *http.Request) {
	st := s.begin(w, false)
	o := st.runs[r.PathValue("id")]
	if o != nil && !o.done() {
		o.cancelled = true
		s.finish(st, o)
		o.wake()
	}
	s.mu.Unlock()
	if o == nil {
		serve.Error(w, http.StatusNotFound, "unknown-stream", r.PathValue("id"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// send writes the tokens of o from index from as server-sent events, with the
// mode in force applied halfway.
func (s *Server) send(w http.ResponseWriter, r *http.Request, st *state, o *run, from int64) {
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
		s.note(Entry{Kind: "sent", Request: o.id, From: from, To: sent})
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	event := func(i int64, id string) {
		c := chunk{ID: id, Object: "chat.completion.chunk", Model: o.text.Model, Choices: []choice{{Delta: delta{o.text.Token(i)}}}}
		if i == o.text.Tokens-1 {
			c.Choices[0].Finish = &o.text.Finish
		}
		b, _ := json.Marshal(c)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, b)
	}
	half := from + (o.text.Tokens-from)/2
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
		if sent >= o.text.Tokens {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		rc.Flush()
		if cancelled {
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAlive):
			fmt.Fprint(w, ": waiting\n\n")
		case <-r.Context().Done():
			return
		case <-st.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) getKV(w http.ResponseWriter, r *http.Request) {
	st := s.begin(w, false)
	o := st.runs[r.PathValue("id")]
	var out kv
	if o != nil {
		out = kv{Request: o.id, Priority: o.priority, Next: o.next, Text: *o.text}
		s.note(Entry{Kind: "kv-export", Request: o.id, To: o.next})
	}
	s.mu.Unlock()
	if o == nil {
		serve.Error(w, http.StatusNotFound, "unknown-stream", r.PathValue("id"))
		return
	}
	serve.WriteJSON(w, http.StatusOK, out)
}

// putKV imports a stream and continues it without prefill.
func (s *Server) putKV(w http.ResponseWriter, r *http.Request) {
	var in kv
	if !serve.ReadJSON(w, r, &in) {
		return
	}
	st := s.begin(w, true)
	if st == nil {
		return
	}
	defer s.mu.Unlock()
	code, detail := st.replicaFor(&in.Text)
	switch {
	case in.Request != r.PathValue("id"):
		serve.Error(w, http.StatusBadRequest, "bad-request", "the state belongs to "+in.Request)
	case st.runs[in.Request] != nil:
		serve.Error(w, http.StatusConflict, "request-id-in-use", in.Request)
	case code != "":
		serve.Error(w, http.StatusNotFound, code, detail)
	default:
		s.note(Entry{Kind: "kv-import", Request: in.Request, To: in.Next})
		o := &run{id: in.Request, priority: in.Priority, text: &in.Text, first: 0, next: in.Next}
		s.enqueue(st, o)
		w.WriteHeader(http.StatusNoContent)
	}
}
