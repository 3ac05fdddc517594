package serve

import (
	"net"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/stats"
)

// shedEventInterval is the least time between two log lines about what was shed at a port for the same reason.
const shedEventInterval = time.Second

// Recorder is an Observer that counts and logs.
type Recorder struct {
	Timer citron.Timer
	Log   *event.Logger
	Stats *stats.Set

	mu   sync.Mutex
	shed map[shedKind]*shedCount
}

// shedKind is what the log lines about shed requests distinguish.
type shedKind struct {
	port   string
	reason budget.ShedReason
}

// shedCount counts what was shed since the last log line.
type shedCount struct {
	lastLine time.Duration
	number   int
}

// Shed counts a connection or request, and logs the number of them once in shedEventInterval.
func (r *Recorder) Shed(port string, reason budget.ShedReason) {
	r.Stats.CountShedRequest(port, string(reason))
	now := r.Timer.Now().Boot
	r.mu.Lock()
	if r.shed == nil {
		r.shed = map[shedKind]*shedCount{}
	}
	kind := shedKind{port, reason}
	c := r.shed[kind]
	if c == nil {
		c = &shedCount{lastLine: now - shedEventInterval}
		r.shed[kind] = c
	}
	c.number++
	number, due := c.number, now-c.lastLine >= shedEventInterval
	if due {
		c.lastLine, c.number = now, 0
	}
	r.mu.Unlock()
	if due {
		r.Log.Emit(event.RequestsShed, event.Fields{"Port": port, "Reason": reason, "Number": number})
	}
}

// Incomplete counts and logs a connection that closed without a request.
func (r *Recorder) Incomplete(port string, remote net.Addr) {
	r.Stats.CountIncompleteRequest(port)
	r.Log.Emit(event.RequestIncomplete, event.Fields{"Port": port, "Remote": remote.String()})
}

// Failed logs an error of the HTTP server.
func (r *Recorder) Failed(line string) {
	r.Log.Emit(event.ServerError, event.Fields{"Error": line})
}
