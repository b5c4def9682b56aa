// Package platsv is a stand-in for the platform: the log service, the host
// list and the weight store, with faults on demand.
//
// The calls of operators and daemons are those of docs/design.md section 5.
// PUT and DELETE /admin/hosts/{name} change the host list, POST /admin/faults
// sets the fields of Faults that its body names, and GET /admin/records
// returns everything that happened, independent of retention.
package platsv
