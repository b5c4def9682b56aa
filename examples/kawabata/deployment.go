package main

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
)

const (
	wording     = "wording"
	sponsorDesk = "sponsor-desk"

	// firstPort is the default port of the first upstream on loopback; the
	// others follow it.
	firstPort = 29001
)

var (
	failureDomains = []string{"fukuoka-a", "kumamoto-b", "kagoshima-c"}

	// styles each have a model of every size.
	styles = []string{"plaque", "memorial", "jubilee", "renewal", "letter"}

	// workshops have an adapter for each material, which knows how many
	// characters fit on a line of it.
	workshops = []string{"hakata", "kurume", "omuta", "yame", "tamana", "yatsushiro", "hitoyoshi", "aso", "izumi", "kirishima", "kanoya"}
	materials = []string{"brass", "bronze", "cedar", "glass", "granite", "slate", "steel"}

	// sizes of models. A replica takes between 8 and 38 of an engine's 40
	// GiB, so an engine holds one to five models, and one replica of each
	// model takes more memory than all engines have.
	sizes = []size{
		{name: "3b", weights: 6 * declare.GiB, kv: 2 * declare.GiB, replicas: 4},
		{name: "8b", weights: 15 * declare.GiB, kv: 4 * declare.GiB, slots: 8, replicas: 4},
		{name: "14b", weights: 27 * declare.GiB, kv: 6 * declare.GiB, replicas: 3},
		{name: "24b", weights: 24 * declare.GiB, kv: 6 * declare.GiB, replicas: 2},
		{name: "32b", weights: 33 * declare.GiB, kv: 5 * declare.GiB, replicas: 1},
	}
)

type size struct {
	name        string
	weights, kv int64
	slots       int
	replicas    int
}

// deployment returns Kawabata's configuration. Clerks watch drafts appear, so
// cold starts weigh more than idle accelerator hours, and the model that most
// drafts begin with is kept loaded.
func deployment() *declare.Deployment {
	d := &declare.Deployment{
		Name:            "kawabata-benchworks",
		ColdStartWeight: 0.95,
		FailureDomains:  failureDomains,
		Limits: declare.Limits{
			StoreLoadsPerSecond: 4,
			StoreLoadsAtOnce:    4,
			AdapterLoadsAtOnce:  32,
		},
		Services: []declare.Service{
			// Overnight renewal drafts ask for the background class in each
			// request.
			{Name: wording, Kind: declare.ModelService, DefaultClass: declare.Urgent, DefaultDeadlineMS: 30_000},
			{Name: sponsorDesk, Kind: declare.PlainService, DefaultDeadlineMS: 15_000, Calls: []declare.Call{
				// An engraving order that is booked twice can't be undone.
				{Method: "POST", PathPrefix: "/engravings", NonIdempotent: true},
				{Method: "GET", PathPrefix: "/availability"},
			}},
		},
	}
	addUpstreams(d)
	addModels(d)
	addAdapters(d)
	return d
}

// addUpstreams adds four engines and one sponsor desk for each failure domain.
// All engines of kagoshima-c ignore fencing numbers.
func addUpstreams(d *declare.Deployment) {
	port := firstPort
	next := func() string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port-1)
	}
	for _, domain := range failureDomains {
		for n := 1; n <= 4; n++ {
			d.Upstreams = append(d.Upstreams, declare.Upstream{
				Name: fmt.Sprintf("wording-%s-%d", domain, n), Service: wording, FailureDomain: domain, Address: next(),
				MemoryBytes: 40 * declare.GiB, Accelerators: 1, Sequences: 16, IgnoresFencing: domain == "kagoshima-c",
			})
		}
	}
	for _, domain := range failureDomains {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: "sponsor-" + domain, Service: sponsorDesk, FailureDomain: domain, Address: next(), Sequences: 32,
		})
	}
}

func addModels(d *declare.Deployment) {
	for _, style := range styles {
		for _, s := range sizes {
			m := declare.Model{
				Name: style + "-" + s.name, Services: []string{wording},
				Version: "v1", Versions: []declare.Version{{Name: "v1", WeightBytes: s.weights}},
				KVBytes: s.kv, AdapterSlots: s.slots, Replicas: s.replicas,
			}
			if s.slots > 0 {
				m.Version = "v2"
				m.Versions = append(m.Versions, declare.Version{Name: "v2", WeightBytes: s.weights})
			}
			switch m.Name {
			case "plaque-8b":
				m.MinReplicas = 2
				// Clerks start at 08:30 local time, which is 23:30 UTC.
				m.WakeAt = []string{"23:20"}
			case "renewal-14b":
				// Renewal drafts are sent from 01:00 local time.
				m.WakeAt = []string{"15:55"}
			}
			d.Models = append(d.Models, m)
		}
	}
}

// addAdapters adds the adapters of the 8b models; the letter style has none.
func addAdapters(d *declare.Deployment) {
	adapted := styles[:4]
	for i, material := range materials {
		for j, workshop := range workshops {
			d.Adapters = append(d.Adapters, declare.Adapter{
				Name: workshop + "-" + material, Model: adapted[i%len(adapted)] + "-8b", Bytes: int64(96+8*(j%5)) * declare.MiB,
			})
		}
	}
}
