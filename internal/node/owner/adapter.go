package owner

import (
	"context"
	"errors"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/core/ctrl"
	"github.com/azurespan/azurespan/internal/link/engine"
)

// adapterBusyRetry is the retry delay of a request whose adapter can't be
// loaded because the victim is in use.
const adapterBusyRetry = time.Second

// loadAdapter ensures that an adapter is loaded on a replica. The number of
// adapters stays within the model's adapter slots, whose memory the grant
// reserves; the least recently used adapter is evicted if all are taken.
func (o *Owner) loadAdapter(ctx context.Context, k ctrl.GrantKey, q Request) error {
	var m *declare.Model
	var a *declare.Adapter
	var d *declare.Upstream
	o.control.View(func(state *ctrl.State) {
		m, a, d = state.Config().Model(k.Model), state.Config().Adapter(q.Adapter), state.Config().Upstream(k.Upstream)
	})
	if m == nil || a == nil || d == nil {
		return fault.New(fault.UnknownAdapter, "adapter %s of model %s is not declared", q.Adapter, q.Model)
	}
	unlock, err := o.lockAdapters(ctx, k)
	if err != nil {
		return err
	}
	defer unlock()
	victim, present := o.adapterVictim(time.Now(), k, q.Adapter, m.AdapterSlots)
	if present {
		return nil
	}
	if victim != "" {
		if _, err := o.sendOrder(ctx, k, engine.Order{Kind: engine.UnloadAdapter, Model: k.Model, Version: k.Version, Adapter: victim}); err != nil {
			return adapterBusyFault(err, victim)
		}
		o.setAdapter(k, victim, false)
	}
	release, err := o.limiter.AcquireAdapter(ctx)
	if err != nil {
		return fault.Wrap(err, fault.DeadlineUnreachable, "waiting for other adapter loads")
	}
	defer release()
	_, err = o.sendOrder(ctx, k, engine.Order{
		Kind: engine.LoadAdapter, Model: k.Model, Version: k.Version, Adapter: a.Name, MemoryBytes: a.Bytes, Priority: q.Class,
	})
	if err != nil {
		return err
	}
	o.setAdapter(k, a.Name, true)
	event.AdapterLoaded.Log("upstream", k.Upstream, "model", k.Model, "adapter", a.Name, "evicted", victim)
	o.reportUpstream(time.Now(), d)
	return nil
}

// adapterBusyFault converts the error of an unload into a fault that can be
// retried if the adapter is in use; other errors are returned as they are.
func adapterBusyFault(err error, victim string) error {
	var ee *engine.Error
	if errors.As(err, &ee) && ee.Kind == engine.Busy {
		return fault.Wrap(err, fault.NoCapacity, "adapter %s is in use", victim).WithRetry(adapterBusyRetry)
	}
	return err
}

// lockAdapters serialises the changes of a replica's adapters.
func (o *Owner) lockAdapters(ctx context.Context, k ctrl.GrantKey) (unlock func(), err error) {
	for {
		o.mu.Lock()
		unlocked := o.adapterLocks[k]
		if unlocked == nil {
			unlocked = make(chan struct{})
			o.adapterLocks[k] = unlocked
			o.mu.Unlock()
			return func() {
				o.mu.Lock()
				delete(o.adapterLocks, k)
				o.mu.Unlock()
				close(unlocked)
			}, nil
		}
		o.mu.Unlock()
		select {
		case <-unlocked:
		case <-ctx.Done():
			return nil, fault.New(fault.DeadlineUnreachable, "waiting for another adapter of %s on %s", k.Model, k.Upstream)
		}
	}
}

// adapterVictim reports whether the adapter is loaded, and otherwise which one
// to evict for it. The victim is empty if there is a free slot.
func (o *Owner) adapterVictim(now time.Time, k ctrl.GrantKey, adapter string, slots int) (victim string, present bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rep := o.upstream(k.Upstream).replica(now, k)
	if _, ok := rep.adapters[adapter]; ok {
		rep.adapters[adapter] = now
		return "", true
	}
	if len(rep.adapters) < slots {
		return "", false
	}
	for a, used := range rep.adapters {
		if victim == "" || used.Before(rep.adapters[victim]) || used.Equal(rep.adapters[victim]) && a < victim {
			victim = a
		}
	}
	return victim, false
}

func (o *Owner) setAdapter(k ctrl.GrantKey, adapter string, loaded bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	rep := o.upstream(k.Upstream).replica(now, k)
	rep.changedAt = now
	if loaded {
		rep.adapters[adapter] = now
	} else {
		delete(rep.adapters, adapter)
	}
}
