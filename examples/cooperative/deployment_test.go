package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
)

// TestSizes guards against an example whose numbers differ from section 1.3 of
// docs/design.md, or in which one replica of each model fits into memory.
func TestSizes(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, writeConfig(&b, ""))
	d, err := declare.Decode(b.Bytes())
	must.NoError(t, err)
	must.NoError(t, d.Validate())
	x := declare.NewIndex(d)
	must.Len(t, 3, d.FailureDomains)
	must.Len(t, 12, x.UpstreamsOf(trayAssistant))
	must.Len(t, 3, x.UpstreamsOf(bookingDesk))
	must.Len(t, 40, d.Models)
	must.Len(t, 77, d.Adapters)
	var engineBytes, oneReplicaBytes, allReplicaBytes int64
	ignoring := 0
	for _, u := range x.UpstreamsOf(trayAssistant) {
		engineBytes += u.MemoryBytes
		if u.IgnoresFencing {
			ignoring++
		}
	}
	must.Eq(t, 3, ignoring)
	for i := range d.Models {
		n, ok := x.ReplicaBytes(d.Models[i].Name, d.Models[i].Version)
		must.True(t, ok)
		oneReplicaBytes += n
		allReplicaBytes += n * int64(d.Models[i].Replicas)
	}
	t.Logf("engines %d GiB, each model once %d GiB, all replicas %d GiB", engineBytes>>30, oneReplicaBytes>>30, allReplicaBytes>>30)
	must.Greater(t, 2*engineBytes, oneReplicaBytes)
}

// TestAddresses guards against an address file that is ignored, so that the demo
// would not use the actual ports, and against invalid or missing files that are
// accepted.
func TestAddresses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"desk-cheongdo":"127.0.0.1:40001"}`), 0o600))
	var b bytes.Buffer
	must.NoError(t, writeConfig(&b, file))
	d, err := declare.Decode(b.Bytes())
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1:40001", declare.NewIndex(d).Upstream("desk-cheongdo").Address)
	must.NoError(t, os.WriteFile(file, []byte(`{"desk-cheongdo":"host:40001"}`), 0o600))
	must.Len(t, 1, declare.Problems(writeConfig(&b, file)))
	must.Error(t, writeConfig(&b, file+".absent"))
}
