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

// SetAddresses replaces the addresses of the upstreams in b, a JSON object that
// maps upstream names to addresses. If b is not such an object or names an
// unknown upstream, SetAddresses changes nothing and returns joined *Problem
// errors. It does not validate the addresses; Validate does.
func (d *Deployment) SetAddresses(b []byte) error {
	var addresses map[string]string
	dec := json.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(&addresses); err != nil {
		return &Problem{Kind: BadSyntax, Path: "addresses", Detail: err.Error()}
	}
	byName := make(map[string]*Upstream, len(d.Upstreams))
	for i := range d.Upstreams {
		byName[d.Upstreams[i].Name] = &d.Upstreams[i]
	}
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		if byName[name] == nil {
			problems = append(problems, &Problem{Kind: UnknownReference, Path: "addresses", Detail: fmt.Sprintf("%q is not a declared upstream", name)})
		}
	}
	if len(problems) > 0 {
		return errors.Join(problems...)
	}
	for name, address := range addresses {
		byName[name].Address = address
	}
	return nil
}
