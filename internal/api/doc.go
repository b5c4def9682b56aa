// Package api holds the OpenAPI description of the interface to callers.
//
// The package oas below it is generated from openapi.yaml by ogen and is
// committed, so building needs no generator. Run `make generate` after a
// change of openapi.yaml or ogen.yaml.
package api

//go:generate go tool ogen -config ogen.yaml -package oas -target oas -clean openapi.yaml
