package front

import (
	"encoding/json"
	"net/http"
)

// readiness is the response body of GET /readyz.
type readiness struct {
	Ready bool `json:"ready"`
	// Missing lists what prevents the daemon from serving.
	Missing []string `json:"missing"`
}

// Livez handles GET /livez. It responds with 200 whenever the process can respond.
func (s *Server) Livez(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n")) // a prober that has disconnected is ignored
}

// Missing lists what prevents the daemon from serving new requests; it is empty
// when the daemon is ready.
func (s *Server) Missing() []string {
	missing := append([]string{}, s.backend.Missing()...)
	if s.tracker.isClosed() {
		missing = append(missing, "draining")
	}
	return missing
}

// Readyz handles GET /readyz. It responds with 200 if the daemon can serve new
// requests and with 503 otherwise, and lists what is missing.
func (s *Server) Readyz(w http.ResponseWriter, _ *http.Request) {
	missing := s.Missing()
	w.Header().Set("Content-Type", "application/json")
	if len(missing) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(readiness{len(missing) == 0, missing}) // as in Livez
}
