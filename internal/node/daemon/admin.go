package daemon

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azurespan/azurespan/internal/check/trace"

	"github.com/azurespan/azurespan/internal/node/audit"
)

// adminMaxBodyBytes bounds the body of a request to the admin listener.
const adminMaxBodyBytes = 1 << 16

// Decisions is the answer to the explain command.
type Decisions struct {
	// Daemon is the daemon that made the decisions. Other daemons have records
	// of their own.
	Daemon string `json:"daemon"`
	// Model is the requested model, or the model of the requested adapter.
	Model     string           `json:"model,omitempty"`
	Decisions []audit.Decision `json:"decisions"`
}

// adminHandler serves health checks, metrics and the operators' calls. Calls
// under /admin/ require the shared secret as bearer token.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", d.front.Livez)
	mux.HandleFunc("GET /readyz", d.front.Readyz)
	mux.HandleFunc("GET /admin/status", d.authorizedJSON(func(*http.Request) any { return d.Status() }))
	mux.HandleFunc("GET /admin/decisions", d.authorizedJSON(func(r *http.Request) any {
		q := r.URL.Query()
		return d.decisions(q.Get("request"), q.Get("model"))
	}))
	mux.HandleFunc("GET /admin/trace", d.authorized(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		base, outcomes, err := d.follower.Recording()
		if err == nil {
			err = trace.Record(w, base, outcomes)
		}
		if err != nil {
			// Aborts the response, so that the client can't take a part of the
			// trace for the whole.
			panic(http.ErrAbortHandler)
		}
	}))
	return http.MaxBytesHandler(mux, adminMaxBodyBytes)
}

// authorizedJSON responds with the result of fn as JSON to requests with the
// shared secret.
func (d *Daemon) authorizedJSON(fn func(*http.Request) any) http.HandlerFunc {
	return d.authorized(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the operator's connection is closed.
		_ = json.NewEncoder(w).Encode(fn(r))
	})
}

// authorized calls next only for requests with the shared secret.
func (d *Daemon) authorized(next http.HandlerFunc) http.HandlerFunc {
	secret := string(d.settings.Secret.SharedSecret)
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(secret)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the shared secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// decisions returns the recorded decisions about a request or a model.
// Decisions are about models, so the name of an adapter is replaced with that of
// its model.
func (d *Daemon) decisions(request, model string) Decisions {
	if index := d.router.Config(); index != nil {
		if a := index.Adapter(model); a != nil {
			model = a.Model
		}
	}
	return Decisions{Daemon: d.name, Model: model, Decisions: d.trail.Find(request, model)}
}
