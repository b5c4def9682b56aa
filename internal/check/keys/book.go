package keys

import (
	"fmt"
	"time"

	"github.com/azurespan/azurespan/internal/core/claims"
)

type (
	page struct {
		entry  entry
		parent int32
		depth  uint8
		next   map[entry]int32
	}

	// reader names a fold: where it started and what it has read.
	reader struct {
		start, end uint8
		page       int32
	}

	// book holds every log that the search has met, and the folds of it.
	book struct {
		limits claims.Limits
		pages  []page
		folds  map[reader]*claims.State
	}
)

func newBook(ignoreRetention bool) *book {
	l := claims.Limits{Window: window * time.Minute, Ahead: ahead * time.Minute}
	if ignoreRetention {
		l.Window = 1000 * time.Minute
	}
	return &book{limits: l, pages: []page{{parent: -1, next: map[entry]int32{}}}, folds: map[reader]*claims.State{}}
}

func key() (k claims.Key) {
	ms := int64(keyTime * minuteMS)
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	return k
}

func id(a uint8) claims.ID { return claims.ID{15: a + 1} }

func digest(a uint8) claims.Digest { return claims.Digest{a / 2} }

func name(keeper, run uint8) string { return fmt.Sprintf("k%d/%d", keeper, run) }

func (e entry) record() claims.Record {
	switch e.kind {
	case take:
		return claims.TakeOwnership{Daemon: name(e.by, e.run), Previous: uint64(e.epoch)}
	case claim:
		return claims.Claim{Key: key(), Digest: digest(e.attempt), ID: id(e.attempt), Daemon: name(e.by, e.run), Epoch: uint64(e.epoch)}
	case done:
		return claims.Done{Key: key(), ID: id(e.attempt), StoredResponse: claims.StoredResponse{Status: 200}}
	default:
		return claims.Withdraw{Key: key(), ID: id(e.attempt)}
	}
}

func (b *book) add(at int32, e entry, clock uint8) int32 {
	e.clock = clock
	if n, ok := b.pages[at].next[e]; ok {
		return n
	}
	n := int32(len(b.pages))
	b.pages[at].next[e] = n
	b.pages = append(b.pages, page{entry: e, parent: at, depth: b.pages[at].depth + 1, next: map[entry]int32{}})
	return n
}

func (b *book) after(view, log int32) int32 {
	for b.pages[log].parent != view {
		log = b.pages[log].parent
	}
	return log
}

// fold returns the state of a keeper.
func (b *book) fold(k keeper) *claims.State {
	r := reader{k.start, k.end, k.view}
	if f := b.folds[r]; f != nil {
		return f
	}
	p := b.pages[k.view]
	var f *claims.State
	if p.depth < k.start {
		f = claims.New(b.limits, uint64(k.start), uint64(k.end))
	} else {
		prev := k
		prev.view = p.parent
		f = b.fold(prev).Clone()
		f.Apply(nil, uint64(p.depth), Times[p.entry.clock]*minuteMS, p.entry.record())
	}
	b.folds[r] = f
	return f
}

// oldest returns the first page that retention keeps in log, and its parent;
// the depth is one more than the log's if nothing is kept.
func (b *book) oldest(log int32, clock uint8) (depth uint8, before int32) {
	depth, before = b.pages[log].depth+1, log
	for before != 0 && Times[b.pages[before].entry.clock] >= Times[clock]-retention {
		depth, before = b.pages[before].depth, b.pages[before].parent
	}
	return depth, before
}
