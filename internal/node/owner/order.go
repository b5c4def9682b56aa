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

// order sends one order under the current epoch, which it returns. An order
// without an answer is sent again under the same identifier, which joins the
// first one, until ctx ends or the engine counts as dead. A load that is given
// up then may still be executed, see unsure.
func (o *Owner) order(ctx context.Context, k ctrl.GrantKey, od engine.Order) (uint64, error) {
	// The order counts as in flight before the ownership is checked. Otherwise
	// the loss could be acknowledged between the check and the order.
	o.mu.Lock()
	u := o.unit(k.Upstream)
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
		return 0, fault.New(fault.NotOwner, "%s does not own %s", o.set.Self, k.Upstream)
	}
	o.mu.Lock()
	u.sequence++
	od.Fencing, od.Sequence = epoch, u.sequence
	od.ID = fmt.Sprintf("%s-%d-%d", o.set.Self, epoch, u.sequence)
	o.mu.Unlock()
	event.OrderSent.Log("upstream", k.Upstream, "kind", string(od.Kind), "model", k.Model, "version", k.Version, "adapter", od.Adapter, "epoch", epoch, "sequence", od.Sequence)
	sent := false
	for {
		err := o.eng.Order(ctx, d.Address, od)
		if err == nil {
			return epoch, nil
		}
		var ee *engine.Error
		if !errors.As(err, &ee) {
			ee = &engine.Error{Kind: engine.Unreachable, Address: d.Address, Reached: true, Err: err}
		}
		sent = sent || ee.Reached
		if ee.Kind != engine.Unreachable || !sent || ctx.Err() != nil || o.isDead(k.Upstream) {
			if ee.Kind == engine.Unreachable && sent && od.Kind == engine.Load {
				o.setUnsure(k)
			}
			return epoch, orderFault(ee, k)
		}
		pause.For(ctx, o.set.ReportInterval)
	}
}

// setUnsure notes that a load of k was given up without an answer. The engine
// may still execute it, until it reports the replica or restarts.
func (o *Owner) setUnsure(k ctrl.GrantKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.unit(k.Upstream)
	u.unsure[k] = u.report.Incarnation
}

// isDead reports whether the engine stopped answering reports.
func (o *Owner) isDead(upstream string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unit(upstream).status == member.Dead
}

// orderFault classifies a failed order.
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
