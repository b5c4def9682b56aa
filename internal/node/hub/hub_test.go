package hub

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/logjob"
)

// holder answers as its fields say.
type holder struct {
	told    chan *TellArgs
	results chan logjob.Result
	reply   *WatchReply
	err     error
	// hang keeps calls of Tell until the test ends.
	hang chan struct{}
}

func (h *holder) Tell(_ time.Time, a *TellArgs) (int64, error) {
	if h.hang != nil {
		<-h.hang
	}
	h.told <- a
	return 7, h.err
}

func (h *holder) Watch(ctx context.Context, _ *WatchArgs) (*WatchReply, error) {
	if h.reply == nil && h.err == nil {
		<-ctx.Done()
		return &WatchReply{Fence: 7}, nil
	}
	return h.reply, h.err
}

func (h *holder) Done(r logjob.Result) { h.results <- r }

// contact serves h and returns a connected client.
func contact(t *testing.T, h *holder) *Client {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, l, h, time.Now) }()
	c, err := Dial(ctx, l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() {
		c.Close()
		cancel()
		must.ErrorIs(t, <-served, context.Canceled)
	})
	return c
}

// TestCalls guards against fields that get lost between daemons.
func TestCalls(t *testing.T) {
	all, err := Pack([]fleet.Inventory{{ID: "e0", Born: 1, Rev: 4, Held: []fleet.LoadedModel{{Model: "m"}}}})
	must.NoError(t, err)
	whole, err := Pack(&roster.Update{AsOf: 30, Age: time.Second, Full: true, Put: []fleet.Upstream{{ID: "e0", ColdFor: 1}}})
	must.NoError(t, err)
	h := &holder{told: make(chan *TellArgs, 1), results: make(chan logjob.Result, 1), reply: &WatchReply{
		Fence: 7, Rev: 4, AllCopies: all, WholeRegister: whole, WholeAge: 100 * time.Millisecond, Config: &TopicState{AsOf: 3, Age: time.Second},
		Job: &logjob.Job{ID: 5, Append: true, Value: []byte("x")},
	}}
	c := contact(t, h)
	k := fleet.Key{Service: "s", Model: "m", Adapter: "a1"}
	r, err := c.Tell(t.Context(), &TellArgs{Host: "d", Demand: fleet.Demand{Waiting: map[fleet.Key]int{k: 2}}})
	must.NoError(t, err)
	must.Eq(t, int64(7), r.Fence)
	must.Eq(t, 2, (<-h.told).Demand.Waiting[k])
	w, err := c.Watch(t.Context(), &WatchArgs{Host: "d"})
	must.NoError(t, err)
	must.Eq(t, []fleet.Inventory{{ID: "e0", Born: 1, Rev: 4, Held: []fleet.LoadedModel{{Model: "m"}}}}, w.Copies)
	must.Eq(t, &roster.Update{AsOf: 30, Age: 1100 * time.Millisecond, Full: true, Put: []fleet.Upstream{{ID: "e0", ColdFor: 1}}}, w.Register)
	must.Eq(t, &TopicState{AsOf: 3, Age: time.Second}, w.Config)
	must.Eq(t, uint64(5), w.Job.ID)
	must.NoError(t, c.Done(t.Context(), logjob.Result{ID: 5, OK: true}))
	must.True(t, (<-h.results).OK)
}

// TestNotTheHolder guards against a refusal that looks like an answer.
func TestNotTheHolder(t *testing.T) {
	c := contact(t, &holder{told: make(chan *TellArgs, 1), err: &NotHolderError{Host: "d2"}})
	_, err := c.Tell(t.Context(), &TellArgs{})
	must.ErrorContains(t, err, "d2 may not order loads")
	_, err = c.Watch(t.Context(), &WatchArgs{})
	must.ErrorContains(t, err, "d2 may not order loads")
}

// TestQuietHolder guards against a call for changes that a daemon takes for a
// loss, because there is nothing to tell.
func TestQuietHolder(t *testing.T) {
	c := contact(t, &holder{})
	w, err := c.Watch(t.Context(), &WatchArgs{})
	must.NoError(t, err)
	must.Eq(t, int64(7), w.Fence)
}

// TestFrozenHolder guards against a daemon that waits for a holder which has
// stopped answering on an open connection.
func TestFrozenHolder(t *testing.T) {
	h := &holder{hang: make(chan struct{}), told: make(chan *TellArgs, 1)}
	c := contact(t, h)
	_, err := c.Tell(t.Context(), &TellArgs{})
	must.ErrorIs(t, err, context.DeadlineExceeded)
	close(h.hang)
}

// TestDamagedBulk guards against a part of the copies that counts as all.
func TestDamagedBulk(t *testing.T) {
	all, err := Pack([]fleet.Inventory{{ID: "e0"}, {ID: "e1"}})
	must.NoError(t, err)
	c := contact(t, &holder{reply: &WatchReply{AllCopies: all[:len(all)/2]}})
	_, err = c.Watch(t.Context(), &WatchArgs{})
	must.Error(t, err)
}
