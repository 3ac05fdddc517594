package budget

import (
	"container/list"
	"sync"
)

// Connections decides which connections of a port stay open. It answers clients that open connections and do not use
// them: a new connection gets the place of the one that has been silent for the longest time.
type Connections struct {
	// Max is the number of open connections.
	Max int

	mu sync.Mutex
	// open is the number of open connections, silent lists those that are not serving, the last used one last.
	open   int
	silent list.List
}

// Connection is an open connection.
type Connection struct {
	// Close closes the connection. It must not block and must lead to Connections.Remove.
	Close func()

	// The lock of Connections guards the fields below. Place is nil while a request is served; the connection is not closed
	// for others then.
	place *list.Element
	state connectionState
}

type connectionState int

const (
	stateNew connectionState = iota
	stateOpen
	// stateClosed is also the state of a connection that is being closed for another one.
	stateClosed
)

// Admit adds a new connection and closes another one if there are too many. It reports false, and adds nothing, if all
// others are serving requests.
func (s *Connections) Admit(c *Connection) bool {
	s.mu.Lock()
	var longest *Connection
	if s.open >= s.Max {
		first := s.silent.Front()
		if first == nil {
			s.mu.Unlock()
			return false
		}
		longest = first.Value.(*Connection)
		s.remove(longest)
	}
	s.open++
	c.state, c.place = stateOpen, s.silent.PushBack(c)
	s.mu.Unlock()
	if longest != nil {
		longest.Close()
	}
	return true
}

// remove requires s.mu.
func (s *Connections) remove(c *Connection) {
	if c.state == stateOpen {
		s.open--
	}
	c.state = stateClosed
	if c.place != nil {
		s.silent.Remove(c.place)
		c.place = nil
	}
}

// Touch records that something has arrived on a connection.
func (s *Connections) Touch(c *Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.place != nil {
		s.silent.MoveToBack(c.place)
	}
}

// SetServing records whether a connection serves a request. It reports false if the connection is closed or is being closed
// for another one.
func (s *Connections) SetServing(c *Connection, serving bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.state != stateOpen:
		return false
	case serving && c.place != nil:
		s.silent.Remove(c.place)
		c.place = nil
	case !serving && c.place == nil:
		c.place = s.silent.PushBack(c)
	}
	return true
}

// Remove removes a closed connection.
func (s *Connections) Remove(c *Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

// Len returns the number of open connections.
func (s *Connections) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}
