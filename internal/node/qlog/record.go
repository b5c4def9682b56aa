package qlog

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// record is the stored form of a history; its key is the fingerprint.
	record struct {
		Crashes []crash `json:"crashes,omitempty"`
		Cleared []crash `json:"cleared,omitempty"`
	}

	// crash is the stored form of a poison.Crash.
	crash struct {
		ID       string `json:"id"`
		AtMS     int64  `json:"at-ms"`
		Progress bool   `json:"progress,omitempty"`
	}
)

// encode returns the stored form of e.
func encode(e poison.Entry) ([]byte, error) {
	b, err := json.Marshal(record{Crashes: toStored(e.Crashes), Cleared: toStored(e.Cleared)})
	return b, merry.Wrap(err)
}

// decode returns the history stored for a fingerprint.
func decode(fingerprint string, b []byte) (poison.Entry, error) {
	var r record
	if err := json.Unmarshal(b, &r); err != nil {
		return poison.Entry{}, merry.Wrap(err)
	}
	return poison.Entry{Fingerprint: fingerprint, Crashes: fromStored(r.Crashes), Cleared: fromStored(r.Cleared)}, nil
}

func toStored(crashes []poison.Crash) (out []crash) {
	for _, c := range crashes {
		out = append(out, crash{ID: c.ID, AtMS: c.At.UnixMilli(), Progress: c.Progress})
	}
	return out
}

func fromStored(crashes []crash) (out []poison.Crash) {
	for _, c := range crashes {
		out = append(out, poison.Crash{ID: c.ID, At: time.UnixMilli(c.AtMS), Progress: c.Progress})
	}
	return out
}
