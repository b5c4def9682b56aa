package relay

import (
	"encoding/hex"
	"hash/fnv"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/poison"
)

// identity is what a request is known by in crash histories when its caller sends it
// again under another ID.
type identity struct {
	// request is the fingerprint of all that the caller sent.
	request string
	// variants is the key of all requests of the caller with the same path and body,
	// whatever their method, query and model.
	variants string
}

// identify returns the identity of a request from the caller's host.
func identify(req *fleet.Request, caller string) identity {
	return identity{
		request:  hashOf(req.Body, caller, req.Method, req.Target, req.Model, req.Adapter),
		variants: poison.VariantsKey(hashOf(req.Body, caller, req.Path)),
	}
}

// keys returns the keys of the histories that concern the request.
func (id identity) keys() [2]string { return [...]string{id.request, id.variants} }

// hashOf returns a hash of fields and a body.
func hashOf(body []byte, fields ...string) string {
	h := fnv.New128a()
	for _, s := range fields {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
