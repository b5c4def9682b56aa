package engine

import (
	"encoding/json"
	"fmt"
	"slices"
)

type (
	// ReplicaState is the state of a model version on an engine.
	ReplicaState string

	// Tier is the storage tier of a checkpoint.
	Tier string

	// Replica is a model version in an engine's memory.
	Replica struct {
		Model       string       `json:"model"`
		Version     string       `json:"version"`
		State       ReplicaState `json:"state"`
		MemoryBytes int64        `json:"memory-bytes"`
		// Adapters are the names of the loaded adapters.
		Adapters []string `json:"adapters"`
		// Streams is the number of running and queued streams.
		Streams int `json:"streams"`
	}

	// Checkpoint is a model version in a cache of an engine's host. A
	// checkpoint that is not listed is remote.
	Checkpoint struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Tier    Tier   `json:"tier"`
	}

	// Report is the state of an engine at an earlier time.
	Report struct {
		Name string `json:"name"`
		// Incarnation increases with each restart.
		Incarnation int64 `json:"incarnation"`
		// TimeMS is the time of the state by the engine's clock, in
		// milliseconds since 1970.
		TimeMS  int64  `json:"time-ms"`
		Leaving bool   `json:"leaving"`
		Role    string `json:"role"`
		// Fencing is the highest fencing number seen.
		Fencing     uint64       `json:"fencing"`
		MemoryBytes int64        `json:"memory-bytes"`
		UsedBytes   int64        `json:"used-bytes"`
		Sequences   int          `json:"sequences"`
		Running     int          `json:"running"`
		Queued      int          `json:"queued"`
		Replicas    []Replica    `json:"models"`
		Checkpoints []Checkpoint `json:"checkpoints"`
	}
)

// States of a replica and tiers of a checkpoint.
const (
	Loading  ReplicaState = "loading"
	Ready    ReplicaState = "ready"
	Draining ReplicaState = "draining"

	InMemory Tier = "memory"
	OnDisk   Tier = "disk"
	Remote   Tier = "remote"
)

// Tier returns the storage tier of the checkpoint of a model version.
func (r *Report) Tier(model, version string) Tier {
	for _, c := range r.Checkpoints {
		if c.Model == model && c.Version == version {
			return c.Tier
		}
	}
	return Remote
}

// Replica returns the replica of a model version, nil if there is none.
func (r *Report) Replica(model, version string) *Replica {
	for i := range r.Replicas {
		if r.Replicas[i].Model == model && r.Replicas[i].Version == version {
			return &r.Replicas[i]
		}
	}
	return nil
}

// decodeReport decodes and validates a report. It fails on missing or negative
// numbers, unknown states and tiers, and duplicate model versions.
func decodeReport(b []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(b, &r); err != nil {
		return Report{}, err
	}
	if r.Incarnation <= 0 || r.TimeMS <= 0 || r.MemoryBytes <= 0 || r.UsedBytes < 0 || r.Sequences <= 0 || r.Running < 0 || r.Queued < 0 {
		return Report{}, fmt.Errorf("report has a missing or negative number")
	}
	for i, m := range r.Replicas {
		switch {
		case m.Model == "" || m.Version == "":
			return Report{}, fmt.Errorf("models[%d]: no model or version", i)
		case m.State != Loading && m.State != Ready && m.State != Draining:
			return Report{}, fmt.Errorf("models[%d]: unknown state %q", i, m.State)
		case m.MemoryBytes < 0 || m.Streams < 0 || slices.Contains(m.Adapters, ""):
			return Report{}, fmt.Errorf("models[%d]: negative number, or adapter without a name", i)
		case r.Replica(m.Model, m.Version) != &r.Replicas[i]:
			return Report{}, fmt.Errorf("models[%d]: %s@%s occurs twice", i, m.Model, m.Version)
		}
	}
	for i, c := range r.Checkpoints {
		if c.Model == "" || c.Version == "" || c.Tier != InMemory && c.Tier != OnDisk && c.Tier != Remote {
			return Report{}, fmt.Errorf("checkpoints[%d]: no model or version, or invalid tier %q", i, c.Tier)
		}
	}
	return r, nil
}
