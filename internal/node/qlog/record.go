package qlog

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// record is the stored form of histories; its key is the host that wrote
	// it.
	record struct {
		Histories []history `json:"histories"`
	}

	// history is the stored form of a poison.Entry.
	history struct {
		Fingerprint string  `json:"fingerprint"`
		Crashes     []crash `json:"crashes,omitempty"`
		Cleared     []crash `json:"cleared,omitempty"`
	}

	// crash is the stored form of a poison.Crash.
	crash struct {
		ID       string `json:"id"`
		AtMS     int64  `json:"at-ms"`
		Progress bool   `json:"progress,omitempty"`
	}
)

// encode returns the stored form of histories.
func encode(entries []poison.Entry) ([]byte, error) {
	var r record
	for _, e := range entries {
		r.Histories = append(r.Histories, history{Fingerprint: e.Fingerprint, Crashes: toStored(e.Crashes), Cleared: toStored(e.Cleared)})
	}
	b, err := json.Marshal(r)
	return b, merry.Wrap(err)
}

// decode returns the histories of a record.
func decode(b []byte) ([]poison.Entry, error) {
	var r record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, merry.Wrap(err)
	}
	var out []poison.Entry
	for _, h := range r.Histories {
		out = append(out, poison.Entry{Fingerprint: h.Fingerprint, Crashes: fromStored(h.Crashes), Cleared: fromStored(h.Cleared)})
	}
	return out, nil
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
