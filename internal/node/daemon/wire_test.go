package daemon

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/claims"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/logsvc"
	"github.com/azurespan/azurespan/internal/node/dedup"
	"github.com/azurespan/azurespan/internal/node/gossip"
	"github.com/azurespan/azurespan/internal/node/owner"
	"github.com/azurespan/azurespan/internal/node/waker"
)

// checkWire decodes testdata/name.gob into a T and compares it with want. With
// UPDATE_GOLDEN=1 it writes the file first.
func checkWire[T any](t *testing.T, name string, want T) {
	t.Helper()
	file := filepath.Join("testdata", name+".gob")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		var b bytes.Buffer
		must.NoError(t, gob.NewEncoder(&b).Encode(want))
		must.NoError(t, os.WriteFile(file, b.Bytes(), 0o644))
	}
	b, err := os.ReadFile(file)
	must.NoError(t, err)
	var got T
	must.NoError(t, gob.NewDecoder(bytes.NewReader(b)).Decode(&got))
	must.Eq(t, want, got, must.Sprint(name))
}

// TestWireNames guards against a renamed field of a message between daemons:
// gob silently drops a field that the receiver doesn't know. The files were
// written by an earlier version.
func TestWireNames(t *testing.T) {
	at := time.Date(2026, 12, 4, 8, 0, 0, 5, time.UTC)
	fact := member.Fact{
		Kind: member.Upstream, Name: "u", Counter: 1, Status: member.Slow, Domain: "d1", Address: "10.0.0.1:80", Incarnation: "i",
		Loaded:   []member.Replica{{Model: "m1", Version: "v1", Adapters: []string{"a1"}}},
		InMemory: []string{"m2@v1"}, OnDisk: []string{"m3@v1"}, Running: 2, Queued: 3, Background: 4, AdapterLoads: 5,
		Crashes: []member.Crash{{ID: "u/1", AtMS: 6, Progress: true}},
	}
	answer := claims.StoredResponse{Status: 200, ContentType: "text/plain", Body: []byte("b"), Truncated: true}
	id, digest := claims.ID{1, 2}, claims.Digest{3, 4}

	checkWire(t, "news", gossip.Message{
		From: fact, Known: true, Facts: []member.Fact{fact}, Applied: 7, Digest: &[member.Buckets]uint64{8, 9},
	})
	checkWire(t, "page", logsvc.Page{Oldest: 1, End: 3, Records: []logsvc.Record{{Offset: 2, TimeMS: 4, Data: []byte("r")}}})
	checkWire(t, "blob", Blob{Data: []byte("s")})
	checkWire(t, "wake", waker.Request{Model: "m1", Version: "v1", Class: declare.Urgent, Deadline: at, Extra: true})
	checkWire(t, "load", owner.Request{
		Upstream: "u", Model: "m1", Version: "v1", Adapter: "a1", Class: declare.Background, Deadline: at, Suspect: "f", Ended: true,
	})
	checkWire(t, "load-reply", waker.Reply{
		Upstream: "u", Refusal: &fault.Fault{Kind: fault.NoCapacity, Run: fault.RunUnknown, Detail: "d", RetryAfter: 2},
	})
	checkWire(t, "claim", dedup.ClaimArgs{Key: "k", Digest: digest, ID: id, Daemon: "h1", Deadline: at})
	checkWire(t, "done", dedup.DoneArgs{Key: "k", ID: id, Answer: answer})
	checkWire(t, "withdraw", dedup.WithdrawArgs{Key: "k", ID: id})
	checkWire(t, "claim-reply", dedup.Reply{
		Decision: dedup.Decision{State: dedup.Replayed, ID: id, Answer: answer},
		Refusal:  &dedup.Refusal{Kind: fault.NotOwner, Run: fault.RunNo, Detail: "d", RetryAfter: 3},
	})
}

// TestWireMethods guards against a renamed RPC method: daemons of other versions
// call it by name.
func TestWireMethods(t *testing.T) {
	var _ interface {
		News(gossip.Message, *gossip.Message) error
		Records(uint64, *logsvc.Page) error
		State(uint64, *Blob) error
		Wake(waker.Request, *waker.Reply) error
		Load(owner.Request, *waker.Reply) error
		Claim(dedup.ClaimArgs, *dedup.Reply) error
		Done(dedup.DoneArgs, *dedup.Reply) error
		Withdraw(dedup.WithdrawArgs, *dedup.Reply) error
	} = &service{}
}
