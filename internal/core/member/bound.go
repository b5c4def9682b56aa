package member

import (
	"strings"

	"github.com/azurespan/azurespan/internal/base/heap"
)

type (
	// suspects chooses the suspects that a Set drops: those whose last crash is the
	// oldest. Daemons that know the same histories keep the same ones, so that a fact
	// which one has dropped isn't sent to it again and again. An order of use, as that
	// of an LRU cache, would differ between daemons.
	//
	// Those of one crash, which any request or part gets that runs on a crashing
	// upstream, can't displace the others.
	suspects struct {
		once, repeated *heap.Heap[suspect]
		nodes          map[Key]suspectNode
	}

	suspect struct {
		key    Key
		lastMS int64
	}

	suspectNode struct {
		in   *heap.Heap[suspect]
		node *heap.Node[suspect]
	}
)

// maxSuspects bounds the suspects of a Set: half of them may have one crash only,
// cleared ones included, and half of them more. The loss of a failure domain of the
// largest deployment ends some 900 requests (docs/CAPACITY.md).
const maxSuspects = 4096

func newSuspects() *suspects {
	return &suspects{once: heap.New(crashedBefore), repeated: heap.New(crashedBefore), nodes: map[Key]suspectNode{}}
}

// crashedBefore orders suspects by their last crash, then by name.
func crashedBefore(a, b suspect) bool {
	if a.lastMS != b.lastMS {
		return a.lastMS < b.lastMS
	}
	return strings.Compare(a.key.Name, b.key.Name) < 0
}

// add adds or moves the suspect of a fact that has changed. If there are too many, it
// removes the one whose last crash is the oldest, which may be the same, and returns
// its key.
func (s *suspects) add(f Fact) (dropped Key, drops bool) {
	s.remove(f.Key())
	in := s.once
	if len(f.Crashes)+len(f.Cleared) > 1 {
		in = s.repeated
	}
	s.nodes[f.Key()] = suspectNode{in, in.Push(suspect{f.Key(), f.lastCrashMS()})}
	if in.Len() <= maxSuspects/2 {
		return Key{}, false
	}
	dropped = in.Peek().Value.key
	s.remove(dropped)
	return dropped, true
}

// remove removes a suspect.
func (s *suspects) remove(k Key) {
	if n, ok := s.nodes[k]; ok {
		n.in.Remove(n.node)
		delete(s.nodes, k)
	}
}

// lastCrashMS returns the time of the last crash, cleared ones included.
func (f Fact) lastCrashMS() (at int64) {
	for _, list := range [][]Crash{f.Crashes, f.Cleared} {
		for _, c := range list {
			at = max(at, c.AtMS)
		}
	}
	return at
}
