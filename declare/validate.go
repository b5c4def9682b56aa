package declare

// Validate returns nil, or all contradictions in d joined as *Problem errors.
func (d *Deployment) Validate() error {
	return nil
}

// Serves reports whether upstreams of the service may load m.
func (m *Model) Serves(service string) bool {
	for _, s := range m.Services {
		if s == service {
			return true
		}
	}
	return false
}
