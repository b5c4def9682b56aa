package poison

import (
	"slices"
	"strings"
	"time"
)

type (
	// Crash is one crash of an upstream while it ran a request.
	Crash struct {
		// ID names the upstream and its incarnation, so that reports of the
		// same crash by several daemons count once.
		ID string
		At time.Time
		// Progress is set if the request had produced tokens on the upstream
		// in this attempt.
		Progress bool
	}

	// Entry is the history of one fingerprint.
	Entry struct {
		// Fingerprint identifies a request or, if it has a prefix that ends with a
		// colon, something that requests have in common.
		Fingerprint string
		Crashes     []Crash
		// Cleared are crashes that do not count, because the request has
		// completed since. They are kept so that a daemon which has not
		// learnt of that can't restore them.
		Cleared []Crash
	}
)

const (
	// partPrefix distinguishes the key of a part from the fingerprint of a request,
	// which is hexadecimal.
	partPrefix = "part:"
	// maxCrashes bounds the crashes, and the cleared ones, that are kept for
	// one fingerprint; the newest are kept. It exceeds the upstreams that may
	// crash before a quarantine is known everywhere, so that the part of a
	// prompt that caused them still explains all of them.
	maxCrashes = 24
)

// PartKey returns the key of the history of a part of prompts.
func PartKey(part string) string { return partPrefix + part }

// PartOf returns the part of prompts whose history has a key, and false for that of
// a request.
func PartOf(key string) (part string, ok bool) { return strings.CutPrefix(key, partPrefix) }

// isRequest reports whether a key is the fingerprint of a request.
func isRequest(key string) bool { return !strings.Contains(key, ":") }

// Join returns the history that has the crashes of both, except those that either
// has cleared. It depends neither on the order of histories nor on how often one is
// joined.
//
// Of what requests have in common, only the last cleared crash is kept and the crashes
// after it: what most requests have is involved in nearly every crash, and its history
// would be long and change often.
func Join(a, b Entry) Entry {
	cleared := union(a.Cleared, b.Cleared, nil)
	crashes := union(a.Crashes, b.Crashes, cleared)
	if !isRequest(a.Fingerprint) && len(cleared) > 0 {
		cleared = cleared[len(cleared)-1:]
		crashes = slices.DeleteFunc(crashes, func(c Crash) bool { return !c.At.After(cleared[0].At) })
	}
	return Entry{Fingerprint: a.Fingerprint, Crashes: crashes, Cleared: cleared}
}

// Equal reports whether two histories have the same crashes.
func (e Entry) Equal(o Entry) bool { return equal(e.Crashes, o.Crashes) && equal(e.Cleared, o.Cleared) }

// union returns the newest crashes of a and b that are not in except, in the order
// of time. A crash in both has the earlier time, and progress only if both have it.
func union(a, b, except []Crash) []Crash {
	byID := make(map[string]Crash, len(a)+len(b))
	for _, c := range append(slices.Clone(a), b...) {
		if old, ok := byID[c.ID]; ok {
			c.Progress = c.Progress && old.Progress
			if old.At.Before(c.At) {
				c.At = old.At
			}
		}
		byID[c.ID] = c
	}
	for _, c := range except {
		delete(byID, c.ID)
	}
	out := make([]Crash, 0, len(byID))
	for _, c := range byID {
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Crash) int {
		if c := x.At.Compare(y.At); c != 0 {
			return c
		}
		return strings.Compare(x.ID, y.ID)
	})
	return out[max(len(out)-maxCrashes, 0):]
}

// equal reports whether two lists have the same crashes in the same order.
func equal(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(x, y Crash) bool {
		return x.ID == y.ID && x.At.Equal(y.At) && x.Progress == y.Progress
	})
}

// contains reports whether list has all of crashes, as they are.
func contains(list, crashes []Crash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(list, func(d Crash) bool {
			return c.ID == d.ID && !c.At.Before(d.At) && (c.Progress || !d.Progress)
		}) {
			return false
		}
	}
	return true
}

// lastAt returns the time of the last crash, cleared ones included.
func (e Entry) lastAt() (at time.Time) {
	for _, list := range [][]Crash{e.Crashes, e.Cleared} {
		if n := len(list); n > 0 && list[n-1].At.After(at) {
			at = list[n-1].At
		}
	}
	return at
}
