package serve

import (
	"context"
	"net"
	"syscall"
)

// Listen listens on a TCP address. Connections get a receive buffer of about receiveBytes, which bounds what a client can
// send before the process reads it.
func Listen(address string, receiveBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// A system that does not let the size be set has its own bound.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
