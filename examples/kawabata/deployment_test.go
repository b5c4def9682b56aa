package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
)

// TestSizes guards against an example that no longer has the sizes of design
// section 1.3, or in which one replica of each model could stay loaded.
func TestSizes(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, write(&b, ""))
	d, err := declare.Decode(b.Bytes())
	must.NoError(t, err)
	must.NoError(t, d.Validate())
	x := declare.NewIndex(d)
	must.Len(t, 3, d.FailureDomains)
	must.Len(t, 12, x.UpstreamsOf(wording))
	must.Len(t, 3, x.UpstreamsOf(sponsorDesk))
	must.Len(t, 25, d.Models)
	must.Len(t, 77, d.Adapters)
	var memory, once, most int64
	ignoring := 0
	for _, u := range x.UpstreamsOf(wording) {
		memory += u.MemoryBytes
		if u.IgnoresFencing {
			ignoring++
		}
	}
	must.Eq(t, 4, ignoring)
	for i := range d.Models {
		n, ok := x.ReplicaBytes(d.Models[i].Name, d.Models[i].Version)
		must.True(t, ok)
		once += n
		most += n * int64(d.Models[i].Replicas)
	}
	t.Logf("engines %d GiB, each model once %d GiB, all replicas %d GiB", memory>>30, once>>30, most>>30)
	must.Greater(t, memory, once)
	must.Greater(t, 2*memory, most)
}

// TestAddresses guards against a demo whose real ports are not used.
func TestAddresses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"sponsor-kumamoto-b":"127.0.0.1:40001"}`), 0o600))
	var b bytes.Buffer
	must.NoError(t, write(&b, file))
	d, err := declare.Decode(b.Bytes())
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1:40001", declare.NewIndex(d).Upstream("sponsor-kumamoto-b").Address)
	must.NoError(t, os.WriteFile(file, []byte(`{"sponsor-kumamoto-b":"host:40001"}`), 0o600))
	must.Len(t, 1, declare.Problems(write(&b, file)))
	must.Error(t, write(&b, file+".absent"))
}
