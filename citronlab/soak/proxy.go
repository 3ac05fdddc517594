package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode says what a proxy does with its connections.
type Mode int

// Modes of a proxy.
const (
	Pass Mode = iota
	// Delay holds each part back for a time.
	Delay
	// Reset breaks the open connections and every new one.
	Reset
	// Blackhole takes bytes in both directions and passes none on.
	Blackhole
	// DropAnswers passes requests on and drops the answers.
	DropAnswers
	modes
)

var modeNames = [...]string{"pass", "delay", "reset", "silent", "answers lost"}

// String names the mode.
func (m Mode) String() string { return modeNames[m] }

// Proxy passes connections on to one address and disturbs them.
type Proxy struct {
	target   string
	listener net.Listener
	ended    chan error

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	pairs map[*pair]bool
}

// pair is a connection with its continuation. Bytes that were dropped leave it unusable, so it is broken when the
// fault ends.
type pair struct {
	near, far net.Conn
	dropped   bool
}

// NewProxy listens on a loopback address.
func NewProxy(ip, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, ended: make(chan error, 1), pairs: map[*pair]bool{}}
	go func() { p.ended <- p.accept() }()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what happens from now on. Delay is how long each part is held back in the mode of that name.
func (p *Proxy) SetMode(m Mode, delay time.Duration) {
	p.mu.Lock()
	p.mode, p.delay = m, delay
	var broken []*pair
	for one := range p.pairs {
		if m == Reset || one.dropped {
			broken = append(broken, one)
		}
	}
	p.mu.Unlock()
	for _, one := range broken {
		one.reset()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	<-p.ended
	p.SetMode(Reset, 0)
}

func (p *Proxy) accept() error {
	for {
		near, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.join(&pair{near: near, far: far})
	}
}

func (p *Proxy) join(one *pair) {
	p.mu.Lock()
	p.pairs[one] = true
	reset := p.mode == Reset
	p.mu.Unlock()
	if reset {
		one.reset()
	}
	go p.pass(one, one.near, one.far, false)
	go p.pass(one, one.far, one.near, true)
}

// pass copies one direction until either end is closed.
func (p *Proxy) pass(one *pair, from, to net.Conn, back bool) {
	defer func() {
		_, _ = from.Close(), to.Close()
		p.mu.Lock()
		delete(p.pairs, one)
		p.mu.Unlock()
	}()
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		if n > 0 && p.let(one, back) {
			if _, err := to.Write(part[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				one.reset()
			}
			return
		}
	}
}

// let waits as long as the mode says and reports whether a part may pass.
func (p *Proxy) let(one *pair, back bool) bool {
	p.mu.Lock()
	mode, delay := p.mode, p.delay
	if mode == Blackhole || mode == DropAnswers && back || one.dropped {
		one.dropped = true
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

// reset breaks both connections without the usual end.
func (one *pair) reset() {
	for _, c := range []net.Conn{one.near, one.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
