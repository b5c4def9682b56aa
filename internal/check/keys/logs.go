package keys

import (
	"fmt"
	"net/http"
	"time"

	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	// logNode is a record of a log. A log is identified by the index of its
	// last node.
	logNode struct {
		entry    entry
		parent   int32
		depth    uint8
		children map[entry]int32
	}

	// readerKey identifies a state of a reader: the arguments start and end of
	// claims.New, and the node of the last record read.
	readerKey struct {
		start, end uint8
		node       int32
	}

	// logTree holds every log that the search has visited, as paths from the
	// root, and the states of their readers.
	logTree struct {
		limits claims.Limits
		nodes  []logNode
		states map[readerKey]*claims.State
	}
)

// unlimitedWindow is longer than the time between any two values of logMinutes.
const unlimitedWindow = 1000 * time.Minute

// newLogTree returns a logTree with the empty log. If ignoreRetention is set, keys
// do not expire.
func newLogTree(ignoreRetention bool) *logTree {
	l := claims.Limits{Window: windowMinutes * time.Minute, Ahead: aheadMinutes * time.Minute}
	if ignoreRetention {
		l.Window = unlimitedWindow
	}
	return &logTree{limits: l, nodes: []logNode{{parent: -1, children: map[entry]int32{}}}, states: map[readerKey]*claims.State{}}
}

// keyTimeBytes is the length of the time at the start of a key, which is a
// big-endian number of milliseconds.
const keyTimeBytes = 6

// key returns the key of all attempts, whose time is keyMinute.
func key() (k claims.Key) {
	ms := int64(keyMinute * msPerMinute)
	for i := range keyTimeBytes {
		k[i] = byte(ms >> (8 * (keyTimeBytes - 1 - i)))
	}
	return k
}

// id returns the claim ID of attempt a.
func id(a uint8) claims.ID { return claims.ID{15: a + 1} }

// digest returns the request digest of attempt a. It is the same for attempts 0
// and 1.
func digest(a uint8) claims.Digest { return claims.Digest{a / 2} }

// processName returns the daemon name of an incarnation of a server.
func processName(server, incarnation uint8) string { return fmt.Sprintf("s%d/%d", server, incarnation) }

// record returns the claims record that e describes.
func (e entry) record() claims.Record {
	switch e.kind {
	case takeOwnership:
		return claims.TakeOwnership{Daemon: processName(e.server, e.incarnation), Previous: uint64(e.epoch)}
	case claim:
		return claims.Claim{Key: key(), Digest: digest(e.attempt), ID: id(e.attempt), Daemon: processName(e.server, e.incarnation), Epoch: uint64(e.epoch)}
	case done:
		return claims.Done{Key: key(), ID: id(e.attempt), StoredResponse: claims.StoredResponse{Status: http.StatusOK}}
	default:
		return claims.Withdraw{Key: key(), ID: id(e.attempt)}
	}
}

// appendEntry returns the log that results from appending e to the log at, with
// the log time clock.
func (t *logTree) appendEntry(at int32, e entry, clock uint8) int32 {
	e.clock = clock
	if n, ok := t.nodes[at].children[e]; ok {
		return n
	}
	n := int32(len(t.nodes))
	t.nodes[at].children[e] = n
	t.nodes = append(t.nodes, logNode{entry: e, parent: at, depth: t.nodes[at].depth + 1, children: map[entry]int32{}})
	return n
}

// nextNode returns the node that follows position in log.
func (t *logTree) nextNode(position, log int32) int32 {
	for t.nodes[log].parent != position {
		log = t.nodes[log].parent
	}
	return log
}

// state returns the claims state of the server q at its position.
func (t *logTree) state(q server) *claims.State {
	r := readerKey{q.start, q.end, q.position}
	if c := t.states[r]; c != nil {
		return c
	}
	n := t.nodes[q.position]
	var c *claims.State
	if n.depth < q.start {
		c = claims.New(t.limits, uint64(q.start), uint64(q.end))
	} else {
		prev := q
		prev.position = n.parent
		c = t.state(prev).Clone()
		c.Apply(nil, uint64(n.depth), logMinutes[n.entry.clock]*msPerMinute, n.entry.record())
	}
	t.states[r] = c
	return c
}

// oldest returns the depth of the oldest record of log that the log service
// retains, and the node before it. If no record is retained, the depth is one more
// than that of log.
func (t *logTree) oldest(log int32, clock uint8) (depth uint8, before int32) {
	depth, before = t.nodes[log].depth+1, log
	for before != 0 && logMinutes[t.nodes[before].entry.clock] >= logMinutes[clock]-retentionMinutes {
		depth, before = t.nodes[before].depth, t.nodes[before].parent
	}
	return depth, before
}
