package guard

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/metric"
	"github.com/azurespan/azurespan/internal/base/ration"
)

type (
	// Settings of a Guard.
	Settings struct {
		// Name is that of the listener in metrics and the log.
		Name string
		// MaxConns bounds the open connections.
		MaxConns int
		// Memory is what connections, heads and bodies may take, and Unfinished the
		// bytes thereof for requests that haven't been read completely.
		Memory     *ration.Ration
		Unfinished int
		// HeadBytes returns the limit of a request's head; nil stands for
		// DefaultHeadBytes.
		HeadBytes func() int
		// IdleTimeout returns how long a client may keep the daemon waiting within a
		// request or for reading an answer; nil stands for DefaultIdleTimeout.
		IdleTimeout func() time.Duration
		// Brief says that requests at this listener are small and answered at once, so that
		// a connection gives way however short it has kept the daemon waiting, once its
		// client has had the time to send and what it has sent has been read: a client
		// always finds room.
		Brief bool
		// Messages says that the listener's protocol isn't HTTP: whoever serves it calls
		// the connections' Receive, Serve and Done.
		Messages bool
		// Refusal is the complete response to a client for which there is no room.
		Refusal string
		Metrics *metric.Metrics
	}

	// Guard bounds what the clients of a listener take. It is safe for concurrent use.
	Guard struct {
		set          Settings
		refusalSlots chan struct{}
		// tick is the number of the present tick of Run, and maxFields the present limit
		// of a head's fields.
		tick, maxFields atomic.Int64

		mu         sync.Mutex
		conns      []*Conn
		bySource   map[string]int
		unfinished int
		// accepted numbers the connections.
		accepted int64
		// noneAt is the tick at which no connection could give way.
		noneAt  int64
		reports [reasons]report
	}

	// listener passes the connections of a net.Listener on that a Guard admits.
	listener struct {
		net.Listener
		guard *Guard
	}
)

// Limits of the deployments' configurations, which apply unless Settings name others.
const (
	DefaultHeadBytes   = 16 << 10
	DefaultIdleTimeout = 15 * time.Second
)

const (
	// connBytes is what an open connection takes: 12 KB waiting for a request and up to
	// 30 KB in a handler (measured with 1,200 and 300 connections).
	connBytes = 28 << 10
	// fieldBytes is what a field of a head takes beyond twice its bytes: 45 with a
	// repeated name (measured with 15,000 fields in a head), 120 with names of its own.
	fieldBytes = 128
	// shortestField is the size of the shortest field, "a:\r\n". A head within its limit
	// of bytes has no more fields than that allows.
	shortestField = 4
	// copies is how often a body is in memory: the buffer that it is read into has up to
	// twice its size, and it is copied once for the upstream.
	copies = 2
	// freeBytes of a head and a body are part of connBytes: those of nearly all requests,
	// which take nothing more.
	freeBytes = 8 << 10
	// stepBytes is the unit in which a request takes memory.
	stepBytes = 8 << 10
	// sourceShare is the part of the connections that one address may have. Many callers
	// may share the address of a balancer, so it is far above what they have in calm.
	sourceShare = 0.75
	// batchShare is the part of all connections that give way at once, so that a flood
	// doesn't cause a search for each connection.
	batchShare = 1.0 / 16
	// tickInterval is the interval of Run: many round trips to a caller (3 ms).
	tickInterval = 100 * time.Millisecond
	// reportTicks is the interval of lines in the log for one reason, and of the search
	// for clients without progress.
	reportTicks = 10
	// quietTicks is the time without a byte after which a request that isn't complete
	// gives way, and tardyTicks the time since its start after which it does so although
	// bytes arrive.
	quietTicks, tardyTicks = 2, 10
	// unreadTicks is the time after which a connection whose answer isn't read gives way.
	unreadTicks = 20
	// briefWait and briefTries are how long, and how often, a client at a listener for brief
	// requests waits for room while those before it are being read and answered.
	briefWait  = 2 * time.Millisecond
	briefTries = 100
	// briefGrace is the time within which such a client has to send its request: ten round
	// trips. 64 connections admit 2,000 clients a second with it.
	briefGrace = 30 * time.Millisecond
	// maxRefusals bounds the connections on which a refusal is being sent; further ones
	// are closed without one.
	maxRefusals    = 32
	refusalTimeout = 500 * time.Millisecond
	// refusalReadBytes bounds each read on such a connection, refusalReads their number.
	refusalReadBytes = 1 << 10
	refusalReads     = 8
)

// New returns a Guard that Run keeps up to date.
func New(set Settings) *Guard {
	if set.HeadBytes == nil {
		set.HeadBytes = func() int { return DefaultHeadBytes }
	}
	if set.IdleTimeout == nil {
		set.IdleTimeout = func() time.Duration { return DefaultIdleTimeout }
	}
	if set.Metrics == nil {
		set.Metrics = metric.New(nil)
	}
	g := &Guard{set: set, refusalSlots: make(chan struct{}, maxRefusals), bySource: map[string]int{}, noneAt: -1}
	for why := none + 1; why < reasons; why++ {
		g.reports[why].metric = set.Metrics.ClientsTurnedAway.WithLabelValues(set.Name, reasonNames[why])
	}
	g.tick.Store(1)
	g.maxFields.Store(int64(DefaultHeadBytes / shortestField))
	return g
}

// Name returns the name of the listener.
func (g *Guard) Name() string { return g.set.Name }

// Wrap returns a listener for the connections of l that the Guard admits.
func (g *Guard) Wrap(l net.Listener) net.Listener { return &listener{l, g} }

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guarded, why := l.guard.admit(c)
		for tries := 0; guarded == nil && l.guard.set.Brief && tries < briefTries; tries++ {
			// Others are about to be answered. Meanwhile further clients wait in the system.
			time.Sleep(briefWait)
			guarded, why = l.guard.admit(c)
		}
		if guarded != nil {
			return guarded, nil
		}
		l.guard.countNow(why, c.RemoteAddr())
		l.guard.refuse(c)
	}
}

// admit returns c as a connection that counts, or why there is no room.
func (g *Guard) admit(c net.Conn) (*Conn, reason) {
	source, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		source = c.RemoteAddr().String()
	}
	now := g.tick.Load()
	n := &Conn{Conn: c, guard: g, source: source, accepted: time.Now(), acceptedIn: now}
	n.heard.Store(now)
	n.began.Store(now)
	g.mu.Lock()
	victims, why := g.roomForConn(now, source)
	if why == none {
		n.index = len(g.conns)
		g.accepted++
		n.number = g.accepted
		g.conns = append(g.conns, n)
		g.bySource[source]++
	}
	g.mu.Unlock()
	end(victims)
	if why != none {
		return nil, why
	}
	return n, none
}

// end closes connections that give way.
func end(victims []*Conn) {
	for _, c := range victims {
		c.abort()
	}
}

// refuse answers that there is no room, in a new goroutine. It first waits for the start of
// a request, because clients take a response without a request for a broken connection, and
// reads on afterwards, because closing with unread data would lose the response.
func (g *Guard) refuse(c net.Conn) {
	select {
	case g.refusalSlots <- struct{}{}:
	default:
		_ = c.Close() // nothing has been read
		return
	}
	go func() {
		defer func() { <-g.refusalSlots }()
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTimeout)) // fails on a closed connection only
		b := make([]byte, refusalReadBytes)
		if _, err := c.Read(b); err != nil || g.set.Refusal == "" {
			return
		}
		if _, err := c.Write([]byte(g.set.Refusal)); err != nil {
			return
		}
		if t, ok := c.(closeWriter); ok {
			_ = t.CloseWrite()
		}
		for range refusalReads {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
}

// Run advances the time by which connections are judged until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := g.tick.Add(1)
		if now%reportTicks == 0 {
			g.sweep(now)
		}
	}
}

// sweep closes the connections whose clients have made no progress for the idle timeout,
// and reports what was turned away.
func (g *Guard) sweep(now int64) {
	timeout := int64(g.set.IdleTimeout() / tickInterval)
	g.maxFields.Store(int64(g.set.HeadBytes() / shortestField))
	var stalled []*Conn
	g.mu.Lock()
	for _, c := range g.conns {
		c.noteProgress(now)
		why := none
		switch {
		case c.unfinished() && now-c.heard.Load() >= timeout:
			why = stalledRequest
		case c.unread(now) >= timeout:
			why = stalledAnswer
		}
		if why != none {
			stalled = append(stalled, c)
			g.count(why, c.RemoteAddr())
		}
	}
	for _, c := range stalled {
		g.forget(c)
	}
	lines := g.takeReports()
	g.mu.Unlock()
	end(stalled)
	for _, line := range lines {
		event.ClientsTurnedAway.Log(line...)
	}
}

// EndStalled closes the connections whose requests aren't complete and have been quiet for a
// second. A daemon that stops would wait for them.
func (g *Guard) EndStalled() {
	now := g.tick.Load()
	var stalled []*Conn
	g.mu.Lock()
	for _, c := range g.conns {
		if c.unfinished() && now-c.heard.Load() >= tardyTicks {
			stalled = append(stalled, c)
			g.count(stalledRequest, c.RemoteAddr())
		}
	}
	for _, c := range stalled {
		g.forget(c)
	}
	g.mu.Unlock()
	end(stalled)
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}
