package main

import (
	"encoding/json"
	"time"
)

// Paths of the routes.
const (
	streamPath  = "/advice/"
	summaryPath = "/summary/"
	unsafePath  = "/booking/"
	safePath    = "/lookup/"
	model       = "m1"
)

// streamHeaders are the headers of a request for a stream.
func streamHeaders(id string) []string {
	return []string{"X-Model: " + model, "X-Token-Count: 543,282", "X-Prompt-Prefix: aa:103,bb:69," + id + ":371"}
}

// configuration returns a configuration with the kinds of request of figtray-coop.
func configuration(version int) []byte {
	route := func(name, path, kind, service string, timeout, target time.Duration, attempts int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": path, "kind": kind, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": target.Milliseconds(),
			"priority": 1, "service": service, "maxAttempts": attempts, "resumable": resumable,
		}
		if kind == "streaming" {
			r["sessionAffinity"], r["gapAimMs"] = true, 150
		}
		return r
	}
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("advice", streamPath, "streaming", "assistant", 12*time.Second, 250*time.Millisecond, 2, true),
			route("summary", summaryPath, "streaming", "assistant", 20*time.Second, 2500*time.Millisecond, 1, false),
			route("booking", unsafePath, "unsafe", "desk", time.Second, 100*time.Millisecond, 1, false),
			route("lookup", safePath, "safe", "desk", time.Second, 100*time.Millisecond, 2, false),
		},
		"services": []any{
			map[string]any{"name": "assistant", "healthPath": "/healthz", "maxConnections": 290, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kvCapacity": 123290, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 6, "maxCount": 12,
				"hostMb": 140000.0, "diskMb": 710000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 3.9,
				"models": []any{map[string]any{"name": model, "weightsMb": 42700.0, "loadTimeS": 6.0, "adapters": 0, "adapterMb": 66.0, "warmS": 0.44, "diskS": 0.57}},
			}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}
