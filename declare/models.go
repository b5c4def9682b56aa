package declare

import "slices"

func (c *checker) models() {
	clear(c.seen)
	for i := range c.d.Models {
		m := &c.d.Models[i]
		c.name("models", i, "name", m.Name)
		c.size("models", i, "kv-bytes", m.KVBytes, 0)
		c.count("models", i, "adapter-slots", m.AdapterSlots, 0, maxAdapterSlots)
		c.count("models", i, "replicas", m.Replicas, 1, maxCount)
		c.count("models", i, "min-replicas", m.MinReplicas, 0, maxCount)
		if m.MinReplicas > m.Replicas {
			c.add(OutOfRange, at("models", i, "replicas"), "%d is below min-replicas, which is %d", m.Replicas, m.MinReplicas)
		}
		c.modelServices(i, m)
		c.versions(i, m)
		if !c.length("models", i, "wake-at", len(m.WakeAt)) {
			continue
		}
		for j, s := range m.WakeAt {
			path := func() string { return at(at("models", i, "wake-at"), j, "") }
			c.timeOfDay(path, s)
			if repeated(m.WakeAt[:j], s) {
				c.add(DuplicateName, path(), "%q is listed twice", s)
			}
		}
	}
}

func (c *checker) modelServices(i int, m *Model) {
	if len(m.Services) == 0 {
		c.add(Missing, at("models", i, "services"), "at least one service is needed")
	}
	if !c.length("models", i, "services", len(m.Services)) {
		return
	}
	for j, name := range m.Services {
		path := func() string { return at(at("models", i, "services"), j, "") }
		if repeated(m.Services[:j], name) {
			c.add(DuplicateName, path(), "%q is listed twice", name)
		}
		switch s := c.x.Service(name); {
		case s == nil:
			c.add(UnknownReference, path(), "%q is not a declared service", name)
		case s.Kind == PlainService:
			c.add(WrongKind, path(), "%s is a plain service, whose upstreams load no models", name)
		}
	}
}

func (c *checker) versions(i int, m *Model) {
	if len(m.Versions) == 0 {
		c.add(Missing, at("models", i, "versions"), "at least one version is needed")
	}
	if !c.length("models", i, "versions", len(m.Versions)) || len(m.Services) > maxList {
		return
	}
	found := false
	for j := range m.Versions {
		v := &m.Versions[j]
		list := func() string { return at("models", i, "versions") }
		found = found || v.Name == m.Version
		if !kebab(v.Name) {
			c.add(BadName, at(list(), j, "name"), "%q: a name has up to %d lower-case letters, digits and single hyphens", v.Name, maxName)
		}
		for k := range m.Versions[:j] {
			if m.Versions[k].Name == v.Name {
				c.add(DuplicateName, at(list(), j, "name"), "%q is also the name of versions[%d]", v.Name, k)
				break
			}
		}
		if v.WeightBytes < 1 || v.WeightBytes > maxBytes {
			c.add(OutOfRange, at(list(), j, "weight-bytes"), "%d bytes: allowed are 1 to %d", v.WeightBytes, maxBytes)
			continue
		}
		c.fits(i, j, m, v)
	}
	if !found {
		c.add(UnknownReference, at("models", i, "version"), "%q is not among the versions", m.Version)
	}
}

// fits checks that some engine of the model's services can hold one replica
// of the version, and that enough engines can hold the min-replicas.
func (c *checker) fits(i, j int, m *Model, v *Version) {
	need, ok := c.x.need(m, v)
	if !ok {
		return
	}
	largest, engines, fitting := int64(0), 0, 0
	for k, s := range m.Services {
		sizes := c.memory[s]
		if len(sizes) == 0 || repeated(m.Services[:k], s) {
			continue
		}
		engines += len(sizes)
		largest = max(largest, sizes[len(sizes)-1])
		first, _ := slices.BinarySearch(sizes, need)
		fitting += len(sizes) - first
	}
	switch {
	case engines == 0:
		// The service is reported as unknown or without upstreams.
	case fitting == 0:
		c.add(TooLarge, at(at("models", i, "versions"), j, ""), "a replica of %s needs %d bytes (weights, KV cache and adapter slots), but the largest upstream of its services has %d", m.Name, need, largest)
	case v.Name == m.Version && m.MinReplicas > fitting:
		c.add(NoRoom, at("models", i, "min-replicas"), "%d replicas are to be kept loaded, but only %d upstreams can hold one", m.MinReplicas, fitting)
	}
}

// room checks that all replicas that are to be kept loaded fit into the
// memory of all engines together. It is a necessary condition only: how
// replicas are spread over engines is decided while serving.
func (c *checker) room() {
	if len(c.problems) > 0 {
		// Sizes out of range could overflow the sums.
		return
	}
	var have, need int64
	for i := range c.d.Upstreams {
		have += c.d.Upstreams[i].MemoryBytes
	}
	for i := range c.d.Models {
		m := &c.d.Models[i]
		one, _ := c.x.ReplicaBytes(m.Name, m.Version)
		need += int64(m.MinReplicas) * one
		if need > have {
			c.add(NoRoom, at("models", i, "min-replicas"), "the replicas to be kept loaded up to this model need %d bytes, but all upstreams together have %d", need, have)
			return
		}
	}
}

// need returns the bytes of one replica of v; ok is false if one of the sizes
// is out of range, which is reported elsewhere.
func (x *Index) need(m *Model, v *Version) (n int64, ok bool) {
	adapter := x.adapterMax[m.Name]
	if m.KVBytes < 0 || m.KVBytes > maxBytes || m.AdapterSlots < 0 || m.AdapterSlots > maxAdapterSlots || adapter < 0 || adapter > maxBytes {
		return 0, false
	}
	return v.WeightBytes + m.KVBytes + int64(m.AdapterSlots)*adapter, true
}

// repeated reports whether s is in a list of at most maxList elements.
func repeated(list []string, s string) bool {
	return slices.Contains(list, s)
}
