package blame

import "time"

// Repeated returns those of the keys of a request that all its repetitions have, whoever
// sends them: request, path and body, body.
func Repeated(keys []string) (out []string) {
	for _, k := range keys {
		if _, versioned := attributeOf(k); !versioned && breadthOf(k) == repeated {
			out = append(out, k)
		}
	}
	return out
}

// Uncleared returns the number of crashes of an attribute that haven't been cleared and
// aren't older than the retention, and the time of the last one.
func (t *Table) Uncleared(now time.Time, key string) (crashes int, last time.Time) {
	for _, c := range t.crashes.Entry(key).Crashes {
		if c.At.Add(t.crashes.Retention()).After(now) {
			crashes, last = crashes+1, c.At
		}
	}
	return crashes, last
}

// CompletedAt returns when a request with an attribute that isn't shared was last answered
// completely here, zero if that isn't known.
func (t *Table) CompletedAt(key string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, _ := t.completedAt.Peek(key)
	return at
}
