package declare

// Index provides constant-time access to the parts of a Deployment. It is
// immutable and safe for concurrent use.
type Index struct {
	Deployment          *Deployment
	services            map[string]*Service
	upstreams           map[string]*Upstream
	models              map[string]*Model
	adapters            map[string]*Adapter
	upstreamsByService  map[string][]*Upstream
	largestAdapterBytes map[string]int64
	accountsByKey       map[keyHash]*Account
}

// NewIndex returns an Index over d, which must not change afterwards.
func NewIndex(d *Deployment) *Index {
	x := &Index{
		Deployment:          d,
		services:            make(map[string]*Service, len(d.Services)),
		upstreams:           make(map[string]*Upstream, len(d.Upstreams)),
		models:              make(map[string]*Model, len(d.Models)),
		adapters:            make(map[string]*Adapter, len(d.Adapters)),
		upstreamsByService:  make(map[string][]*Upstream, len(d.Services)),
		largestAdapterBytes: make(map[string]int64, len(d.Models)),
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		x.upstreams[u.Name] = u
		x.upstreamsByService[u.Service] = append(x.upstreamsByService[u.Service], u)
	}
	for i := range d.Models {
		x.models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Adapters {
		a := &d.Adapters[i]
		x.adapters[a.Name] = a
		x.largestAdapterBytes[a.Model] = max(x.largestAdapterBytes[a.Model], a.Bytes)
	}
	x.indexAccounts()
	return x
}

// Service returns the service with the given name, nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Upstream returns the upstream with the given name, nil if there is none.
func (x *Index) Upstream(name string) *Upstream { return x.upstreams[name] }

// Model returns the model with the given name, nil if there is none.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Adapter returns the adapter with the given name, nil if there is none.
func (x *Index) Adapter(name string) *Adapter { return x.adapters[name] }

// UpstreamsOf returns the upstreams of a service. The slice is shared and must
// not be changed.
func (x *Index) UpstreamsOf(service string) []*Upstream { return x.upstreamsByService[service] }

// Resolve returns the model that a caller addresses by name and, if name is that
// of an adapter, the adapter. Both are nil for an unknown name.
func (x *Index) Resolve(name string) (*Model, *Adapter) {
	if m := x.models[name]; m != nil {
		return m, nil
	}
	if a := x.adapters[name]; a != nil {
		return x.models[a.Model], a
	}
	return nil, nil
}

// ReplicaBytes returns the memory that one replica of the model version
// reserves: weights, KV cache, and adapter slots times the largest adapter.
// ok is false if the model or the version is not declared.
func (x *Index) ReplicaBytes(model, version string) (n int64, ok bool) {
	m := x.models[model]
	if m == nil {
		return 0, false
	}
	for i := range m.Versions {
		if m.Versions[i].Name == version {
			return m.Versions[i].WeightBytes + m.KVBytes + int64(m.AdapterSlots)*x.largestAdapterBytes[model], true
		}
	}
	return 0, false
}
