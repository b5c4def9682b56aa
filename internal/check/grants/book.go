package grants

import (
	"bytes"
	"fmt"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
)

type (
	// page is one record of a log, with the state after it. A log is named
	// by its last page.
	page struct {
		entry  entry
		parent int32
		depth  uint8
		reason ctrl.Reason
		ledger *ctrl.State
		next   map[entry]int32
	}

	// book holds every log that the search has met.
	book struct {
		pages []page
		// trustFormers makes releases ignore former owners.
		trustFormers bool
	}
)

var (
	upNames    = [ups]string{"u0", "u1"}
	modelNames = [models]string{"m", "n"}
)

func daemonName(d uint8) string { return fmt.Sprintf("h%d/1", d) }

// newBook returns a book with the start of every log: the configuration, and
// the ownership of upstream i by daemon i.
func newBook(ignores [ups]bool, trustFormers bool) *book {
	d := &declare.Deployment{
		Name: "model", FailureDomains: []string{"a"},
		Services: []declare.Service{{Name: "s", Kind: declare.ModelService}},
	}
	for i, n := range upNames {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: n, Service: "s", FailureDomain: "a", Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			MemoryBytes: 100, Accelerators: 1, IgnoresFencing: ignores[i],
		})
	}
	for _, n := range modelNames {
		d.Models = append(d.Models, declare.Model{
			Name: n, Services: []string{"s"}, Version: "1", Replicas: 1, KVBytes: 20,
			Versions: []declare.Version{{Name: "1", WeightBytes: 80}},
		})
	}
	var b bytes.Buffer
	if err := d.Encode(&b); err != nil {
		panic(err)
	}
	l := ctrl.New()
	if out := l.Apply(offset(1), record.Publish{Config: b.Bytes()}); out.Reason != ctrl.Accepted {
		panic(out.Detail)
	}
	return &book{trustFormers: trustFormers, pages: []page{{parent: -1, depth: 1, ledger: l, next: map[entry]int32{}}}}
}

// offset leaves a free offset before each record, for the acknowledgements
// that trustFormers inserts.
func offset(depth uint8) uint64 { return 2 * uint64(depth) }

func (e entry) record() record.Record {
	up, model := upNames[e.up], modelNames[e.model]
	switch e.kind {
	case take:
		return record.TakeOwnership{Upstream: up, Daemon: daemonName(e.by), Previous: uint64(e.epoch)}
	case acknowledge:
		return record.AcknowledgeLoss{Upstream: up, Daemon: daemonName(e.by), Epoch: uint64(e.epoch)}
	case gone:
		return record.HostGone{Host: fmt.Sprintf("h%d", e.by)}
	case grant:
		return record.Grant{Upstream: up, Epoch: uint64(e.epoch), Model: model, Version: "1"}
	default:
		return record.Release{Upstream: up, Epoch: uint64(e.epoch), Model: model, Version: "1", GrantedAt: uint64(e.grantedAt)}
	}
}

// String describes e in words.
func (e entry) String() string {
	up, model := upNames[e.up], modelNames[e.model]
	switch e.kind {
	case take:
		return fmt.Sprintf("ownership of %s by daemon %d, which replaces epoch %d", up, e.by, e.epoch)
	case acknowledge:
		return fmt.Sprintf("acknowledgement of daemon %d for %s, epoch %d", e.by, up, e.epoch)
	case gone:
		return fmt.Sprintf("host of daemon %d gone", e.by)
	case grant:
		return fmt.Sprintf("grant of %s on %s, epoch %d", model, up, e.epoch)
	default:
		return fmt.Sprintf("release of %s on %s, epoch %d", model, up, e.epoch)
	}
}

// add returns the log that results from appending e to the log at.
func (b *book) add(at int32, e entry) int32 {
	if n, ok := b.pages[at].next[e]; ok {
		return n
	}
	p := &b.pages[at]
	depth := p.depth + 1
	l := p.ledger.Clone()
	if b.trustFormers && e.kind == release {
		for i, f := range l.FormerOwners(upNames[e.up]) {
			if i == 0 {
				l.Apply(offset(depth)-1, record.AcknowledgeLoss{Upstream: upNames[e.up], Daemon: f.Daemon, Epoch: f.Epoch})
			}
		}
	}
	out := l.Apply(offset(depth), e.record())
	n := int32(len(b.pages))
	p.next[e] = n
	b.pages = append(b.pages, page{entry: e, parent: at, depth: depth, reason: out.Reason, ledger: l, next: map[entry]int32{}})
	return n
}

// after returns the page that follows view in log.
func (b *book) after(view, log int32) int32 {
	for b.pages[log].parent != view {
		log = b.pages[log].parent
	}
	return log
}

func grantKey(up, model uint8) ctrl.GrantKey {
	return ctrl.GrantKey{Upstream: upNames[up], Model: modelNames[model], Version: "1"}
}
