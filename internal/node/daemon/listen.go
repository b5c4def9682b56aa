package daemon

import (
	"errors"
	"fmt"
	"net"
)

// ListenError reports a listener of the settings that can't be bound.
type ListenError struct {
	// Key is the key in the section [daemon].
	Key, Address string
	Cause        error
}

// Error names the key, the address and the cause.
func (e *ListenError) Error() string {
	cause := e.Cause
	var op *net.OpError
	if errors.As(cause, &op) {
		// The operation and the address are named already.
		cause = op.Err
	}
	return fmt.Sprintf("[daemon] %s: can't listen on %s: %v", e.Key, e.Address, cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listen binds all listeners, or none. The error joins one *ListenError for
// each address that can't be bound.
func (d *Daemon) listen() error {
	var failed []error
	for _, l := range []struct {
		to           *net.Listener
		key, address string
	}{
		{&d.callers, "caller-address", d.set.Daemon.CallerAddress},
		{&d.peers, "peer-address", d.set.Daemon.PeerAddress},
		{&d.admin, "admin-address", d.set.Daemon.AdminAddress},
	} {
		var err error
		if *l.to, err = net.Listen("tcp", l.address); err != nil {
			failed = append(failed, &ListenError{Key: l.key, Address: l.address, Cause: err})
		}
	}
	if len(failed) == 0 {
		return nil
	}
	for _, l := range []net.Listener{d.callers, d.peers, d.admin} {
		if l != nil {
			_ = l.Close() // it served nobody yet
		}
	}
	return errors.Join(failed...)
}
