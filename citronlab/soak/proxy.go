package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats its connections.
type Mode int

// Modes of a proxy.
const (
	Pass Mode = iota
	// Delay forwards each chunk after a delay.
	Delay
	// Reset resets the open connections and every new one.
	Reset
	// Blackhole accepts bytes in both directions and forwards none.
	Blackhole
	// DropAnswers forwards requests and drops the answers.
	DropAnswers
	numModes
)

// modeNames are printed in the list of faults.
var modeNames = [...]string{"pass", "delay", "reset", "silent", "answers lost"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// Proxy forwards TCP connections to one address and injects network faults into them.
type Proxy struct {
	target   string
	listener net.Listener
	// ended receives the result of the accept loop.
	ended chan error

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	pairs map[*pair]bool
}

// pair is a client's connection and the connection to the target that it is forwarded to.
type pair struct {
	client, server net.Conn
	// dropped is set once bytes were dropped. The byte stream is incomplete from then on, so the pair forwards nothing
	// more and is reset at the next change of mode.
	dropped bool
}

// NewProxy starts a proxy to target that listens on a free port of ip.
func NewProxy(ip, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, ended: make(chan error, 1), pairs: map[*pair]bool{}}
	go func() { p.ended <- p.accept() }()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode, also for open connections. The delay of each chunk is used in mode Delay only.
func (p *Proxy) SetMode(m Mode, delay time.Duration) {
	p.mu.Lock()
	p.mode, p.delay = m, delay
	var broken []*pair
	for c := range p.pairs {
		if m == Reset || c.dropped {
			broken = append(broken, c)
		}
	}
	p.mu.Unlock()
	for _, c := range broken {
		c.reset()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	<-p.ended
	p.SetMode(Reset, 0)
}

// accept forwards new connections until the listener is closed.
func (p *Proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.relay(&pair{client: client, server: server})
	}
}

// relay copies both directions of a pair until either connection is closed.
func (p *Proxy) relay(c *pair) {
	p.mu.Lock()
	p.pairs[c] = true
	reset := p.mode == Reset
	p.mu.Unlock()
	if reset {
		c.reset()
	}
	go p.copyOneWay(c, c.client, c.server, false)
	go p.copyOneWay(c, c.server, c.client, true)
}

// copyOneWay copies one direction of a pair until either connection is closed, and closes both.
func (p *Proxy) copyOneWay(c *pair, from, to net.Conn, isAnswer bool) {
	defer func() {
		_, _ = from.Close(), to.Close()
		p.mu.Lock()
		delete(p.pairs, c)
		p.mu.Unlock()
	}()
	chunk := make([]byte, 32<<10)
	for {
		n, err := from.Read(chunk)
		if n > 0 && p.applyMode(c, isAnswer) {
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				c.reset()
			}
			return
		}
	}
}

// applyMode delays or drops a chunk as the mode requires and reports whether to forward it.
func (p *Proxy) applyMode(c *pair, isAnswer bool) bool {
	p.mu.Lock()
	mode, delay := p.mode, p.delay
	if mode == Blackhole || mode == DropAnswers && isAnswer || c.dropped {
		c.dropped = true
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	if mode == Delay {
		due, stop := clock.After(delay)
		defer stop()
		<-due
	}
	return true
}

// reset closes both connections with a TCP reset.
func (c *pair) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
