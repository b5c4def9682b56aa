package guard

import (
	"slices"
	"time"
)

// candidate is a connection that may give way. Those of a lower class do first, and in a
// class those that have been quiet the longest.
type candidate struct {
	conn  *Conn
	class int
	since int64
}

// Classes of connections that may give way. Between requests is the first class when
// descriptors are short, and the second when memory is.
const (
	classFirst = iota
	classSecond
	// classUnread have an answer that isn't read.
	classUnread
	// classTardy send, but have been at their request for long.
	classTardy
)

// roomForConn makes room for a connection. It returns the connections that give way for it
// and have to be closed, and why there is no room. g.mu must be held.
func (g *Guard) roomForConn(now int64, source string) (victims []*Conn, why reason) {
	if limit := max(int(sourceShare*float64(g.set.MaxConns)), 1); g.bySource[source] >= limit {
		if victims = g.giveWay(now, nil, source, true, 1, 0); victims == nil {
			return nil, noConnections
		}
	}
	if len(g.conns) >= g.set.MaxConns {
		more := g.giveWay(now, nil, "", true, 1, 0)
		if victims = append(victims, more...); more == nil {
			return victims, noConnections
		}
	}
	for !g.set.Memory.Take(source, connBytes) {
		of := ""
		if g.set.Memory.OverShare(source, connBytes) {
			of = source
		}
		more := g.giveWay(now, nil, of, false, 1, connBytes)
		if victims = append(victims, more...); more == nil {
			return victims, noMemory
		}
	}
	return victims, none
}

// grow has the connection take so many bytes for its request, and reports whether it could.
func (c *Conn) grow(want int) bool {
	want -= freeBytes
	if want <= 0 {
		return true
	}
	g := c.guard
	now := g.tick.Load()
	g.mu.Lock()
	victims, ok := g.roomFor(now, c, want)
	if !ok {
		g.count(noMemory, c.RemoteAddr())
	}
	g.mu.Unlock()
	end(victims)
	return ok
}

// roomFor makes room for the request of a connection. g.mu must be held.
func (g *Guard) roomFor(now int64, c *Conn, want int) (victims []*Conn, ok bool) {
	if c.index < 0 {
		return nil, false // it has given way
	}
	if want <= c.bytes {
		return nil, true
	}
	more := (want - c.bytes + stepBytes - 1) / stepBytes * stepBytes
	for !c.whole && g.unfinished+more > g.set.Unfinished || !g.set.Memory.Take(c.source, more) {
		of := ""
		if g.set.Memory.OverShare(c.source, more) {
			of = c.source
		}
		ended := g.giveWay(now, c, of, false, 0, more)
		if ended == nil {
			return victims, false
		}
		victims = append(victims, ended...)
	}
	c.bytes += more
	if !c.whole {
		g.unfinished += more
	}
	return victims, true
}

// giveWay chooses connections that give way, so that a number of connections or of bytes
// becomes free, or as much of it as is possible, and forgets them. It leaves out self, and
// unless source is empty, other sources. idleFirst says that connections between requests go
// before others. It returns nil if none can. g.mu must be held.
func (g *Guard) giveWay(now int64, self *Conn, source string, idleFirst bool, conns, size int) []*Conn {
	if g.noneAt == now {
		return nil
	}
	quiet := int64(quietTicks)
	if g.set.Brief {
		quiet = 0
	}
	idle, unfinished := classSecond, classFirst
	if idleFirst && !g.set.Brief {
		// At a listener for brief requests, one that has just been accepted is between
		// requests, and so is a daemon between two calls.
		idle, unfinished = classFirst, classSecond
	}
	var found []candidate
	for _, c := range g.conns {
		if c == self || source != "" && c.source != source {
			continue
		}
		heard := c.heard.Load()
		switch phase := c.phase.Load(); {
		case phase == waiting && now-heard >= quiet:
			found = append(found, candidate{c, idle, heard})
		case phase == waiting || phase == taken:
		case c.unfinished() && now-heard >= quiet:
			found = append(found, candidate{c, unfinished, heard})
		case c.unfinished() && now-c.began.Load() >= tardyTicks:
			found = append(found, candidate{c, classTardy, c.began.Load()})
		case c.unread(now) >= unreadTicks:
			found = append(found, candidate{c, classUnread, heard})
		}
	}
	if found == nil {
		if self == nil && source == "" && !g.set.Brief {
			g.noneAt = now
		}
		return nil
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if a.class != b.class {
			return a.class - b.class
		}
		if a.since != b.since {
			return int(a.since - b.since)
		}
		return int(a.conn.number - b.conn.number)
	})
	batch := conns
	if !g.set.Brief {
		batch = max(conns, int(batchShare*float64(len(g.conns))))
	}
	var victims []*Conn
	freed, at := 0, time.Now()
	for _, f := range found {
		if f.class != classUnread && g.spares(now, at, f.conn) {
			continue
		}
		if len(victims) >= batch && freed >= size || f.class >= classUnread && len(victims) >= conns && freed >= size {
			break
		}
		freed += connBytes + f.conn.bytes
		g.count(reasonOf(f), f.conn.RemoteAddr())
		g.forget(f.conn)
		victims = append(victims, f.conn)
	}
	return victims
}

// spares reports whether a connection may have sent something that this process hasn't read
// yet, or was accepted just now. g.mu must be held.
func (g *Guard) spares(now int64, at time.Time, c *Conn) bool {
	if !g.set.Brief {
		return c.pending()
	}
	phase := c.phase.Load()
	if (phase == waiting || phase == inHead) && at.Sub(c.accepted) < briefGrace {
		return true
	}
	return now-c.acceptedIn < quietTicks && (!c.started.Load() || c.pending())
}

// reasonOf returns why a connection gives way.
func reasonOf(f candidate) reason {
	switch {
	case f.class == classUnread:
		return unreadAnswer
	case f.conn.phase.Load() == waiting:
		return idleConn
	}
	return unfinishedRequest
}

// release gives back what the connection has taken for its request.
func (c *Conn) release() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.index >= 0 {
		g.giveBack(c)
	}
	c.whole = false
}

// finish records that the request has been read completely.
func (c *Conn) finish() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.index >= 0 && !c.whole {
		g.unfinished -= c.bytes
		c.whole = true
	}
}

// giveBack gives back what a connection has taken for its request. g.mu must be held.
func (g *Guard) giveBack(c *Conn) {
	if c.bytes == 0 {
		return
	}
	g.set.Memory.Return(c.source, c.bytes)
	if !c.whole {
		g.unfinished -= c.bytes
	}
	c.bytes = 0
}

// forget removes a connection, which no longer counts. g.mu must be held.
func (g *Guard) forget(c *Conn) {
	if c.index < 0 {
		return
	}
	g.giveBack(c)
	g.set.Memory.Return(c.source, connBytes)
	last := g.conns[len(g.conns)-1]
	g.conns[c.index], last.index = last, c.index
	g.conns[len(g.conns)-1] = nil
	g.conns = g.conns[:len(g.conns)-1]
	c.index = -1
	if g.bySource[c.source]--; g.bySource[c.source] <= 0 {
		delete(g.bySource, c.source)
	}
}
