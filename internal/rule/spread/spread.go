package spread

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Spreader decides for one state of one holder. It is not safe for concurrent use.
	Spreader struct {
		// bytesPerSecond is what the holder sends of such states.
		bytesPerSecond float64
		// allowance is the number of bytes that may be sent now, as of at.
		allowance float64
		at        time.Time
		sources   map[string]*source
	}

	// source is a daemon that has the state.
	source struct {
		// saidAt is when it last said so, and busyUntil until when it is busy with
		// those that were sent to it.
		saidAt, busyUntil time.Time
	}
)

const (
	// maxBytesPerSecond bounds what the holder sends of such states, and linkShare does so
	// as a share of its link: orders, reports and changes are sent over the same link.
	maxBytesPerSecond = 1e6
	linkShare         = 1.0 / 3
	// burstSeconds is the time without such states for which bytes are saved, to be sent
	// at once.
	burstSeconds = 1
	// sourceTTL is how long a daemon counts as a source after it last said so. Daemons ask
	// for changes each second at 320 of them.
	sourceTTL = 3 * time.Second
	// maxSources is the number of sources that a daemon is told.
	maxSources = 3
)

// New returns a Spreader without sources for a holder whose link carries linkBytes a
// second, 0 if that is not known.
func New(now time.Time, linkBytes float64) *Spreader {
	rate := BytesPerSecond(linkBytes)
	return &Spreader{bytesPerSecond: rate, allowance: rate * burstSeconds, at: now, sources: map[string]*source{}}
}

// BytesPerSecond returns what the holder may send of one kind of state over a link of
// linkBytes a second, 0 if that is not known.
func BytesPerSecond(linkBytes float64) float64 {
	if linkBytes <= 0 {
		return maxBytesPerSecond
	}
	return min(linkShare*linkBytes, maxBytesPerSecond)
}

// Has records that the daemon at an address says that it has the state and passes it on.
func (s *Spreader) Has(now time.Time, address string) {
	if s.sources[address] == nil {
		s.sources[address] = &source{}
	}
	s.sources[address].saidAt = now
}

// Choose decides from whom the daemon at an address gets the state of a size in bytes:
// from the holder if send is set, else from the first of sources that answers. If there is
// neither, it asks again later. A daemon without an address gets it from the holder.
func (s *Spreader) Choose(now time.Time, address string, size int) (send bool, sources []string) {
	s.allowance = min(s.allowance+s.bytesPerSecond*max(now.Sub(s.at), 0).Seconds(), s.bytesPerSecond*burstSeconds)
	s.at = now
	if address == "" || s.allowance > 0 {
		// A state that is larger than the allowance is sent, too, and paid off.
		s.allowance -= float64(size)
		return true, nil
	}
	return false, s.freeSources(now, address, size)
}

// freeSources returns sources that aren't busy, those that have been free for longest first,
// and counts the first as busy for the time that sending takes over the slowest link.
func (s *Spreader) freeSources(now time.Time, address string, size int) (sources []string) {
	for a, src := range s.sources {
		switch {
		case now.Sub(src.saidAt) > sourceTTL:
			delete(s.sources, a)
		case a != address && !now.Before(src.busyUntil):
			sources = append(sources, a)
		}
	}
	slices.SortFunc(sources, func(a, b string) int {
		return cmp.Or(s.sources[a].busyUntil.Compare(s.sources[b].busyUntil), cmp.Compare(a, b))
	})
	sources = sources[:min(len(sources), maxSources)]
	if len(sources) > 0 {
		s.sources[sources[0]].busyUntil = now.Add(time.Duration(float64(size) / s.bytesPerSecond * float64(time.Second)))
	}
	return sources
}
