package daemon

import (
	"errors"
	"fmt"
	"net"
)

// ListenError reports that the address of a listener can't be bound.
type ListenError struct {
	// Key is the setting in the section [daemon] that has the address.
	Key, Address string
	Cause        error
}

// Error names the key, the address and the cause.
func (e *ListenError) Error() string {
	cause := e.Cause
	var op *net.OpError
	if errors.As(cause, &op) {
		// The message already names the operation and the address.
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
		{&d.callerListener, "caller-address", d.settings.Daemon.CallerAddress},
		{&d.peerListener, "peer-address", d.settings.Daemon.PeerAddress},
		{&d.adminListener, "admin-address", d.settings.Daemon.AdminAddress},
	} {
		var err error
		if *l.to, err = net.Listen("tcp", l.address); err != nil {
			failed = append(failed, &ListenError{Key: l.key, Address: l.address, Cause: err})
		}
	}
	if len(failed) == 0 {
		return nil
	}
	for _, l := range []net.Listener{d.callerListener, d.peerListener, d.adminListener} {
		if l != nil {
			_ = l.Close() // No connection has been accepted.
		}
	}
	return errors.Join(failed...)
}
