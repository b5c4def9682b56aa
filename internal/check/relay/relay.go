package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

type (
	// Net is a set of relays with the rules for the traffic between nodes. It
	// is safe for concurrent use.
	Net struct {
		mu      sync.Mutex
		pids    map[string]int
		rules   map[link]rule
		changed chan struct{}
		relays  []*Relay
		// held counts the reads whose delivery was held up by a cut.
		held int
	}

	// Relay accepts connections for one target.
	Relay struct {
		net  *Net
		name string
		// from is the only node that uses the relay, empty if many do.
		from string
		mu   sync.Mutex
		// l is nil while the relay is down.
		l       net.Listener
		address string
		target  string
		closed  bool
		conns   map[net.Conn]struct{}
	}

	// link is a direction of traffic.
	link struct{ from, to string }

	rule struct {
		cut   bool
		delay time.Duration
	}
)

// chunk is the number of bytes that are forwarded at once.
const chunk = 32 << 10

// New returns a Net without nodes.
func New() *Net {
	return &Net{pids: map[string]int{}, rules: map[link]rule{}, changed: make(chan struct{})}
}

// Node names the process that has the given identifier.
func (n *Net) Node(name string, pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[name] = pid
}

// Listen starts a relay for the node name on a free loopback port. Connections
// are forwarded to the address that Target sets. If only one node uses the
// relay, from names it; else from is empty.
func (n *Net) Listen(name, from string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{net: n, name: name, from: from, l: l, address: l.Addr().String(), conns: map[net.Conn]struct{}{}}
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.mu.Unlock()
	go r.accept(l)
	return r, nil
}

// Close stops all relays and drops their connections.
func (n *Net) Close() {
	n.mu.Lock()
	relays := n.relays
	n.mu.Unlock()
	for _, r := range relays {
		r.close()
	}
	n.Heal()
}

// Cut holds all bytes from one node to another.
func (n *Net) Cut(from, to string) {
	n.set(func() { n.rules[link{from, to}] = rule{cut: true} })
}

// Delay holds each part of the traffic from one node to another for d.
func (n *Net) Delay(from, to string, d time.Duration) {
	n.set(func() { n.rules[link{from, to}] = rule{delay: d} })
}

// Heal removes all rules.
func (n *Net) Heal() { n.set(func() { clear(n.rules) }) }

// Held returns how often bytes were held up by a cut.
func (n *Net) Held() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

func (n *Net) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// pass waits until bytes may go from one node to another. It returns false
// when stop is closed first.
func (n *Net) pass(from, to func() string, stop <-chan struct{}) bool {
	counted := false
	for {
		from, to := from(), to()
		n.mu.Lock()
		r, changed := n.rules[link{from, to}], n.changed
		if r.cut && !counted {
			n.held++
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

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.address }

// Down refuses connections, as a host does on which the target's process has
// ended.
func (r *Relay) Down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.l != nil {
		_ = r.l.Close()
		r.l = nil
	}
}

// Up listens again after Down. It fails while another process has the port.
func (r *Relay) Up() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.l != nil || r.closed {
		return nil
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.l = l
	go r.accept(l)
	return nil
}

// Target sets the address that new connections are forwarded to.
func (r *Relay) Target(address string) {
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

// keep registers a connection so that close ends it; false means too late.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
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

// serve forwards one connection. A target that can't be reached resets it, so
// that the node sees a refused connection at its first read.
func (r *Relay) serve(in net.Conn) {
	if !r.keep(in) {
		return
	}
	defer r.drop(in)
	source := &origin{net: r.net, conn: in, name: r.from}
	stop := make(chan struct{})
	target := func() string { return r.name }
	if !r.net.pass(source.find, target, stop) {
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
	if !r.keep(out) {
		return
	}
	defer r.drop(out)
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
		r.net.forward(out, in, target, source.find, stop)
	}()
	r.net.forward(in, out, source.find, target, stop)
	end()
	<-done
}

// forward copies from one connection to the other until either ends. The end
// of the source is held up by a cut as its bytes are.
func (n *Net) forward(from, to net.Conn, source, target func() string, stop <-chan struct{}) {
	b := make([]byte, chunk)
	for {
		k, err := from.Read(b)
		if !n.pass(source, target, stop) {
			return
		}
		if k > 0 {
			if _, werr := to.Write(b[:k]); werr != nil {
				return
			}
		}
		if err != nil {
			// A plain close delivers what was written before it.
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// reset closes c so that the other side sees that its peer is gone.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
