package hub

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/core/fleet"
	"github.com/azurespan/azurespan/internal/core/logpos"
	"github.com/azurespan/azurespan/internal/core/origin"
	"github.com/azurespan/azurespan/internal/core/poison"
	"github.com/azurespan/azurespan/internal/core/roster"
	"github.com/azurespan/azurespan/internal/node/logjob"
)

type (
	// TellArgs is a daemon's report to the holder.
	TellArgs struct {
		Host   string
		Demand fleet.Demand
		// Crashes are the histories that have changed since the last reply,
		// all of them after a connection was established, without those that the holder
		// has sent. Table is the ID of the daemon's table of histories, 0 from a daemon
		// that doesn't state it.
		Crashes []poison.Entry
		Table   uint64
		// Streams are the streams that began at the daemon since the last reply,
		// in services with several software versions.
		Streams []origin.Stream
		// Groups are the same for a holder that reads them (TellReply.ReadsGroups),
		// in place of Streams.
		Groups []origin.Group
		// Cleared are the fingerprints of requests that have completed. Daemons
		// that don't know Entry.Cleared rely on it.
		Cleared []string
		// Path is the daemon's network path to upstreams, zero from a daemon that
		// doesn't forward.
		Path fleet.PathReport
		// KeepsVersions is set by a daemon that begins streams only at versions that
		// the holder has opened.
		KeepsVersions bool
	}

	// TellReply is the reply to TellArgs.
	TellReply struct {
		Fence int64
		// Deals is set if the holder deals permits for upstreams with a rate
		// limit, and Permits are those for this daemon by upstream.
		Deals   bool
		Permits map[string]int
		// ReadsGroups is set by a holder that reads TellArgs.Groups.
		ReadsGroups bool
		// Allowance answers Demand.Allowance; nil from a holder that can't.
		Allowance *fleet.AllowanceReply
		// Forwarders are the addresses of daemons that forward connections to
		// upstreams, in the order of preference, nil if the daemon knows them.
		Forwarders []string
		// Delegates are the addresses of daemons that lend allowances of client accounts
		// while the holder can't be asked. In a reply with Allowance, they replace those
		// that the daemon knows.
		Delegates []string
		// Trials answers Demand.Trials; nil from a holder that assigns none.
		Trials *fleet.TrialReply
		// Grants are for slots of contended engines.
		Grants []fleet.SlotGrant
		// Refused are the requests of Demand.Asks that can't be served.
		Refused []fleet.SlotRefusal
	}

	// WatchArgs requests the changes after a revision of a tenure.
	WatchArgs struct {
		Host  string
		Fence int64
		Rev   uint64
		// Register and Config are the positions up to which the daemon knows
		// these topics.
		Register, Config logpos.Position
		// Crashes is the position up to which the daemon knows the holder's
		// crash histories, and Table the ID of its own table, 0 if it doesn't state it.
		Crashes poison.Cursor
		Table   uint64
		// LimitsRev is the revision of the rate limits that the daemon knows.
		LimitsRev uint64
		// StateRev is the revision of the holder's state of versions that the daemon
		// knows.
		StateRev uint64
		// SlotsRev is the revision of the contended engines that the daemon knows.
		SlotsRev uint64
		// Load requests Running and Daemons.
		Load bool
		// Address is that of the daemon's own calls, empty from one that doesn't take
		// the complete state from another daemon, and Keeps is set if it passes that
		// of this tenure on.
		Address string
		Keeps   bool
	}

	// WatchReply is the holder's reply to WatchArgs.
	WatchReply struct {
		Fence  int64
		Rev    uint64
		Copies []fleet.Inventory
		// AllCopies replaces Copies for a daemon that knows none.
		AllCopies Packed[[]fleet.Inventory]
		Coming    []fleet.PendingLoad
		// Running counts the requests in progress of the other daemons by
		// upstream, nil if not requested. In a large fleet it has the upstreams with
		// the most for their slots, and RestLoad is the mean of the others, in
		// requests per slot.
		Running  map[string]int
		RestLoad float64
		// Daemons is the number in contact, the holder included.
		Daemons int
		// Crashes are the changed histories of requests that may be in
		// quarantine, and CrashesAt is the position that includes them.
		Crashes   []poison.Entry
		CrashesAt poison.Cursor
		// StoreAtOnce is the holder's estimate of the number of loads that the
		// weight store serves at a time, for the next holder.
		StoreAtOnce float64
		// Register holds the changes of the register, and Config states how
		// much of the configuration's topic is known; nil while the holder
		// doesn't know.
		Register *roster.Update
		Config   *TopicState
		// WholeRegister replaces Register for a daemon that needs all of it;
		// WholeAge is the time since it was packed.
		WholeRegister Packed[*roster.Update]
		WholeAge      time.Duration
		// Sources are the addresses of daemons that pass on what the reply lacks of
		// the complete state, and SourceRegister is set if that includes the register.
		Sources        []string
		SourceRegister bool
		// Held is the time from the receipt of the question until the ages in the
		// reply were taken, 0 from a holder that doesn't state it.
		Held time.Duration
		// Job is a call to the log that the daemon makes for the holder.
		Job *logjob.Job
		// Limits are the rate limits that the holder knows, and LimitsRev is
		// their revision.
		Limits    []fleet.NamedLimit
		LimitsRev uint64
		// KeepsVersions is set by a holder that decides from when on streams may
		// begin at a version. State is what it has decided, nil if the daemon knows
		// it, and StateRev its revision, 0 while the holder doesn't know yet.
		KeepsVersions bool
		State         *origin.State
		StateRev      uint64
		// Slots is what the holder says of the slots of engines: at each request for
		// loads, and when the contended engines are others than at SlotsRev; nil if it
		// says nothing. Grants are for slots of contended engines.
		Slots    *fleet.SlotWord
		SlotsRev uint64
		Grants   []fleet.SlotGrant
	}

	// TopicState is how much of a topic the holder knows.
	TopicState struct {
		// AsOf is the position up to which the topic is known, Age the time since
		// the beginning of the read that found its end there.
		AsOf logpos.Position
		Age  time.Duration
		// EndAge is the time since the log can have found that end; 0 stands for
		// Age.
		EndAge time.Duration
		// Version is that of the configuration in force at the holder, 0 if it
		// doesn't say.
		Version int64
	}

	// Holder is the daemon that may order loads.
	Holder interface {
		// Tell records a daemon's report. It fails with a NotHolderError if
		// this daemon doesn't hold the lease.
		Tell(now time.Time, a *TellArgs) (*TellReply, error)
		// Watch returns the state once it has changed, or when ctx ends.
		Watch(ctx context.Context, a *WatchArgs) (*WatchReply, error)
		// Done records the result of a job.
		Done(r logjob.Result)
		// Origin returns what the holder knows of a stream.
		Origin(a *OriginArgs) (*OriginReply, error)
	}

	// NotHolderError states that the called daemon doesn't hold the lease.
	NotHolderError struct{ Host string }

	// server has the methods that net/rpc exports.
	server struct {
		ctx    context.Context
		holder Holder
		passer Passer
		lender Lender
		now    func() time.Time
	}
)

const (
	// serviceName is the name under which net/rpc exports the methods.
	serviceName = "Hub"
	// dialTimeout and tellTimeout bound the set-up of a connection and a call;
	// the network latency between daemons is some ms.
	dialTimeout = 500 * time.Millisecond
	tellTimeout = 600 * time.Millisecond
	// keepAliveInterval and keepAliveProbes detect a broken connection by TCP
	// keep-alive.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// WatchWait is how long the holder holds a call of Watch open while there
	// are no changes.
	WatchWait = 300 * time.Millisecond
	// watchTimeout bounds a call of Watch as a whole.
	watchTimeout = WatchWait + tellTimeout
)

// Error implements error.
func (e *NotHolderError) Error() string { return e.Host + " may not order loads" }

// Serve accepts calls on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Holder, p Passer, d Lender, now func() time.Time) error {
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, &server{ctx: ctx, holder: h, passer: p, lender: d, now: now}); err != nil {
		return merry.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	decoding := make(chan struct{}, 1)
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return merry.Wrap(err)
		}
		go s.ServeCodec(newCodec(c, decoding))
	}
}

// Tell implements the call of that name.
func (s *server) Tell(a *TellArgs, r *TellReply) error {
	reply, err := s.holder.Tell(s.now(), a)
	if err != nil {
		return err
	}
	*r = *reply
	return nil
}

// Watch implements the call of that name.
func (s *server) Watch(a *WatchArgs, r *WatchReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, WatchWait)
	defer cancel()
	reply, err := s.holder.Watch(ctx, a)
	if err != nil {
		return err
	}
	*r = *reply
	return nil
}

// Done implements the call of that name.
func (s *server) Done(a *logjob.Result, _ *struct{}) error {
	s.holder.Done(*a)
	return nil
}

// Client is a connection to a holder.
type Client struct {
	rc *rpc.Client
}

// Dial connects to the holder at address.
func Dial(ctx context.Context, address string) (*Client, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, merry.Wrap(err, merry.PrependMessage("holder"))
	}
	return &Client{rc: rpc.NewClient(c)}, nil
}

// Close closes the connection.
func (c *Client) Close() {
	if err := c.rc.Close(); err != nil && err != rpc.ErrShutdown {
		event.HolderCloseFailed.Log("err", err)
	}
}

// Tell reports to the holder.
func (c *Client) Tell(ctx context.Context, a *TellArgs) (*TellReply, error) {
	r := new(TellReply)
	return r, c.call(ctx, "Tell", a, r, tellTimeout)
}

// Watch requests changes.
func (c *Client) Watch(ctx context.Context, a *WatchArgs) (*WatchReply, error) {
	r := new(WatchReply)
	if err := c.call(ctx, "Watch", a, r, watchTimeout); err != nil {
		return nil, err
	}
	return r, r.unpackShared()
}

// unpackShared decodes AllCopies and WholeRegister into Copies and Register.
func (r *WatchReply) unpackShared() (err error) {
	if r.AllCopies != nil {
		if r.Copies, err = r.AllCopies.Unpack(); err != nil {
			return err
		}
	}
	if r.WholeRegister != nil {
		if r.Register, err = r.WholeRegister.Unpack(); err != nil {
			return err
		}
		r.Register.Age += r.WholeAge
	}
	return nil
}

// Done sends the result of a job.
func (c *Client) Done(ctx context.Context, r logjob.Result) error {
	return c.call(ctx, "Done", &r, &struct{}{}, tellTimeout)
}

func (c *Client) call(ctx context.Context, method string, a, r any, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := c.rc.Go(serviceName+"."+method, a, r, make(chan *rpc.Call, 1))
	select {
	case <-done.Done:
		if done.Error != nil {
			return merry.Wrap(done.Error, merry.PrependMessage("holder"))
		}
		return nil
	case <-ctx.Done():
		return merry.Wrap(ctx.Err(), merry.PrependMessage("holder"))
	}
}
