// Package super runs the components of a daemon under a supervisor tree.
//
// A component that panics or returns an error is restarted alone, with a
// backoff once it fails often; the others and the streams in progress go on.
// It is built on github.com/thejerf/suture/v4.
package super
