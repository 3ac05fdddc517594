package serve

import (
	"net/http"
	"sync/atomic"
)

// DrainHandler passes requests on. Once it drains, each answer asks its client to close the connection. Connections without
// a request stay open, as a request may be on its way on any of them.
type DrainHandler struct {
	Handler http.Handler

	draining atomic.Bool
}

// Drain begins to send clients elsewhere.
func (d *DrainHandler) Drain() {
	d.draining.Store(true)
}

// ServeHTTP answers one request.
func (d *DrainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d.Handler.ServeHTTP(w, r)
}
