// Package serve runs go-zero routes on a listener with a graceful stop.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest"
)

// Server is an HTTP server on one listener.
type Server struct {
	http         *http.Server
	drainHandler *DrainHandler
	ended        <-chan error
}

// DisableFrameworkLogs disables go-zero's own log lines; only the numbered events are logged. A program calls it first,
// since go-zero starts to log machine statistics as soon as it is loaded.
func DisableFrameworkLogs() {
	logx.Disable()
	stat.DisableLog()
}

// Start starts a server for routes on a listener, for clients that are trusted.
func Start(listener net.Listener, routes []rest.Route) (s *Server, err error) {
	defer func() { err = eris.Wrap(err, "start HTTP server") }()
	if s, err = newServer(routes); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s.drainHandler, ReadHeaderTimeout: headerTimeout}
	s.ended = Run(s.http, listener)
	return s, nil
}

// Start starts a server for routes on a listener.
func (g *Guard) Start(listener net.Listener, routes []rest.Route) (s *Server, err error) {
	defer func() { err = eris.Wrap(err, "start guarded HTTP server") }()
	if s, err = newServer(routes); err != nil {
		return nil, err
	}
	s.http, s.ended = g.Run(listener, s.drainHandler)
	return s, nil
}

// newServer returns a server with the handler of the routes.
func newServer(routes []rest.Route) (*Server, error) {
	DisableFrameworkLogs()
	engine, err := rest.NewServer(rest.RestConf{}, rest.WithNotFoundHandler(http.NotFoundHandler()))
	if err != nil {
		return nil, err
	}
	engine.AddRoutes(routes)
	handler, err := rest.NewServerless(engine)
	if err != nil {
		return nil, err
	}
	return &Server{drainHandler: &DrainHandler{Handler: http.HandlerFunc(handler.Serve)}}, nil
}

// Run serves on a listener and reports its end on the returned channel; nil if the server was closed or shut down.
func Run(server *http.Server, listener net.Listener) <-chan error {
	ended := make(chan error, 1)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		ended <- err
	}()
	return ended
}

// Ended receives the error, or nil, with which the server ended.
func (s *Server) Ended() <-chan error {
	return s.ended
}

// Drain makes every answer from now on ask the client to close its connection.
func (s *Server) Drain() {
	s.drainHandler.Drain()
}

// Stop accepts no new requests and waits for those in flight.
func (s *Server) Stop(ctx context.Context) error {
	return eris.Wrap(s.http.Shutdown(ctx), "stop HTTP server")
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
}
