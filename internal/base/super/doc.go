// Package super runs the components of a daemon under a supervisor tree.
//
// A component that panics or returns an error is restarted on its own, with a
// backoff if it fails often; the other components and the streams in progress
// continue. The package is built on github.com/thejerf/suture/v4.
package super
