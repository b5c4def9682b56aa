package relay

import "time"

type (
	// endings remembers for endingWindow how connections to upstreams ended. A
	// response without a length or chunks looks complete when its upstream
	// crashes; other connections to the upstream tell the difference.
	endings struct {
		crashes  map[string]time.Time
		unframed map[string][]unframedEnd
	}

	// unframedEnd is the end of a response that looked complete.
	unframedEnd struct {
		at         time.Time
		attributes []string
		// answeredFor is the time since the first byte of the answer.
		answeredFor time.Duration
	}
)

// endingWindow is the time within which the connections to a crashed upstream end.
const endingWindow = 250 * time.Millisecond

func newEndings() *endings {
	return &endings{crashes: map[string]time.Time{}, unframed: map[string][]unframedEnd{}}
}

// crash records that a connection to an incarnation of an upstream broke, and returns
// the responses that ended with it.
func (e *endings) crash(now time.Time, incarnation string) []unframedEnd {
	e.prune(now)
	ends := e.unframed[incarnation]
	delete(e.unframed, incarnation)
	e.crashes[incarnation] = now
	return ends
}

// end records the end of a response that looked complete, and reports whether the
// upstream crashed at that time.
func (e *endings) end(incarnation string, u unframedEnd) bool {
	e.prune(u.at)
	if _, crashed := e.crashes[incarnation]; crashed {
		return true
	}
	e.unframed[incarnation] = append(e.unframed[incarnation], u)
	return false
}

// prune forgets what is older than endingWindow.
func (e *endings) prune(now time.Time) {
	for k, at := range e.crashes {
		if now.Sub(at) > endingWindow {
			delete(e.crashes, k)
		}
	}
	for k, ends := range e.unframed {
		for len(ends) > 0 && now.Sub(ends[0].at) > endingWindow {
			ends = ends[1:]
		}
		if e.unframed[k] = ends; len(ends) == 0 {
			delete(e.unframed, k)
		}
	}
}
