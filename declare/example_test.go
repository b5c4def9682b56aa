package declare_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/declare"
)

func small() *declare.Deployment {
	return &declare.Deployment{
		Name:            "orchard",
		ColdStartWeight: 0.3,
		FailureDomains:  []string{"north", "south"},
		Services: []declare.Service{
			{Name: "assistant", Kind: declare.ModelService},
			{Name: "desk", Kind: declare.PlainService, Calls: []declare.Call{
				{Method: "POST", PathPrefix: "/orders", NonIdempotent: true},
				{Method: "GET", PathPrefix: "/orders", Class: declare.Background},
			}},
		},
		Upstreams: []declare.Upstream{
			{Name: "engine-1", Service: "assistant", FailureDomain: "north", Address: "127.0.0.1:8001", MemoryBytes: 80 << 30, Accelerators: 1},
			{Name: "engine-2", Service: "assistant", FailureDomain: "south", Address: "[::1]:8001", MemoryBytes: 80 << 30, Accelerators: 1, IgnoresFencing: true},
			{Name: "desk-1", Service: "desk", FailureDomain: "north", Address: "127.0.0.1:8002"},
		},
		Models: []declare.Model{{
			Name: "pruning", Services: []string{"assistant"}, Version: "v2",
			Versions: []declare.Version{{Name: "v1", WeightBytes: 14 << 30}, {Name: "v2", WeightBytes: 15 << 30}},
			KVBytes:  8 << 30, AdapterSlots: 2, Replicas: 2, WakeAt: []string{"05:30"},
		}},
		Adapters: []declare.Adapter{{Name: "pruning-pears", Model: "pruning", Bytes: 200 << 20}},
	}
}

func ExampleDeployment_Validate() {
	d := small()
	d.Upstreams[0].Address = "engine-1.example:8001"
	d.Models[0].Version = "v3"
	for _, p := range declare.Problems(d.Validate()) {
		fmt.Println(p.Path, p.Kind)
	}
	// Output:
	// upstreams[0].address bad-address
	// models[0].version unknown-reference
}

func ExampleIndex_ReplicaBytes() {
	x := declare.NewIndex(small())
	n, ok := x.ReplicaBytes("pruning", "v2")
	fmt.Println(n>>20, "MiB", ok)
	// Output: 23952 MiB true
}

func ExampleIndex_Resolve() {
	x := declare.NewIndex(small())
	m, a := x.Resolve("pruning-pears")
	fmt.Println(m.Name, a.Name)
	// Output: pruning pruning-pears
}

// TestEncodedConfiguration guards against a change of the published format that
// older daemons could not read. UPDATE_GOLDEN=1 rewrites the file.
func TestEncodedConfiguration(t *testing.T) {
	const golden = "testdata/orchard.json"
	d := small()
	must.NoError(t, d.Validate())
	var b bytes.Buffer
	must.NoError(t, d.Encode(&b))
	if os.Getenv("UPDATE_GOLDEN") != "" {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile(golden, b.Bytes(), 0o644))
	}
	want, err := os.ReadFile(golden)
	must.NoError(t, err)
	must.Eq(t, string(want), b.String())
	back, err := declare.Decode(want)
	must.NoError(t, err)
	must.Eq(t, d, back)
}

func ExampleDeployment_SetAddresses() {
	d := small()
	fmt.Println(d.SetAddresses([]byte(`{"engine-1":"127.0.0.1:41001"}`)), d.Upstreams[0].Address)
	fmt.Println(d.SetAddresses([]byte(`{"engine-9":"127.0.0.1:41009"}`)))
	// Output:
	// <nil> 127.0.0.1:41001
	// addresses: unknown-reference: "engine-9" is not a declared upstream
}
