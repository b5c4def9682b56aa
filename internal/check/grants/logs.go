package grants

import (
	"bytes"
	"fmt"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/record"
)

type (
	// logNode is a record of a log, with the control state after it. A log is
	// identified by the index of its last node.
	logNode struct {
		entry    entry
		parent   int32
		depth    uint8
		reason   ctrl.Reason
		state    *ctrl.State
		children map[entry]int32
	}

	// logTree holds every log that the search has visited, as paths from the
	// root.
	logTree struct {
		nodes []logNode
		// ignoreFormerOwners is set for the fault TrustedFormer: a release
		// is accepted although a former owner has not acknowledged.
		ignoreFormerOwners bool
	}
)

// Sizes of the models and upstreams. A replica needs all memory of an upstream.
const (
	memoryBytes = 100
	weightBytes = 80
	kvBytes     = memoryBytes - weightBytes
)

var (
	upstreamNames = [upstreams]string{"u0", "u1"}
	modelNames    = [models]string{"m", "n"}
)

// daemonName returns the name of daemon d, on the host with the same number.
func daemonName(d uint8) string { return fmt.Sprintf("h%d/1", d) }

// newLogTree returns a logTree whose root is the publication of the configuration.
// ignores states which upstreams ignore fencing numbers.
func newLogTree(ignores [upstreams]bool, ignoreFormerOwners bool) *logTree {
	d := &declare.Deployment{
		Name: "model", FailureDomains: []string{"a"},
		Services: []declare.Service{{Name: "s", Kind: declare.ModelService}},
	}
	for i, n := range upstreamNames {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: n, Service: "s", FailureDomain: "a", Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			MemoryBytes: memoryBytes, Accelerators: 1, IgnoresFencing: ignores[i],
		})
	}
	for _, n := range modelNames {
		d.Models = append(d.Models, declare.Model{
			Name: n, Services: []string{"s"}, Version: "1", Replicas: 1, KVBytes: kvBytes,
			Versions: []declare.Version{{Name: "1", WeightBytes: weightBytes}},
		})
	}
	var b bytes.Buffer
	if err := d.Encode(&b); err != nil {
		panic(err)
	}
	state := ctrl.New()
	if out := state.Apply(offset(1), record.Publish{Config: b.Bytes()}); out.Reason != ctrl.Accepted {
		panic(out.Detail)
	}
	return &logTree{ignoreFormerOwners: ignoreFormerOwners, nodes: []logNode{{parent: -1, depth: 1, state: state, children: map[entry]int32{}}}}
}

// offsetStep is the distance between the offsets of two records. It leaves an
// offset free before each record, for the acknowledgement that ignoreFormerOwners
// inserts.
const offsetStep = 2

// offset returns the offset of the record at the given depth.
func offset(depth uint8) uint64 { return offsetStep * uint64(depth) }

// record returns the control record that e describes.
func (e entry) record() record.Record {
	upstream, model := upstreamNames[e.upstream], modelNames[e.model]
	switch e.kind {
	case takeOwnership:
		return record.TakeOwnership{Upstream: upstream, Daemon: daemonName(e.daemon), Previous: uint64(e.epoch)}
	case acknowledge:
		return record.AcknowledgeLoss{Upstream: upstream, Daemon: daemonName(e.daemon), Epoch: uint64(e.epoch)}
	case hostGone:
		return record.HostGone{Host: fmt.Sprintf("h%d", e.daemon)}
	case grant:
		return record.Grant{Upstream: upstream, Epoch: uint64(e.epoch), Model: model, Version: "1"}
	default:
		return record.Release{Upstream: upstream, Epoch: uint64(e.epoch), Model: model, Version: "1", GrantedAt: uint64(e.grantedAt)}
	}
}

// String returns a description of e.
func (e entry) String() string {
	upstream, model := upstreamNames[e.upstream], modelNames[e.model]
	switch e.kind {
	case takeOwnership:
		return fmt.Sprintf("ownership of %s by daemon %d, which replaces epoch %d", upstream, e.daemon, e.epoch)
	case acknowledge:
		return fmt.Sprintf("acknowledgement of daemon %d for %s, epoch %d", e.daemon, upstream, e.epoch)
	case hostGone:
		return fmt.Sprintf("host of daemon %d gone", e.daemon)
	case grant:
		return fmt.Sprintf("grant of %s on %s, epoch %d", model, upstream, e.epoch)
	default:
		return fmt.Sprintf("release of %s on %s, epoch %d", model, upstream, e.epoch)
	}
}

// appendEntry returns the log that results from appending e to the log at.
func (t *logTree) appendEntry(at int32, e entry) int32 {
	if n, ok := t.nodes[at].children[e]; ok {
		return n
	}
	p := &t.nodes[at]
	depth := p.depth + 1
	state := p.state.Clone()
	if t.ignoreFormerOwners && e.kind == release {
		for i, f := range state.FormerOwners(upstreamNames[e.upstream]) {
			if i == 0 {
				state.Apply(offset(depth)-1, record.AcknowledgeLoss{Upstream: upstreamNames[e.upstream], Daemon: f.Daemon, Epoch: f.Epoch})
			}
		}
	}
	out := state.Apply(offset(depth), e.record())
	n := int32(len(t.nodes))
	p.children[e] = n
	t.nodes = append(t.nodes, logNode{entry: e, parent: at, depth: depth, reason: out.Reason, state: state, children: map[entry]int32{}})
	return n
}

// nextNode returns the node that follows position in log.
func (t *logTree) nextNode(position, log int32) int32 {
	for t.nodes[log].parent != position {
		log = t.nodes[log].parent
	}
	return log
}

// grantKey returns the key of the grant of a model on an upstream.
func grantKey(upstream, model uint8) ctrl.GrantKey {
	return ctrl.GrantKey{Upstream: upstreamNames[upstream], Model: modelNames[model], Version: "1"}
}
