package declare

import "slices"

func (c *checker) checkModels() {
	clear(c.indexByName)
	for i := range c.deployment.Models {
		m := &c.deployment.Models[i]
		c.checkName("models", i, "name", m.Name)
		c.checkSize("models", i, "kv-bytes", m.KVBytes, 0)
		c.checkCount("models", i, "adapter-slots", m.AdapterSlots, 0, maxAdapterSlots)
		c.checkCount("models", i, "replicas", m.Replicas, 1, maxCount)
		c.checkCount("models", i, "min-replicas", m.MinReplicas, 0, maxCount)
		if m.MinReplicas > m.Replicas {
			c.add(OutOfRange, elementPath("models", i, "replicas"), "%d is below min-replicas, which is %d", m.Replicas, m.MinReplicas)
		}
		c.checkModelServices(i, m)
		c.checkVersions(i, m)
		if !c.checkListLength("models", i, "wake-at", len(m.WakeAt)) {
			continue
		}
		for j, s := range m.WakeAt {
			path := func() string { return elementPath(elementPath("models", i, "wake-at"), j, "") }
			c.checkTimeOfDay(path, s)
			if repeated(m.WakeAt[:j], s) {
				c.add(DuplicateName, path(), "%q is listed twice", s)
			}
		}
	}
}

func (c *checker) checkModelServices(i int, m *Model) {
	if len(m.Services) == 0 {
		c.add(Missing, elementPath("models", i, "services"), "at least one service is required")
	}
	if !c.checkListLength("models", i, "services", len(m.Services)) {
		return
	}
	for j, name := range m.Services {
		path := func() string { return elementPath(elementPath("models", i, "services"), j, "") }
		if repeated(m.Services[:j], name) {
			c.add(DuplicateName, path(), "%q is listed twice", name)
		}
		switch s := c.index.Service(name); {
		case s == nil:
			c.add(UnknownReference, path(), "%q is not a declared service", name)
		case s.Kind == PlainService:
			c.add(WrongKind, path(), "%s is a plain service, whose upstreams load no models", name)
		}
	}
}

func (c *checker) checkVersions(i int, m *Model) {
	if len(m.Versions) == 0 {
		c.add(Missing, elementPath("models", i, "versions"), "at least one version is required")
	}
	if !c.checkListLength("models", i, "versions", len(m.Versions)) || len(m.Services) > maxListLength {
		return
	}
	found := false
	for j := range m.Versions {
		v := &m.Versions[j]
		list := func() string { return elementPath("models", i, "versions") }
		found = found || v.Name == m.Version
		if !isKebabCase(v.Name) {
			c.add(BadName, elementPath(list(), j, "name"), "%q: a name has up to %d lower-case letters, digits and single hyphens", v.Name, maxNameBytes)
		}
		for k := range m.Versions[:j] {
			if m.Versions[k].Name == v.Name {
				c.add(DuplicateName, elementPath(list(), j, "name"), "%q is also the name of versions[%d]", v.Name, k)
				break
			}
		}
		if v.WeightBytes < 1 || v.WeightBytes > maxSizeBytes {
			c.add(OutOfRange, elementPath(list(), j, "weight-bytes"), "%d bytes: allowed are 1 to %d", v.WeightBytes, maxSizeBytes)
			continue
		}
		c.checkReplicaFits(i, j, m, v)
	}
	if !found {
		c.add(UnknownReference, elementPath("models", i, "version"), "%q is not among the versions", m.Version)
	}
}

// checkReplicaFits checks that some engine of the model's services can hold one
// replica of the version, and that enough engines can hold the min-replicas.
func (c *checker) checkReplicaFits(i, j int, m *Model, v *Version) {
	need, ok := c.index.replicaBytes(m, v)
	if !ok {
		return
	}
	largest, engines, fitting := int64(0), 0, 0
	for k, s := range m.Services {
		sizes := c.memoryByService[s]
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
		// The service has been reported as unknown or without upstreams.
	case fitting == 0:
		c.add(TooLarge, elementPath(elementPath("models", i, "versions"), j, ""), "a replica of %s needs %d bytes (weights, KV cache and adapter slots), but the largest upstream of its services has %d", m.Name, need, largest)
	case v.Name == m.Version && m.MinReplicas > fitting:
		c.add(NoRoom, elementPath("models", i, "min-replicas"), "%d replicas must stay loaded, but only %d upstreams can hold one", m.MinReplicas, fitting)
	}
}

// checkTotalMemory checks that the min-replicas of all models fit into the memory
// of all engines together. This condition is necessary but not sufficient: the
// distribution of replicas over engines is decided while serving.
func (c *checker) checkTotalMemory() {
	if len(c.problems) > 0 {
		// Sizes that are out of range could overflow the sums.
		return
	}
	var have, need int64
	for i := range c.deployment.Upstreams {
		have += c.deployment.Upstreams[i].MemoryBytes
	}
	for i := range c.deployment.Models {
		m := &c.deployment.Models[i]
		one, _ := c.index.ReplicaBytes(m.Name, m.Version)
		need += int64(m.MinReplicas) * one
		if need > have {
			c.add(NoRoom, elementPath("models", i, "min-replicas"), "the min-replicas of the models up to this one need %d bytes, but all upstreams together have %d", need, have)
			return
		}
	}
}

// replicaBytes returns the memory of one replica of v. ok is false if one of the
// sizes is out of range, which is reported elsewhere.
func (x *Index) replicaBytes(m *Model, v *Version) (n int64, ok bool) {
	adapter := x.largestAdapterBytes[m.Name]
	if m.KVBytes < 0 || m.KVBytes > maxSizeBytes || m.AdapterSlots < 0 || m.AdapterSlots > maxAdapterSlots || adapter < 0 || adapter > maxSizeBytes {
		return 0, false
	}
	return v.WeightBytes + m.KVBytes + int64(m.AdapterSlots)*adapter, true
}

// repeated reports whether s is in list, the elements before s, which are fewer
// than maxListLength.
func repeated(list []string, s string) bool {
	return slices.Contains(list, s)
}
