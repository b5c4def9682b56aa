package main

import (
	"fmt"

	"github.com/azurespan/azurespan/declare"
)

const (
	trayAssistant = "tray-assistant"
	bookingDesk   = "booking-desk"

	// firstPort is the default loopback port of the first upstream. The other
	// upstreams have the following ports.
	firstPort = 19001

	enginesPerDomain = 4

	// Adapters have one of adapterSizes sizes, starting at minAdapterMiB in steps
	// of adapterStepMiB.
	minAdapterMiB  = 96
	adapterStepMiB = 8
	adapterSizes   = 5
)

var (
	failureDomains = []string{"yeongcheon", "gyeongsan", "cheongdo"}

	// topics are the model topics. Each has a model of every size.
	topics = []string{"general", "irrigation", "pests", "harvest", "storage", "pricing", "weather", "paperwork"}

	// towns each have an adapter for every topic except the last, whose forms are
	// the same for all towns.
	towns = []string{"yeongcheon", "gyeongsan", "cheongdo", "gyeongju", "pohang", "andong", "uiseong", "gunwi", "sangju", "gimcheon", "yeongju"}

	// sizes are the model sizes. A replica needs 8 to 38 of an engine's 40 GiB, so
	// an engine holds one to five models. The total memory of all engines is less
	// than half of what one replica of each model needs.
	sizes = []modelSize{
		{name: "3b", weightBytes: 6 * declare.GiB, kvBytes: 2 * declare.GiB, replicas: 3},
		{name: "8b", weightBytes: 15 * declare.GiB, kvBytes: 4 * declare.GiB, adapterSlots: 6, replicas: 3},
		{name: "14b", weightBytes: 27 * declare.GiB, kvBytes: 6 * declare.GiB, replicas: 2},
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

// deployment returns the configuration of the Cooperative. Idle accelerator hours
// have a higher weight than cold starts, so no model stays loaded without
// requests.
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
			// The default class is urgent because growers wait for responses.
			// Season summaries use the same service and set the background class
			// in each request.
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
		for n := 1; n <= enginesPerDomain; n++ {
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
				Version: "v1", Versions: []declare.Version{{Name: "v1", WeightBytes: s.weightBytes}},
				KVBytes: s.kvBytes, AdapterSlots: s.adapterSlots, Replicas: s.replicas,
			}
			if s.adapterSlots > 0 {
				// Models with adapters were retrained. The previous version stays
				// declared to allow a rollback.
				m.Version = "v2"
				m.Versions = append(m.Versions, declare.Version{Name: "v2", WeightBytes: s.weightBytes})
			}
			if topic == "general" && s.name == "8b" {
				// Growers start work at 05:30 local time, which is 20:30 UTC.
				m.WakeAt = []string{"20:20"}
			}
			d.Models = append(d.Models, m)
		}
		if i == len(topics)-1 {
			continue
		}
		for j, town := range towns {
			d.Adapters = append(d.Adapters, declare.Adapter{
				Name: town + "-" + topic, Model: "tray-" + topic + "-8b", Bytes: int64(minAdapterMiB+adapterStepMiB*(j%adapterSizes)) * declare.MiB,
			})
		}
	}
}
