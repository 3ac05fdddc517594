package serve

import (
	"net/http"
	"sync/atomic"
)

// DrainHandler passes requests to Handler. While draining, each answer asks the client to close the connection. Idle
// connections stay open, since a request may already be on its way on any of them.
type DrainHandler struct {
	Handler http.Handler

	draining atomic.Bool
}

// Drain starts draining.
func (d *DrainHandler) Drain() {
	d.draining.Store(true)
}

// ServeHTTP serves one request.
func (d *DrainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d.Handler.ServeHTTP(w, r)
}
