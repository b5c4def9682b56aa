package entry

import (
	"context"
	"net"
	"time"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/link/tunnel"
	"github.com/azurespan/azurespan/internal/node/dialer"
	"github.com/azurespan/azurespan/internal/node/relay"
)

// forwarding is what this daemon knows of upstreams, for those to which it forwards
// other daemons' connections.
type forwarding struct {
	relay  *relay.Relay
	dialer *dialer.Dialer
}

var _ tunnel.Upstreams = forwarding{}

// MayForward returns the upstream with an ID at an address, or the reason why it gets
// no request from this daemon.
func (f forwarding) MayForward(now time.Time, id, address string) (fleet.Upstream, string) {
	return f.relay.MayForward(now, id, address)
}

// Dial connects to an upstream over this daemon's own path.
func (f forwarding) Dial(ctx context.Context, up fleet.Upstream) (net.Conn, error) {
	return f.dialer.Direct(ctx, up)
}

// Observe records what an upstream's response to a forwarded request says of it.
func (f forwarding) Observe(up fleet.Upstream, since time.Time, head []byte) {
	f.relay.Observe(up, since, head)
}
