package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

type (
	// Network is a set of relays with rules for the traffic between nodes. It is
	// safe for concurrent use.
	Network struct {
		mu sync.Mutex
		// pids holds the process identifier of each node that is a process.
		pids  map[string]int
		rules map[link]rule
		// rulesChanged is closed and replaced when the rules change.
		rulesChanged chan struct{}
		relays       []*Relay
		// holdCount counts the reads and new connections that a cut held back.
		holdCount int
	}

	// Relay accepts connections for one target.
	Relay struct {
		net  *Network
		name string
		// from is the only node that uses the relay, empty if several do.
		from string
		mu   sync.Mutex
		// listener is nil while the relay is down.
		listener net.Listener
		address  string
		target   string
		closed   bool
		conns    map[net.Conn]struct{}
	}

	// link is a direction of traffic.
	link struct{ from, to string }

	// rule is the treatment of the traffic of a link.
	rule struct {
		cut   bool
		delay time.Duration
	}
)

// bufferBytes is the maximum number of bytes that are forwarded at a time.
const bufferBytes = 32 << 10

// New returns a Network without nodes and rules.
func New() *Network {
	return &Network{pids: map[string]int{}, rules: map[link]rule{}, rulesChanged: make(chan struct{})}
}

// RegisterProcess registers a process as a node.
func (n *Network) RegisterProcess(name string, pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[name] = pid
}

// Listen starts a relay for the node name on a free loopback port. Connections
// are forwarded to the address set by SetTarget. If only one node uses the relay,
// from is its name; otherwise from is empty.
func (n *Network) Listen(name, from string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{net: n, name: name, from: from, listener: l, address: l.Addr().String(), conns: map[net.Conn]struct{}{}}
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.mu.Unlock()
	go r.accept(l)
	return r, nil
}

// Close stops all relays and closes their connections.
func (n *Network) Close() {
	n.mu.Lock()
	relays := n.relays
	n.mu.Unlock()
	for _, r := range relays {
		r.close()
	}
	n.Heal()
}

// Cut holds back all bytes from one node to another until Heal.
func (n *Network) Cut(from, to string) {
	n.updateRules(func() { n.rules[link{from, to}] = rule{cut: true} })
}

// Delay delays each read of the traffic from one node to another by d.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.updateRules(func() { n.rules[link{from, to}] = rule{delay: d} })
}

// HealLink removes the rule for the traffic from one node to another.
func (n *Network) HealLink(from, to string) {
	n.updateRules(func() { delete(n.rules, link{from, to}) })
}

// Heal removes all rules.
func (n *Network) Heal() { n.updateRules(func() { clear(n.rules) }) }

// HoldCount returns how many reads and new connections a cut held back.
func (n *Network) HoldCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holdCount
}

func (n *Network) updateRules(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.rulesChanged)
	n.rulesChanged = make(chan struct{})
}

// awaitDelivery waits until the rules allow bytes from one node to another to be
// delivered. It returns false if stop is closed first.
func (n *Network) awaitDelivery(from, to func() string, stop <-chan struct{}) bool {
	counted := false
	for {
		from, to := from(), to()
		n.mu.Lock()
		r, changed := n.rules[link{from, to}], n.rulesChanged
		if r.cut && !counted {
			n.holdCount++
			counted = true
		}
		n.mu.Unlock()
		if !r.cut {
			if r.delay == 0 {
				return true
			}
			select {
			case <-time.After(r.delay):
				return true
			case <-stop:
				return false
			}
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.address }

// Down makes the relay refuse new connections, as the target's host does after
// the process has ended.
func (r *Relay) Down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
}

// Up makes the relay accept connections again after Down. It fails while another
// process uses the port.
func (r *Relay) Up() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.closed {
		return nil
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = l
	go r.accept(l)
	return nil
}

// Reset resets all connections, as the target's host does when the process ends.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// SetTarget sets the address to which new connections are forwarded.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

func (r *Relay) close() {
	r.Down()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
}

// track registers a connection so that close closes it. It returns false if the
// relay is already closed.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

// untrack closes and unregisters a connection.
func (r *Relay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *Relay) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve forwards one connection. It resets the connection if the target can't be
// reached, so that the first read of the node fails.
func (r *Relay) serve(in net.Conn) {
	if !r.track(in) {
		return
	}
	defer r.untrack(in)
	source := &opener{net: r.net, conn: in, name: r.from}
	stop := make(chan struct{})
	target := func() string { return r.name }
	if !r.net.awaitDelivery(source.node, target, stop) {
		return
	}
	r.mu.Lock()
	address := r.target
	r.mu.Unlock()
	out, err := net.Dial("tcp", address)
	if err != nil {
		reset(in)
		return
	}
	if !r.track(out) {
		return
	}
	defer r.untrack(out)
	var once sync.Once
	end := func() {
		once.Do(func() {
			close(stop)
			_ = in.Close()
			_ = out.Close()
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer end()
		r.net.forward(out, in, target, source.node, stop)
	}()
	r.net.forward(in, out, source.node, target, stop)
	end()
	<-done
}

// forward copies from one connection to the other until either ends. A cut holds
// back the end of the source like its bytes.
func (n *Network) forward(from, to net.Conn, source, target func() string, stop <-chan struct{}) {
	b := make([]byte, bufferBytes)
	for {
		k, err := from.Read(b)
		if !n.awaitDelivery(source, target, stop) {
			return
		}
		if k > 0 {
			if _, werr := to.Write(b[:k]); werr != nil {
				return
			}
		}
		if err != nil {
			// A close without a reset delivers what was written before it.
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// reset closes c with a TCP reset, which the other side reads as an error rather
// than as the end of the stream.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
