package faults

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/check/verify"
)

// domains lists the failure domains. With four daemons, north has two and the
// others have one each.
var domains = []string{"north", "east", "south"}

const (
	// Models of the background load, named after their replica limits.
	oneReplicaModel   = "solo"
	twoReplicaModel   = "pair"
	threeReplicaModel = "trio"
	// adapterName is an adapter of threeReplicaModel.
	adapterName = "trio-figs"
	// bookingService is the plain service.
	bookingService = "desk"
	// coldModels is the number of models that the background load does not
	// use. Each has at most one replica.
	coldModels = 10
)

// enginesPerDomain is the number of engines in each failure domain. Each has
// memory for two replicas. The second engine ignores fencing tokens.
const enginesPerDomain = 2

func engineName(domain string, n int) string { return fmt.Sprintf("engine-%s-%d", domain, n) }

func bookingUpstream(domain string) string { return "desk-" + domain }

func coldModel(n int) string { return fmt.Sprintf("cold-%d", n) }

// deployment returns the configuration without the addresses of the upstreams.
func deployment() *declare.Deployment {
	d := &declare.Deployment{
		Name: "faults", ColdStartWeight: 0.5, FailureDomains: domains,
		Services: []declare.Service{
			{Name: "assistant", Kind: declare.ModelService, DefaultClass: declare.Urgent, DefaultDeadlineMS: 8_000},
			{Name: bookingService, Kind: declare.PlainService, DefaultDeadlineMS: 8_000, Calls: []declare.Call{
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
		d.Upstreams = append(d.Upstreams, declare.Upstream{Name: bookingUpstream(domain), Service: bookingService, FailureDomain: domain, Sequences: 32})
	}
	add := func(name string, replicas, slots int) {
		d.Models = append(d.Models, declare.Model{
			Name: name, Services: []string{"assistant"}, Version: "v1",
			Versions: []declare.Version{{Name: "v1", WeightBytes: 16 * declare.GiB}},
			KVBytes:  2 * declare.GiB, AdapterSlots: slots, Replicas: replicas,
		})
	}
	add(oneReplicaModel, 1, 0)
	add(twoReplicaModel, 2, 0)
	add(threeReplicaModel, 3, 2)
	for n := 1; n <= coldModels; n++ {
		add(coldModel(n), 1, 0)
	}
	d.Adapters = []declare.Adapter{{Name: adapterName, Model: threeReplicaModel, Bytes: declare.GiB / 4}}
	return d
}

// withMarkerModel returns d with an additional model whose name identifies the
// publication, so that a list of models shows which publication is in force.
func withMarkerModel(d *declare.Deployment, marker string) *declare.Deployment {
	c := *d
	c.Models = append(append([]declare.Model(nil), d.Models...), declare.Model{
		Name: marker, Services: []string{"assistant"}, Version: "v1",
		Versions: []declare.Version{{Name: "v1", WeightBytes: declare.GiB}}, Replicas: 1,
	})
	return &c
}

// replicaLimits returns the replica limit of each model.
func replicaLimits(d *declare.Deployment) map[string]int {
	out := map[string]int{}
	for _, m := range d.Models {
		out[m.Name] = m.Replicas
	}
	return out
}

// versionTargets returns what each name of a model or an adapter resolves to.
func versionTargets(d *declare.Deployment) map[string]verify.Target {
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
