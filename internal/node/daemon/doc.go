// Package daemon assembles one daemon from its settings: the follower of the
// control stream, the gossip, the owner of upstreams, the waker, the
// deduplication of non-idempotent requests, the router, and the listeners for
// callers, peers and operators. A supervisor tree runs them.
package daemon
