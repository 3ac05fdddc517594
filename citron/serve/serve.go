// Package serve runs go-zero routes on a listener with a graceful stop.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest"
)

// headerTimeout bounds the reading of one request's headers.
const headerTimeout = 5 * time.Second

// Server answers HTTP on one listener.
type Server struct {
	http    *http.Server
	drained *DrainHandler
	ended   <-chan error
}

// DisableFrameworkLogs keeps go-zero from writing lines of its own beside the numbered events. A program calls it first: go-zero looks at
// the machine as soon as it is loaded.
func DisableFrameworkLogs() {
	logx.Disable()
	stat.DisableLog()
}

// Start serves routes on a listener. Its end is reported on Ended.
func Start(listener net.Listener, routes []rest.Route) (s *Server, err error) {
	defer func() { err = eris.Wrap(err, "start HTTP server") }()
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
	s = &Server{drained: &DrainHandler{Handler: http.HandlerFunc(handler.Serve)}}
	s.http = &http.Server{Handler: s.drained, ReadHeaderTimeout: headerTimeout}
	s.ended = Run(s.http, listener)
	return s, nil
}

// Run serves on a listener and reports the end; a server that was closed ended without an error.
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

// Ended reports the end of the server.
func (s *Server) Ended() <-chan error {
	return s.ended
}

// Drain asks every client to close its connection after its next answer.
func (s *Server) Drain() {
	s.drained.Drain()
}

// Stop takes no new request and waits for those under way.
func (s *Server) Stop(ctx context.Context) error {
	return eris.Wrap(s.http.Shutdown(ctx), "stop HTTP server")
}

// Close ends the server at once.
func (s *Server) Close() {
	_ = s.http.Close()
}
