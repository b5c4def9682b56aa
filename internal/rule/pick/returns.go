package pick

import "time"

// defaultRestartTime is the time in which a crashed upstream is taken to be back until some
// have been.
const defaultRestartTime = 3 * time.Second

// unconnectedByAddress returns when each address could first not be connected to, of those
// without a sign since. A new upstream has it again soon after a crash.
func (t *Table) unconnectedByAddress() map[string]time.Time {
	lost := map[string]time.Time{}
	for _, u := range t.upstreams {
		if !u.unconnectedAt.IsZero() {
			lost[u.info.Address] = u.unconnectedAt
		}
	}
	return lost
}

// Returns returns the expected time at which the first crashed upstream of a service and
// software version is registered again, false if none has crashed lately.
func (t *Table) Returns(service, version string) (at time.Time, ok bool) {
	lost := map[string]time.Time{}
	for _, u := range t.byService[service] {
		if !u.unconnectedAt.IsZero() && u.info.Version == version && !u.leaving() {
			lost[u.info.Address] = u.unconnectedAt.Add(t.restartTime)
		}
	}
	for _, u := range t.byService[service] {
		if u.unconnectedAt.IsZero() {
			delete(lost, u.info.Address) // it is back
		}
	}
	for _, expected := range lost {
		if !ok || expected.Before(at) {
			at, ok = expected, true
		}
	}
	return at, ok
}
