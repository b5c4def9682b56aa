package guard

// Receive records that a message of which size bytes are kept is being received, and reports
// whether there is memory for it.
func (c *Conn) Receive(size int) bool {
	if c.phase.Load() == waiting {
		c.began.Store(c.guard.tick.Load())
		c.phase.Store(inBody)
	}
	return c.grow(copies * size)
}

// Serve records that a message has been received completely and is being answered.
func (c *Conn) Serve() { c.phase.Store(served) }

// Done records that all messages have been answered.
func (c *Conn) Done() {
	c.release()
	c.heard.Store(c.guard.tick.Load())
	c.phase.Store(waiting)
}

// TooLarge counts a client that is turned away because its message is larger than any that
// this listener takes.
func (c *Conn) TooLarge() { c.guard.countNow(tooLarge, c.RemoteAddr()) }
