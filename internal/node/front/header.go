package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/azurespan/azurespan/declare"
)

// Names of request headers.
const (
	HeaderClass          = "Azurespan-Class"
	HeaderDeadline       = "Azurespan-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
)

// checkNotRepeated refuses headers that occur more than once, because it would be
// ambiguous which of the values applies.
func checkNotRepeated(h http.Header) error {
	for _, name := range []string{HeaderClass, HeaderDeadline, HeaderIdempotencyKey, headerLastEventID} {
		if len(h.Values(name)) > 1 {
			return fieldErrorf(name, "is given more than once")
		}
	}
	return nil
}

// parseClass returns the class in text, or an empty class if text is empty.
func parseClass(text string) (declare.Class, error) {
	switch c := declare.Class(text); c {
	case "", declare.Urgent, declare.Background:
		return c, nil
	}
	return "", fieldErrorf(HeaderClass, "must be urgent or background, not %q", truncate(text))
}

// parseDeadline returns the deadline in text, which is an RFC 3339 time or a whole
// number of milliseconds after now. It must be after now, by at most limit.
func parseDeadline(text string, now time.Time, limit time.Duration) (time.Time, error) {
	var t time.Time
	if ms, err := strconv.ParseUint(text, 10, 63); err == nil {
		if ms > uint64(limit/time.Millisecond) {
			return t, fieldErrorf(HeaderDeadline, "is more than %v ahead", limit)
		}
		t = now.Add(time.Duration(ms) * time.Millisecond)
	} else if t, err = time.Parse(time.RFC3339Nano, text); err != nil {
		return time.Time{}, fieldErrorf(HeaderDeadline, "must be an RFC 3339 time or whole milliseconds from receipt, not %q", truncate(text))
	}
	if !t.After(now) {
		return time.Time{}, fieldErrorf(HeaderDeadline, "is already past")
	}
	if t.After(now.Add(limit)) {
		return time.Time{}, fieldErrorf(HeaderDeadline, "is more than %v ahead", limit)
	}
	return t, nil
}

// parseKey returns an idempotency key in its canonical form: a ULID in upper case
// or a UUIDv7 in lower case. Keys that differ only in case are the same key.
func parseKey(text string) (string, error) {
	if len(text) == ulid.EncodedSize {
		if id, err := ulid.ParseStrict(text); err == nil {
			return id.String(), nil
		}
	}
	if isUUIDv7(text) {
		return strings.ToLower(text), nil
	}
	return "", fieldErrorf(HeaderIdempotencyKey, "must be a ULID or a UUIDv7, not %q", truncate(text))
}

// Layout of a UUID in text form (RFC 9562, section 4).
const (
	uuidTextBytes = 36
	// uuidVersionIndex and uuidVariantIndex are the indexes of the digits
	// with the version and the variant.
	uuidVersionIndex = 14
	uuidVariantIndex = 19
)

// isUUIDv7 reports whether s is a UUIDv7 in text form, in either case.
func isUUIDv7(s string) bool {
	if len(s) != uuidTextBytes || s[uuidVersionIndex] != '7' || !strings.ContainsRune("89abAB", rune(s[uuidVariantIndex])) {
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

// truncate shortens text from a request for an error message.
func truncate(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		return s[:maxBytes]
	}
	return s
}
