// Package engsv is a stand-in for a model engine: continuous batching, cache
// tiers for checkpoints, orders with fencing, streams that can be resumed,
// and faults on demand.
//
// The calls are those of docs/design.md section 5. A completion names the base
// model in "model" and, beside the usual OpenAI fields, "version", "adapter",
// "prefix" and "prefix-tokens". POST /admin/faults sets the fields of Faults
// that its body names, and GET /admin/records returns everything that
// happened, across crashes.
//
// A token is a function of model, version, adapter, prompt and index, so a
// checker can compute the whole answer; see Expect.
package engsv
