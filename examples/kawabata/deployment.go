package main

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
)

const (
	wording     = "wording"
	sponsorDesk = "sponsor-desk"

	// firstPort is the default loopback port of the first upstream. The other
	// upstreams have the following ports.
	firstPort = 29001

	enginesPerDomain = 4

	// Adapters have one of adapterSizes sizes, starting at minAdapterMiB in steps
	// of adapterStepMiB.
	minAdapterMiB  = 96
	adapterStepMiB = 8
	adapterSizes   = 5
)

var (
	failureDomains = []string{"fukuoka-a", "kumamoto-b", "kagoshima-c"}

	// styles are the wording styles. Each has a model of every size.
	styles = []string{"plaque", "memorial", "jubilee", "renewal", "letter"}

	// workshops each have an adapter for every material, trained for the number
	// of characters that fit on a line.
	workshops = []string{"hakata", "kurume", "omuta", "yame", "tamana", "yatsushiro", "hitoyoshi", "aso", "izumi", "kirishima", "kanoya"}
	materials = []string{"brass", "bronze", "cedar", "glass", "granite", "slate", "steel"}

	// sizes are the model sizes. A replica needs 8 to 38 of an engine's 40 GiB, so
	// an engine holds one to five models. One replica of each model needs more
	// memory than all engines have.
	sizes = []modelSize{
		{name: "3b", weightBytes: 6 * declare.GiB, kvBytes: 2 * declare.GiB, replicas: 4},
		{name: "8b", weightBytes: 15 * declare.GiB, kvBytes: 4 * declare.GiB, adapterSlots: 8, replicas: 4},
		{name: "14b", weightBytes: 27 * declare.GiB, kvBytes: 6 * declare.GiB, replicas: 3},
		{name: "24b", weightBytes: 24 * declare.GiB, kvBytes: 6 * declare.GiB, replicas: 2},
		{name: "32b", weightBytes: 33 * declare.GiB, kvBytes: 5 * declare.GiB, replicas: 1},
	}
)

type modelSize struct {
	name                 string
	weightBytes, kvBytes int64
	adapterSlots         int
	replicas             int
}

// deployment returns the configuration of Kawabata. Clerks wait for drafts, so
// cold starts have a higher weight than idle accelerator hours, and the model
// that most drafts start with stays loaded.
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
			// Overnight renewal drafts set the background class in each request.
			{Name: wording, Kind: declare.ModelService, DefaultClass: declare.Urgent, DefaultDeadlineMS: 30_000},
			{Name: sponsorDesk, Kind: declare.PlainService, DefaultDeadlineMS: 15_000, Calls: []declare.Call{
				// A repeated engraving order can't be undone.
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
		for n := 1; n <= enginesPerDomain; n++ {
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
				Version: "v1", Versions: []declare.Version{{Name: "v1", WeightBytes: s.weightBytes}},
				KVBytes: s.kvBytes, AdapterSlots: s.adapterSlots, Replicas: s.replicas,
			}
			if s.adapterSlots > 0 {
				m.Version = "v2"
				m.Versions = append(m.Versions, declare.Version{Name: "v2", WeightBytes: s.weightBytes})
			}
			switch m.Name {
			case "plaque-8b":
				m.MinReplicas = 2
				// Clerks start work at 08:30 local time, which is 23:30 UTC.
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
				Name: workshop + "-" + material, Model: adapted[i%len(adapted)] + "-8b", Bytes: int64(minAdapterMiB+adapterStepMiB*(j%adapterSizes)) * declare.MiB,
			})
		}
	}
}
