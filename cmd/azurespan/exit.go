package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
)

// Exit codes, documented in docs/cli.md.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitInternal    = 4
)

type (
	// usageError is an invalid command line.
	usageError struct{ detail string }

	// refusedError is a refused request, or input in which a problem was
	// found.
	refusedError struct{ detail string }

	// unreachableError is a service that sent no usable response in time.
	unreachableError struct {
		service string
		cause   error
	}

	// protocolError is a response that violates the protocol.
	protocolError struct {
		service string
		detail  string
	}
)

func (e *usageError) Error() string   { return e.detail }
func (e *refusedError) Error() string { return e.detail }
func (e *unreachableError) Error() string {
	return fmt.Sprintf("%s is unreachable: %v", e.service, e.cause)
}
func (e *unreachableError) Unwrap() error { return e.cause }
func (e *protocolError) Error() string {
	return fmt.Sprintf("%s sent an invalid response: %s", e.service, e.detail)
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var (
		usage       *usageError
		refused     *refusedError
		unreachable *unreachableError
		network     net.Error
		address     *url.Error
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &unreachable), errors.As(err, &network), errors.As(err, &address),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return exitUnreachable
	default:
		return exitInternal
	}
}
