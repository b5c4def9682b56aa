package faults

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/verify"
)

// domains are the failure domains, north the one with two daemons.
var domains = []string{"north", "east", "south"}

// Names of the models. Each cold model has one replica at most.
const (
	solo    = "solo"
	pair    = "pair"
	trio    = "trio"
	adapter = "trio-figs"
	desk    = "desk"
	cold    = 10
)

// enginesPerDomain engines hold two replicas each. The second ignores fencing
// numbers.
const enginesPerDomain = 2

func engineName(domain string, n int) string { return fmt.Sprintf("engine-%s-%d", domain, n) }

func deskName(domain string) string { return "desk-" + domain }

func coldName(n int) string { return fmt.Sprintf("cold-%d", n) }

// deployment returns a configuration without addresses.
func deployment() *declare.Deployment {
	d := &declare.Deployment{
		Name: "faults", ColdStartWeight: 0.5, FailureDomains: domains,
		Services: []declare.Service{
			{Name: "assistant", Kind: declare.ModelService, DefaultClass: declare.Urgent, DefaultDeadlineMS: 8_000},
			{Name: desk, Kind: declare.PlainService, DefaultDeadlineMS: 8_000, Calls: []declare.Call{
				{Method: "POST", PathPrefix: "/bookings", NonIdempotent: true},
				{Method: "GET", PathPrefix: "/availability"},
			}},
		},
	}
	for _, domain := range domains {
		for n := 1; n <= enginesPerDomain; n++ {
			d.Upstreams = append(d.Upstreams, declare.Upstream{
				Name: engineName(domain, n), Service: "assistant", FailureDomain: domain,
				MemoryBytes: 40 * declare.GiB, Accelerators: 1, Sequences: 16, IgnoresFencing: n == 2,
			})
		}
		d.Upstreams = append(d.Upstreams, declare.Upstream{Name: deskName(domain), Service: desk, FailureDomain: domain, Sequences: 32})
	}
	add := func(name string, replicas, slots int) {
		d.Models = append(d.Models, declare.Model{
			Name: name, Services: []string{"assistant"}, Version: "v1",
			Versions: []declare.Version{{Name: "v1", WeightBytes: 16 * declare.GiB}},
			KVBytes:  2 * declare.GiB, AdapterSlots: slots, Replicas: replicas,
		})
	}
	add(solo, 1, 0)
	add(pair, 2, 0)
	add(trio, 3, 2)
	for n := 1; n <= cold; n++ {
		add(coldName(n), 1, 0)
	}
	d.Adapters = []declare.Adapter{{Name: adapter, Model: trio, Bytes: declare.GiB / 4}}
	return d
}

// markModel adds a model whose name tells which publication is in force.
func markModel(d *declare.Deployment, mark string) *declare.Deployment {
	c := *d
	c.Models = append(append([]declare.Model(nil), d.Models...), declare.Model{
		Name: mark, Services: []string{"assistant"}, Version: "v1",
		Versions: []declare.Version{{Name: "v1", WeightBytes: declare.GiB}}, Replicas: 1,
	})
	return &c
}

func limits(d *declare.Deployment) map[string]int {
	out := map[string]int{}
	for _, m := range d.Models {
		out[m.Name] = m.Replicas
	}
	return out
}

func targets(d *declare.Deployment) map[string]verify.Target {
	out := map[string]verify.Target{}
	for _, m := range d.Models {
		out[m.Name] = verify.Target{Model: m.Name, Version: m.Version}
	}
	for _, a := range d.Adapters {
		t := out[a.Model]
		t.Adapter = a.Name
		out[a.Name] = t
	}
	return out
}
