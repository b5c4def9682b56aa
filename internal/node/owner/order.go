package owner

import (
	"context"
	"errors"
	"fmt"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/pause"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/core/member"
	"github.com/azurespan/azurespan/internal/link/engine"
)

// sendOrder sends one order under the current epoch, which it returns. An order
// without an answer is sent again under the same identifier, which the engine
// joins to the first one, until ctx ends or the engine counts as dead. A load
// that is given up then may still be executed; it is kept in unansweredLoads.
func (o *Owner) sendOrder(ctx context.Context, k ctrl.GrantKey, order engine.Order) (uint64, error) {
	// The order counts as in flight before the ownership is checked. Otherwise
	// the loss of ownership could be acknowledged between the check and the
	// order.
	o.mu.Lock()
	u := o.upstream(k.Upstream)
	u.inFlight++
	resigning := u.resigning
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		u.inFlight--
		o.mu.Unlock()
	}()
	epoch, d, ok := o.owned(k.Upstream)
	if !ok || resigning {
		return 0, fault.New(fault.NotOwner, "%s does not own %s", o.settings.Self, k.Upstream)
	}
	o.mu.Lock()
	u.sequence++
	order.Fencing, order.Sequence = epoch, u.sequence
	order.ID = fmt.Sprintf("%s-%d-%d", o.settings.Self, epoch, u.sequence)
	o.mu.Unlock()
	event.OrderSent.Log("upstream", k.Upstream, "kind", string(order.Kind), "model", k.Model, "version", k.Version, "adapter", order.Adapter, "epoch", epoch, "sequence", order.Sequence)
	sent := false
	for {
		err := o.engines.Order(ctx, d.Address, order)
		if err == nil {
			return epoch, nil
		}
		var ee *engine.Error
		if !errors.As(err, &ee) {
			ee = &engine.Error{Kind: engine.Unreachable, Address: d.Address, Reached: true, Err: err}
		}
		sent = sent || ee.Reached
		if ee.Kind != engine.Unreachable || !sent || ctx.Err() != nil || o.isDead(k.Upstream) {
			if ee.Kind == engine.Unreachable && sent && order.Kind == engine.Load {
				o.recordUnanswered(k)
			}
			return epoch, orderFault(ee, k)
		}
		pause.For(ctx, o.settings.ReportInterval)
	}
}

// recordUnanswered records that a load of k was given up without an answer. The
// engine may still execute it until it reports the replica or restarts.
func (o *Owner) recordUnanswered(k ctrl.GrantKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.upstream(k.Upstream)
	u.unansweredLoads[k] = u.report.Incarnation
}

// isDead reports whether the engine counts as dead after failed polls.
func (o *Owner) isDead(upstream string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.upstream(upstream).status == member.Dead
}

// orderFault converts the error of an order into a fault.
func orderFault(e *engine.Error, k ctrl.GrantKey) error {
	switch e.Kind {
	case engine.StaleFencing, engine.StaleSequence:
		return fault.Wrap(e, fault.NotOwner, "%s refused the order", k.Upstream)
	case engine.NoMemory, engine.Busy:
		return fault.Wrap(e, fault.NoCapacity, "%s refused the order", k.Upstream)
	default:
		return fault.Wrap(e, fault.UpstreamUnavailable, "%s did not carry out the order", k.Upstream)
	}
}
