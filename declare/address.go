package declare

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Units of size, in bytes.
const (
	MiB = int64(1) << 20
	GiB = int64(1) << 30
)

// SetAddresses replaces addresses of upstreams by those in b, a JSON object
// from upstream name to address. It fails with joined *Problem errors, and
// changes nothing, if b is not such an object or names an unknown upstream.
// It does not check the addresses; Validate does.
func (d *Deployment) SetAddresses(b []byte) error {
	var given map[string]string
	dec := json.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(&given); err != nil {
		return &Problem{Kind: BadSyntax, Path: "addresses", Detail: err.Error()}
	}
	byName := make(map[string]*Upstream, len(d.Upstreams))
	for i := range d.Upstreams {
		byName[d.Upstreams[i].Name] = &d.Upstreams[i]
	}
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(given)) {
		if byName[name] == nil {
			problems = append(problems, &Problem{Kind: UnknownReference, Path: "addresses", Detail: fmt.Sprintf("%q is not a declared upstream", name)})
		}
	}
	if len(problems) > 0 {
		return errors.Join(problems...)
	}
	for name, address := range given {
		byName[name].Address = address
	}
	return nil
}
