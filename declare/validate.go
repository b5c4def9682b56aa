package declare

import (
	"errors"
	"net/http"
	"net/netip"
	"slices"
)

// Validate returns nil, or all contradictions in d joined as *Problem errors;
// see Problems. Its time grows with the size of d times the logarithm of the
// number of upstreams. It does not change d.
func (d *Deployment) Validate() error {
	c := &checker{
		d:         d,
		x:         NewIndex(d),
		seen:      make(map[string]int, max(len(d.Upstreams), len(d.Models), len(d.Adapters))),
		domains:   make(map[string]bool, len(d.FailureDomains)),
		addresses: make(map[netip.AddrPort]int, len(d.Upstreams)),
	}
	c.sortMemory()
	c.deployment()
	c.services()
	c.upstreams()
	c.models()
	c.adapters()
	c.room()
	return errors.Join(c.problems...)
}

// Serves reports whether upstreams of the service may load m.
func (m *Model) Serves(service string) bool {
	return slices.Contains(m.Services, service)
}

func (c *checker) deployment() {
	d := c.d
	if !kebab(d.Name) {
		c.add(BadName, "name", "%q: a name has up to %d lower-case letters, digits and single hyphens", d.Name, maxName)
	}
	if !within(d.ColdStartWeight, 0, 1) {
		c.add(OutOfRange, "cold-start-weight", "%v: allowed are 0 to 1", d.ColdStartWeight)
	}
	if len(d.FailureDomains) == 0 {
		c.add(Missing, "failure-domains", "at least one failure domain is needed")
	}
	for i, f := range d.FailureDomains {
		c.name("failure-domains", i, "", f)
		c.domains[f] = true
	}
	l := d.Limits
	if !within(l.StoreLoadsPerSecond, 0, maxCount) {
		c.add(OutOfRange, "limits.store-loads-per-second", "%v: allowed are 0 (the default, %v) to %d", l.StoreLoadsPerSecond, DefaultStoreLoadsPerSecond, maxCount)
	}
	if l.StoreLoadsAtOnce < 0 || l.StoreLoadsAtOnce > maxCount {
		c.add(OutOfRange, "limits.store-loads-at-once", "%d: allowed are 0 (the default, %d) to %d", l.StoreLoadsAtOnce, DefaultStoreLoadsAtOnce, maxCount)
	}
	if l.AdapterLoadsAtOnce < 0 || l.AdapterLoadsAtOnce > maxCount {
		c.add(OutOfRange, "limits.adapter-loads-at-once", "%d: allowed are 0 (the default, %d) to %d", l.AdapterLoadsAtOnce, DefaultAdapterLoadsAtOnce, maxCount)
	}
}

func (c *checker) services() {
	clear(c.seen)
	for i := range c.d.Services {
		s := &c.d.Services[i]
		c.name("services", i, "name", s.Name)
		c.class(func() string { return at("services", i, "default-class") }, s.DefaultClass)
		if s.DefaultDeadlineMS < 0 || s.DefaultDeadlineMS > maxDeadlineMS {
			c.add(OutOfRange, at("services", i, "default-deadline-ms"), "%d: allowed are 0 (the default) to %d, which is 24 h", s.DefaultDeadlineMS, maxDeadlineMS)
		}
		switch s.Kind {
		case ModelService:
			if len(s.Calls) > 0 {
				c.add(WrongKind, at("services", i, "calls"), "%s is a model service; only a plain service has calls", s.Name)
			}
		case PlainService:
			if len(s.Calls) == 0 {
				c.add(Missing, at("services", i, "calls"), "plain service %s lists no calls, so every call would be refused", s.Name)
			}
		default:
			c.add(UnknownValue, at("services", i, "kind"), "%q: allowed are %s and %s", s.Kind, ModelService, PlainService)
		}
		if len(c.x.UpstreamsOf(s.Name)) == 0 {
			c.add(NoUpstreams, at("services", i, ""), "no upstream belongs to service %q", s.Name)
		}
		c.calls(i, s)
	}
}

func (c *checker) calls(i int, s *Service) {
	if !c.length("services", i, "calls", len(s.Calls)) {
		return
	}
	for j := range s.Calls {
		call := &s.Calls[j]
		path := func(field string) func() string {
			return func() string { return at(at("services", i, "calls"), j, field) }
		}
		switch call.Method {
		case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		default:
			c.add(UnknownValue, path("method")(), "%q: allowed are GET, HEAD, POST, PUT, PATCH, DELETE and OPTIONS", call.Method)
		}
		c.prefix(path("path-prefix"), call.PathPrefix)
		c.class(path("class"), call.Class)
		for k := range s.Calls[:j] {
			if s.Calls[k].Method == call.Method && s.Calls[k].PathPrefix == call.PathPrefix {
				c.add(DuplicateCall, path("")(), "%s %s is also calls[%d]", call.Method, call.PathPrefix, k)
				break
			}
		}
	}
}

func (c *checker) upstreams() {
	clear(c.seen)
	for i := range c.d.Upstreams {
		u := &c.d.Upstreams[i]
		c.name("upstreams", i, "name", u.Name)
		if !c.domains[u.FailureDomain] {
			c.add(UnknownReference, at("upstreams", i, "failure-domain"), "%q is not among the failure domains", u.FailureDomain)
		}
		c.address(i, u.Address)
		c.count("upstreams", i, "sequences", u.Sequences, 0, maxCount)
		s := c.x.Service(u.Service)
		if s == nil {
			c.add(UnknownReference, at("upstreams", i, "service"), "%q is not a declared service", u.Service)
		}
		switch {
		case s != nil && s.Kind == ModelService:
			c.size("upstreams", i, "memory-bytes", u.MemoryBytes, 1)
			c.count("upstreams", i, "accelerators", u.Accelerators, 1, maxCount)
		case s != nil && s.Kind == PlainService:
			c.plainUpstream(i, u)
		default:
			c.size("upstreams", i, "memory-bytes", u.MemoryBytes, 0)
			c.count("upstreams", i, "accelerators", u.Accelerators, 0, maxCount)
		}
	}
}

// plainUpstream reports fields of an engine on an instance of a plain service.
func (c *checker) plainUpstream(i int, u *Upstream) {
	if u.MemoryBytes != 0 {
		c.add(WrongKind, at("upstreams", i, "memory-bytes"), "%s is a plain service; only an engine has accelerator memory", u.Service)
	}
	if u.Accelerators != 0 {
		c.add(WrongKind, at("upstreams", i, "accelerators"), "%s is a plain service; only an engine has accelerators", u.Service)
	}
	if u.IgnoresFencing {
		c.add(WrongKind, at("upstreams", i, "ignores-fencing"), "%s is a plain service; only an engine takes orders", u.Service)
	}
}

func (c *checker) adapters() {
	clear(c.seen)
	for i := range c.d.Adapters {
		a := &c.d.Adapters[i]
		c.name("adapters", i, "name", a.Name)
		c.size("adapters", i, "bytes", a.Bytes, 1)
		if c.x.Model(a.Name) != nil {
			// Callers address models and adapters alike by name.
			c.add(DuplicateName, at("adapters", i, "name"), "%q is also the name of a model", a.Name)
		}
		m := c.x.Model(a.Model)
		if m == nil {
			c.add(UnknownReference, at("adapters", i, "model"), "%q is not a declared model", a.Model)
			continue
		}
		if m.AdapterSlots == 0 {
			c.add(NoAdapterSlots, at("adapters", i, "model"), "model %s has no adapter slots", a.Model)
		}
	}
}
