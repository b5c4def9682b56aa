package qlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurespan/azurespan/internal/core/poison"
)

// stored are the histories of all records of the topic by fingerprint.
type stored map[string][]poison.Entry

// pending returns the new content of this daemon's record, none if it is up to
// date, and the hosts whose records have expired.
func (s *Store) pending(now time.Time, inContact bool) (entries []poison.Entry, expired []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	review := s.reviewDue
	s.reviewDue = false
	known := stored{}
	for _, histories := range s.stored {
		for _, h := range histories {
			known[h.Fingerprint] = append(known[h.Fingerprint], h)
		}
	}
	missing := false
	for _, e := range s.relevant(now, inContact, known) {
		entries = append(entries, e)
		missing = missing || (review || s.crashes.ObservedHere(e.Fingerprint)) && !known.includes(e)
	}
	if !missing {
		entries = nil
	}
	if review {
		expired = s.expired()
	}
	// One crash says little of a request: such histories are left out first.
	slices.SortStableFunc(entries, func(a, b poison.Entry) int {
		return cmp.Compare(min(len(a.Crashes), 2), min(len(b.Crashes), 2))
	})
	return entries[max(len(entries)-maxHistories, 0):], expired
}

// relevant returns the histories that belong in the topic, in the order of their last crash:
// of what is quarantined, what the topic has already and, without contact with the holder,
// what was seen here. In contact, the others aren't looked at: while engines crash there are
// thousands. s.mu must be held.
func (s *Store) relevant(now time.Time, inContact bool, known stored) []poison.Entry {
	keys := map[string]struct{}{}
	for _, k := range s.judge.QuarantinedKeys(now) {
		keys[k] = struct{}{}
	}
	for k := range known {
		keys[k] = struct{}{}
	}
	if inContact {
		return s.crashes.RecentOf(now, keys)
	}
	return slices.DeleteFunc(s.crashes.Recent(now), func(e poison.Entry) bool {
		_, ok := keys[e.Fingerprint]
		return !ok && !s.crashes.ObservedHere(e.Fingerprint)
	})
}

// includes reports whether a record has all crashes of e, and has cleared all that
// e has cleared.
func (s stored) includes(e poison.Entry) bool {
	return slices.ContainsFunc(s[e.Fingerprint], func(h poison.Entry) bool {
		return contains(h.Crashes, e.Crashes) && contains(h.Cleared, e.Cleared)
	})
}

// expired returns the hosts whose records have no history that the table still
// keeps. s.mu must be held.
func (s *Store) expired() (hosts []string) {
	for host, entries := range s.stored {
		if !slices.ContainsFunc(entries, func(e poison.Entry) bool {
			kept := s.crashes.Entry(e.Fingerprint)
			return len(kept.Crashes)+len(kept.Cleared) > 0
		}) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// contains reports whether list has all of crashes.
func contains(list, crashes []poison.Crash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(list, func(d poison.Crash) bool { return d.ID == c.ID }) {
			return false
		}
	}
	return true
}
