package declare

import (
	"errors"
	"net/http"
	"net/netip"
	"slices"
)

// Validate returns all problems of d as joined *Problem errors, nil if there are
// none; see Problems. Its running time is proportional to the size of d times the
// logarithm of the number of upstreams. It does not change d.
func (d *Deployment) Validate() error {
	c := &checker{
		deployment:  d,
		index:       NewIndex(d),
		indexByName: make(map[string]int, max(len(d.Upstreams), len(d.Models), len(d.Adapters))),
		domains:     make(map[string]bool, len(d.FailureDomains)),
		addresses:   make(map[netip.AddrPort]int, len(d.Upstreams)),
	}
	c.sortMemory()
	c.checkDeployment()
	c.checkServices()
	c.checkUpstreams()
	c.checkModels()
	c.checkAdapters()
	c.checkTotalMemory()
	c.checkAccounts()
	return errors.Join(c.problems...)
}

// Serves reports whether the upstreams of service may load m.
func (m *Model) Serves(service string) bool {
	return slices.Contains(m.Services, service)
}

func (c *checker) checkDeployment() {
	d := c.deployment
	if !isKebabCase(d.Name) {
		c.add(BadName, "name", "%q: a name has up to %d lower-case letters, digits and single hyphens", d.Name, maxNameBytes)
	}
	if !inRange(d.ColdStartWeight, 0, 1) {
		c.add(OutOfRange, "cold-start-weight", "%v: allowed are 0 to 1", d.ColdStartWeight)
	}
	if len(d.FailureDomains) == 0 {
		c.add(Missing, "failure-domains", "at least one failure domain is required")
	}
	for i, f := range d.FailureDomains {
		c.checkName("failure-domains", i, "", f)
		c.domains[f] = true
	}
	l := d.Limits
	if !inRange(l.StoreLoadsPerSecond, 0, maxCount) {
		c.add(OutOfRange, "limits.store-loads-per-second", "%v: allowed are 0 (the default, %v) to %d", l.StoreLoadsPerSecond, DefaultStoreLoadsPerSecond, maxCount)
	}
	if l.StoreLoadsAtOnce < 0 || l.StoreLoadsAtOnce > maxCount {
		c.add(OutOfRange, "limits.store-loads-at-once", "%d: allowed are 0 (the default, %d) to %d", l.StoreLoadsAtOnce, DefaultStoreLoadsAtOnce, maxCount)
	}
	if l.AdapterLoadsAtOnce < 0 || l.AdapterLoadsAtOnce > maxCount {
		c.add(OutOfRange, "limits.adapter-loads-at-once", "%d: allowed are 0 (the default, %d) to %d", l.AdapterLoadsAtOnce, DefaultAdapterLoadsAtOnce, maxCount)
	}
}

func (c *checker) checkServices() {
	clear(c.indexByName)
	for i := range c.deployment.Services {
		s := &c.deployment.Services[i]
		c.checkName("services", i, "name", s.Name)
		c.checkClass(func() string { return elementPath("services", i, "default-class") }, s.DefaultClass)
		if s.DefaultDeadlineMS < 0 || s.DefaultDeadlineMS > maxDeadlineMS {
			c.add(OutOfRange, elementPath("services", i, "default-deadline-ms"), "%d: allowed are 0 (the default) to %d, which is 24 h", s.DefaultDeadlineMS, maxDeadlineMS)
		}
		switch s.Kind {
		case ModelService:
			if len(s.Calls) > 0 {
				c.add(WrongKind, elementPath("services", i, "calls"), "%s is a model service; only a plain service has calls", s.Name)
			}
		case PlainService:
			if len(s.Calls) == 0 {
				c.add(Missing, elementPath("services", i, "calls"), "plain service %s lists no calls, so every call would be refused", s.Name)
			}
		default:
			c.add(UnknownValue, elementPath("services", i, "kind"), "%q: allowed are %s and %s", s.Kind, ModelService, PlainService)
		}
		if len(c.index.UpstreamsOf(s.Name)) == 0 {
			c.add(NoUpstreams, elementPath("services", i, ""), "no upstream belongs to service %q", s.Name)
		}
		c.checkCalls(i, s)
	}
}

func (c *checker) checkCalls(i int, s *Service) {
	if !c.checkListLength("services", i, "calls", len(s.Calls)) {
		return
	}
	for j := range s.Calls {
		call := &s.Calls[j]
		path := func(field string) func() string {
			return func() string { return elementPath(elementPath("services", i, "calls"), j, field) }
		}
		switch call.Method {
		case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		default:
			c.add(UnknownValue, path("method")(), "%q: allowed are GET, HEAD, POST, PUT, PATCH, DELETE and OPTIONS", call.Method)
		}
		c.checkPathPrefix(path("path-prefix"), call.PathPrefix)
		c.checkClass(path("class"), call.Class)
		for k := range s.Calls[:j] {
			if s.Calls[k].Method == call.Method && s.Calls[k].PathPrefix == call.PathPrefix {
				c.add(DuplicateCall, path("")(), "%s %s is also calls[%d]", call.Method, call.PathPrefix, k)
				break
			}
		}
	}
}

func (c *checker) checkUpstreams() {
	clear(c.indexByName)
	for i := range c.deployment.Upstreams {
		u := &c.deployment.Upstreams[i]
		c.checkName("upstreams", i, "name", u.Name)
		if !c.domains[u.FailureDomain] {
			c.add(UnknownReference, elementPath("upstreams", i, "failure-domain"), "%q is not among the failure domains", u.FailureDomain)
		}
		c.checkAddress(i, u.Address)
		c.checkCount("upstreams", i, "sequences", u.Sequences, 0, maxCount)
		s := c.index.Service(u.Service)
		if s == nil {
			c.add(UnknownReference, elementPath("upstreams", i, "service"), "%q is not a declared service", u.Service)
		}
		switch {
		case s != nil && s.Kind == ModelService:
			c.checkSize("upstreams", i, "memory-bytes", u.MemoryBytes, 1)
			c.checkCount("upstreams", i, "accelerators", u.Accelerators, 1, maxCount)
		case s != nil && s.Kind == PlainService:
			c.checkPlainUpstream(i, u)
		default:
			c.checkSize("upstreams", i, "memory-bytes", u.MemoryBytes, 0)
			c.checkCount("upstreams", i, "accelerators", u.Accelerators, 0, maxCount)
		}
	}
}

// checkPlainUpstream reports fields that only an engine has on an instance of a
// plain service.
func (c *checker) checkPlainUpstream(i int, u *Upstream) {
	if u.MemoryBytes != 0 {
		c.add(WrongKind, elementPath("upstreams", i, "memory-bytes"), "%s is a plain service; only an engine has accelerator memory", u.Service)
	}
	if u.Accelerators != 0 {
		c.add(WrongKind, elementPath("upstreams", i, "accelerators"), "%s is a plain service; only an engine has accelerators", u.Service)
	}
	if u.IgnoresFencing {
		c.add(WrongKind, elementPath("upstreams", i, "ignores-fencing"), "%s is a plain service; only an engine takes orders", u.Service)
	}
}

func (c *checker) checkAdapters() {
	clear(c.indexByName)
	for i := range c.deployment.Adapters {
		a := &c.deployment.Adapters[i]
		c.checkName("adapters", i, "name", a.Name)
		c.checkSize("adapters", i, "bytes", a.Bytes, 1)
		if c.index.Model(a.Name) != nil {
			// Callers address both models and adapters by name.
			c.add(DuplicateName, elementPath("adapters", i, "name"), "%q is also the name of a model", a.Name)
		}
		m := c.index.Model(a.Model)
		if m == nil {
			c.add(UnknownReference, elementPath("adapters", i, "model"), "%q is not a declared model", a.Model)
			continue
		}
		if m.AdapterSlots == 0 {
			c.add(NoAdapterSlots, elementPath("adapters", i, "model"), "model %s has no adapter slots", a.Model)
		}
	}
}
