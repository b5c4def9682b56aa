// Package engsv simulates a model engine for tests: continuous batching,
// checkpoint cache tiers, orders with fencing numbers, resumable streams and
// fault injection.
//
// The calls are those of docs/design.md section 5. A completion names the base
// model in "model" and, beside the usual OpenAI fields, "version", "adapter",
// "prefix" and "prefix-tokens". POST /admin/faults sets the fields of Faults
// that its body names, and GET /admin/records returns the event log, which
// survives crashes.
//
// Each token is a function of model, version, adapter, prompt and index, so a
// test can compute the expected completion; see ExpectedCompletion.
package engsv
