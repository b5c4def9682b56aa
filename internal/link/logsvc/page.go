package logsvc

import (
	"encoding/json"
	"fmt"
)

type (
	// Record is one record of a stream.
	Record struct {
		Offset uint64 `json:"offset"`
		// TimeMS is the time of the append by the log's clock, in
		// milliseconds since 1970.
		TimeMS int64  `json:"time-ms"`
		Data   []byte `json:"data"`
	}

	// Page is the result of a read.
	Page struct {
		// Oldest is the offset of the oldest retained record.
		Oldest uint64 `json:"oldest"`
		// End is the offset after the last record.
		End uint64 `json:"end"`
		// Records have consecutive offsets.
		Records []Record `json:"records"`
	}
)

// decodePage decodes and validates the response to a read of up to limit records
// that starts at offset from. It fails if a record is missing, repeated or
// outside the stream, because the state derived from such a page would differ
// between daemons.
func decodePage(b []byte, from uint64, limit int) (Page, error) {
	var p Page
	if err := json.Unmarshal(b, &p); err != nil {
		return Page{}, err
	}
	if p.Oldest == 0 || p.End < p.Oldest {
		return Page{}, fmt.Errorf("invalid oldest offset %d or end %d", p.Oldest, p.End)
	}
	if len(p.Records) > limit {
		return Page{}, fmt.Errorf("got %d records, limit is %d", len(p.Records), limit)
	}
	want := max(from, p.Oldest)
	for _, r := range p.Records {
		if r.Offset != want || r.Offset >= p.End {
			return Page{}, fmt.Errorf("got offset %d, want %d below the end %d", r.Offset, want, p.End)
		}
		want++
	}
	if len(p.Records) == 0 && want < p.End && limit > 0 {
		return Page{}, fmt.Errorf("no records at offset %d below the end %d", want, p.End)
	}
	return p, nil
}
