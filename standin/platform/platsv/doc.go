// Package platsv simulates the platform for tests: the log service, the host
// list and the weight store, with fault injection.
//
// The calls of operators and daemons are those of docs/design.md section 5.
// PUT and DELETE /admin/hosts/{name} change the host list, POST /admin/faults
// sets the fields of Faults that its body names, and GET /admin/records returns
// the event log, which is not subject to retention.
package platsv
