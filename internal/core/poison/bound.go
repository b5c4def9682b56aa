package poison

import "github.com/hashicorp/golang-lru/v2/simplelru"

// bound chooses the histories that a Table drops. Those of one crash, which any
// request or part gets that runs on a crashing upstream, can't displace the
// others.
type bound struct {
	once, repeated *simplelru.LRU[string, struct{}]
}

// maxHistories bounds the histories of a Table: half of them may have one crash only,
// cleared ones included, and half of them more. An upstream that crashes with 48 requests,
// the slots of one here, leaves up to 432 with one crash.
const maxHistories = 16384

// newBound returns a bound that calls drop with the key of each history that is
// removed.
func newBound(drop func(key string)) *bound {
	removed := func(key string, _ struct{}) { drop(key) }
	return &bound{once: newLRU(removed), repeated: newLRU(removed)}
}

func newLRU(removed func(key string, _ struct{})) *simplelru.LRU[string, struct{}] {
	l, err := simplelru.NewLRU(maxHistories/2, removed)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return l
}

// add adds or moves a history that has changed. It may remove another one.
func (b *bound) add(h *history) {
	if len(h.Crashes)+len(h.Cleared) < 2 {
		b.repeated.Remove(h.Fingerprint)
		b.once.Add(h.Fingerprint, struct{}{})
		return
	}
	b.once.Remove(h.Fingerprint)
	b.repeated.Add(h.Fingerprint, struct{}{})
}

// use protects a history from being dropped, since it is still needed.
func (b *bound) use(key string) { b.repeated.Get(key) }

// remove removes a history.
func (b *bound) remove(key string) {
	b.once.Remove(key)
	b.repeated.Remove(key)
}
