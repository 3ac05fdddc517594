package serve

import (
	"net"

	"github.com/citroncross/citroncross/citron/budget"
)

// LimitConnections returns a listener whose number of connections is limited: a new connection gets the place of the one that
// has been silent for the longest time. Shed is called when a connection is closed for that.
func LimitConnections(listener net.Listener, connections *budget.Connections, shed func()) net.Listener {
	return &limitedListener{listener, connections, shed}
}

type limitedListener struct {
	net.Listener
	connections *budget.Connections
	shed        func()
}

// Accept returns the next admitted connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConnection{Conn: accepted, connections: l.connections}
		c.slot.Close = func() {
			l.shed()
			_ = accepted.Close()
		}
		if l.connections.Admit(&c.slot) {
			return c, nil
		}
		c.slot.Close()
	}
}

type limitedConnection struct {
	net.Conn
	connections *budget.Connections
	slot        budget.Connection
}

// Read reads and records that the connection is in use.
func (c *limitedConnection) Read(p []byte) (n int, err error) {
	if n, err = c.Conn.Read(p); n > 0 {
		c.connections.Touch(&c.slot)
	}
	return n, err
}

// Close closes the connection.
func (c *limitedConnection) Close() error {
	c.connections.Remove(&c.slot)
	return c.Conn.Close()
}
