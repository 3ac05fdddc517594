package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// replacement removes a daemon for good, with SIGTERM or without, and adds one with another name and address.
var replacement = fault{"replace a daemon", time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
	n := rng.IntN(s.Daemons)
	old, sig := s.daemon(n), syscall.SIGTERM
	if rng.IntN(2) == 0 {
		sig = syscall.SIGKILL
	}
	if n == s.holderIndex() {
		s.recordLoss("replaced", n)
	}
	if err := s.addDaemon(n); err != nil {
		return "", nil, err
	}
	s.removed = append(s.removed, old)
	err := old.remove(sig)
	return fmt.Sprintf("%s is replaced by %s (%v)", old.name, s.daemon(n).name, sig), nil, err
}}

// remove ends the process for good.
func (d *daemon) remove(sig syscall.Signal) error {
	d.mu.Lock()
	d.removed = true
	d.mu.Unlock()
	if _, err := d.signal(syscall.SIGCONT); err != nil {
		return err
	}
	_, err := d.signal(sig)
	return err
}

// daemon returns the daemon in a place, which may be replaced at any time.
func (s *soak) daemon(n int) *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[n]
}

// randomFront returns the address for callers of a random daemon.
func (s *soak) randomFront(rng *rand.Rand) string {
	return s.daemon(rng.IntN(s.Daemons)).front
}
