package front

import (
	"encoding/json"
	"net/http"
)

// readiness is the document of GET /readyz.
type readiness struct {
	Ready bool `json:"ready"`
	// Missing names what keeps the daemon from serving.
	Missing []string `json:"missing"`
}

// Livez answers 200 while the process can answer at all.
func (f *Server) Livez(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n")) // a probe that is gone needs no answer
}

// Missing names what keeps the daemon from serving new requests; it is empty
// when the daemon is ready.
func (f *Server) Missing() []string {
	missing := append([]string{}, f.backend.Missing()...)
	if f.gate.isClosed() {
		missing = append(missing, "draining")
	}
	return missing
}

// Readyz answers 200 when the daemon can serve new requests, else 503, with
// what is missing.
func (f *Server) Readyz(w http.ResponseWriter, _ *http.Request) {
	missing := f.Missing()
	w.Header().Set("Content-Type", "application/json")
	if len(missing) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(readiness{len(missing) == 0, missing}) // as above
}
