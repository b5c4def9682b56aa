package entry

import (
	"context"
	"slices"

	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/node/hub"
	"github.com/azurespan/azurespan/internal/node/logjob"
	"github.com/azurespan/azurespan/internal/node/syncer"
)

// modelClient is a connection to a holder.
type modelClient struct{ from, to *modelDaemon }

// dial connects to the daemon at an address.
func (d *modelDaemon) dial(ctx context.Context, address string) (syncer.Client, error) {
	d.fleet.mu.Lock()
	i := slices.IndexFunc(d.fleet.daemons, func(o *modelDaemon) bool { return o.host == address })
	d.fleet.mu.Unlock()
	c := &modelClient{d, d.fleet.daemons[i]}
	return c, c.call(ctx, func() error { return nil })
}

// call runs f at the other daemon.
func (c *modelClient) call(ctx context.Context, f func() error) error {
	lost := func() bool { return c.from.peerCut.Load() || c.to.peerCut.Load() || !c.to.running.Load() }
	giveUp := func() error {
		pause.For(ctx, hopTimeout)
		return errModelTimeout
	}
	pause.For(ctx, hopTime)
	if lost() {
		return giveUp()
	}
	if err := f(); err != nil {
		return err
	}
	pause.For(ctx, hopTime)
	if lost() {
		return giveUp()
	}
	return ctx.Err()
}

// Tell implements syncer.Client.
func (c *modelClient) Tell(ctx context.Context, a *hub.TellArgs) (r *hub.TellReply, err error) {
	err = c.call(ctx, func() error {
		r, err = c.to.loader.Tell(c.to.now(), a)
		return err
	})
	return r, err
}

// Watch implements syncer.Client.
func (c *modelClient) Watch(ctx context.Context, a *hub.WatchArgs) (r *hub.WatchReply, err error) {
	err = c.call(ctx, func() error {
		ctx, cancel := context.WithTimeout(ctx, hub.WatchWait)
		defer cancel()
		if r, err = c.to.loader.Watch(ctx, a); err != nil || r.WholeRegister == nil {
			return err
		}
		if r.Register, err = r.WholeRegister.Unpack(); err == nil {
			r.Register.Age += r.WholeAge
		}
		return err
	})
	return r, err
}

// Bulk implements syncer.Client.
func (c *modelClient) Bulk(ctx context.Context, a *hub.BulkArgs) (r *hub.BulkReply, err error) {
	err = c.call(ctx, func() error {
		r, err = c.to.shelf.Bulk(a)
		return err
	})
	return r, err
}

// Done implements syncer.Client.
func (c *modelClient) Done(ctx context.Context, r logjob.Result) error {
	return c.call(ctx, func() error {
		c.to.loader.Done(r)
		return nil
	})
}

// Origin implements syncer.Client.
func (c *modelClient) Origin(ctx context.Context, a *hub.OriginArgs) (r *hub.OriginReply, err error) {
	err = c.call(ctx, func() error {
		r, err = c.to.loader.Origin(a)
		return err
	})
	return r, err
}

// Close implements syncer.Client.
func (*modelClient) Close() {}
