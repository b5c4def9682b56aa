package main

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
)

const (
	trayAssistant = "tray-assistant"
	bookingDesk   = "booking-desk"

	// firstPort is the default port of the first upstream on loopback; the
	// others follow it.
	firstPort = 19001
)

var (
	failureDomains = []string{"yeongcheon", "gyeongsan", "cheongdo"}

	// topics each have a model of every size.
	topics = []string{"general", "irrigation", "pests", "harvest", "storage", "pricing", "weather", "paperwork"}

	// towns have an adapter for each topic but the last, which holds the
	// same forms for all of them.
	towns = []string{"yeongcheon", "gyeongsan", "cheongdo", "gyeongju", "pohang", "andong", "uiseong", "gunwi", "sangju", "gimcheon", "yeongju"}

	// sizes of models. A replica takes between 8 and 38 of an engine's 40
	// GiB, so an engine holds one to five models, and all engines together
	// have less than half of the memory that one replica of each model takes.
	sizes = []size{
		{name: "3b", weights: 6 * declare.GiB, kv: 2 * declare.GiB, replicas: 3},
		{name: "8b", weights: 15 * declare.GiB, kv: 4 * declare.GiB, slots: 6, replicas: 3},
		{name: "14b", weights: 27 * declare.GiB, kv: 6 * declare.GiB, replicas: 2},
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

// deployment returns the Cooperative's configuration. Idle accelerator hours
// weigh more than cold starts, so no model is kept loaded without requests.
func deployment() *declare.Deployment {
	d := &declare.Deployment{
		Name:            "fig-tray-growers",
		ColdStartWeight: 0.1,
		FailureDomains:  failureDomains,
		Limits: declare.Limits{
			StoreLoadsPerSecond: 4,
			StoreLoadsAtOnce:    4,
			AdapterLoadsAtOnce:  32,
		},
		Services: []declare.Service{
			// Growers wait for answers. Season summaries go through the same
			// service and ask for the background class in each request.
			{Name: trayAssistant, Kind: declare.ModelService, DefaultClass: declare.Urgent, DefaultDeadlineMS: 45_000},
			{Name: bookingDesk, Kind: declare.PlainService, DefaultDeadlineMS: 10_000, Calls: []declare.Call{
				{Method: "POST", PathPrefix: "/bookings", NonIdempotent: true},
				{Method: "GET", PathPrefix: "/availability"},
			}},
		},
	}
	addUpstreams(d)
	addModels(d)
	return d
}

// addUpstreams adds four engines and one booking desk for each failure domain.
// The oldest engine of each failure domain ignores fencing numbers.
func addUpstreams(d *declare.Deployment) {
	port := firstPort
	next := func() string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port-1)
	}
	for _, domain := range failureDomains {
		for n := 1; n <= 4; n++ {
			d.Upstreams = append(d.Upstreams, declare.Upstream{
				Name: fmt.Sprintf("tray-%s-%d", domain, n), Service: trayAssistant, FailureDomain: domain, Address: next(),
				MemoryBytes: 40 * declare.GiB, Accelerators: 1, Sequences: 16, IgnoresFencing: n == 1,
			})
		}
	}
	for _, domain := range failureDomains {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			Name: "desk-" + domain, Service: bookingDesk, FailureDomain: domain, Address: next(), Sequences: 32,
		})
	}
}

func addModels(d *declare.Deployment) {
	for i, topic := range topics {
		for _, s := range sizes {
			m := declare.Model{
				Name: "tray-" + topic + "-" + s.name, Services: []string{trayAssistant},
				Version: "v1", Versions: []declare.Version{{Name: "v1", WeightBytes: s.weights}},
				KVBytes: s.kv, AdapterSlots: s.slots, Replicas: s.replicas,
			}
			if s.slots > 0 {
				// Models with adapters were retrained; the earlier version
				// stays declared for a return to it.
				m.Version = "v2"
				m.Versions = append(m.Versions, declare.Version{Name: "v2", WeightBytes: s.weights})
			}
			if topic == "general" && s.name == "8b" {
				// Growers start at 05:30 local time, which is 20:30 UTC.
				m.WakeAt = []string{"20:20"}
			}
			d.Models = append(d.Models, m)
		}
		if i == len(topics)-1 {
			continue
		}
		for j, town := range towns {
			d.Adapters = append(d.Adapters, declare.Adapter{
				Name: town + "-" + topic, Model: "tray-" + topic + "-8b", Bytes: int64(96+8*(j%5)) * declare.MiB,
			})
		}
	}
}
