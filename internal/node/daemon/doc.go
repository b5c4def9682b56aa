// Package daemon assembles one daemon from its settings: the follower of the
// control stream, gossip, owner, waker, keeper of claims, router, and the
// listeners for callers, peers and operators, under one supervisor tree.
package daemon
