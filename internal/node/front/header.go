package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/declare"
)

// Names of the caller's headers.
const (
	HeaderClass          = "Azurespan-Class"
	HeaderDeadline       = "Azurespan-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	fieldEventID         = "Last-Event-ID"
)

// checkSingle refuses a header that is given twice, because callers and
// daemons could then take different values.
func checkSingle(h http.Header) error {
	for _, name := range []string{HeaderClass, HeaderDeadline, HeaderIdempotencyKey, fieldEventID} {
		if len(h.Values(name)) > 1 {
			return badField(name, "is given more than once")
		}
	}
	return nil
}

// parseClass returns the class in text; an empty text is no class.
func parseClass(text string) (declare.Class, error) {
	switch c := declare.Class(text); c {
	case "", declare.Urgent, declare.Background:
		return c, nil
	}
	return "", badField(HeaderClass, "must be urgent or background, not %q", clip(text))
}

// parseDeadline returns the deadline in text, an RFC 3339 time or whole
// milliseconds from now. It must lie after now and at most limit later.
func parseDeadline(text string, now time.Time, limit time.Duration) (time.Time, error) {
	var t time.Time
	if ms, err := strconv.ParseUint(text, 10, 63); err == nil {
		if ms > uint64(limit/time.Millisecond) {
			return t, badField(HeaderDeadline, "is more than %v ahead", limit)
		}
		t = now.Add(time.Duration(ms) * time.Millisecond)
	} else if t, err = time.Parse(time.RFC3339Nano, text); err != nil {
		return time.Time{}, badField(HeaderDeadline, "must be an RFC 3339 time or whole milliseconds from receipt, not %q", clip(text))
	}
	if !t.After(now) {
		return time.Time{}, badField(HeaderDeadline, "is already past")
	}
	if t.After(now.Add(limit)) {
		return time.Time{}, badField(HeaderDeadline, "is more than %v ahead", limit)
	}
	return t, nil
}

// parseKey returns an idempotency key in its canonical form: a ULID in upper
// case or a UUIDv7 in lower case. Two spellings of one key are thus one key.
func parseKey(text string) (string, error) {
	if len(text) == ulid.EncodedSize {
		if id, err := ulid.ParseStrict(text); err == nil {
			return id.String(), nil
		}
	}
	if isUUIDv7(text) {
		return strings.ToLower(text), nil
	}
	return "", badField(HeaderIdempotencyKey, "must be a ULID or a UUIDv7, not %q", clip(text))
}

func isUUIDv7(s string) bool {
	if len(s) != 36 || s[14] != '7' || !strings.ContainsRune("89abAB", rune(s[19])) {
		return false
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case i == 8 || i == 13 || i == 18 || i == 23:
			if c != '-' {
				return false
			}
		case c >= '0' && c <= '9', c >= 'a' && c <= 'f', c >= 'A' && c <= 'F':
		default:
			return false
		}
	}
	return true
}

// clip shortens a caller's text for an error message.
func clip(s string) string {
	const most = 64
	if len(s) > most {
		return s[:most]
	}
	return s
}
