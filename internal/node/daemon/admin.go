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

// Decisions is the answer to the explain command.
type Decisions struct {
	// Daemon made the decisions; other daemons have records of their own.
	Daemon string `json:"daemon"`
	// Model is the model asked for, or that of the adapter asked for.
	Model     string           `json:"model,omitempty"`
	Decisions []audit.Decision `json:"decisions"`
}

// adminHandler serves health, metrics and the operators' calls. Calls under
// /admin/ need the shared secret as bearer token.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", d.front.Livez)
	mux.HandleFunc("GET /readyz", d.front.Readyz)
	mux.HandleFunc("GET /admin/status", d.secured(func(*http.Request) any { return d.Status() }))
	mux.HandleFunc("GET /admin/decisions", d.secured(func(r *http.Request) any {
		q := r.URL.Query()
		return d.decisions(q.Get("request"), q.Get("model"))
	}))
	mux.HandleFunc("GET /admin/trace", d.authorized(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		base, outcomes, err := d.follow.Recording()
		if err == nil {
			err = trace.Record(w, base, outcomes)
		}
		if err != nil {
			// An aborted answer can't pass for a whole trace.
			panic(http.ErrAbortHandler)
		}
	}))
	return http.MaxBytesHandler(mux, 1<<16)
}

// secured answers with fn's value as JSON if the request has the secret.
func (d *Daemon) secured(fn func(*http.Request) any) http.HandlerFunc {
	return d.authorized(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the operator's connection is gone.
		_ = json.NewEncoder(w).Encode(fn(r))
	})
}

// authorized calls next only for requests with the shared secret.
func (d *Daemon) authorized(next http.HandlerFunc) http.HandlerFunc {
	secret := string(d.set.Secret.SharedSecret)
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

// decisions returns the records about a request or a model. Decisions are made
// about models, so the name of an adapter stands for its model's.
func (d *Daemon) decisions(request, model string) Decisions {
	if x := d.router.Config(); x != nil {
		if a := x.Adapter(model); a != nil {
			model = a.Model
		}
	}
	return Decisions{Daemon: d.name, Model: model, Decisions: d.trail.Find(request, model)}
}
