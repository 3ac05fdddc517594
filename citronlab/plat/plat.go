// Package plat is a stand-in for the platform: its log service and its list of VMs.
package plat

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
)

// maxAppendBytes is the maximum size of an append request.
const maxAppendBytes = 64 << 20

// Options configures the platform.
type Options struct {
	// Retain is the number of records that each stream keeps; 0 keeps all.
	Retain int
	// ListLag is the delay after which a change of a VM appears in the list.
	ListLag time.Duration
	// WakeTime is how long a worker VM takes to start after power-on.
	WakeTime time.Duration
}

// stream is a stream of the log.
type stream struct {
	// first is the offset of records[0].
	first   int64
	records [][]byte
	// changed is closed and replaced when records are appended or an outage begins or ends.
	changed chan struct{}
}

// Platform keeps streams and VMs in memory.
type Platform struct {
	Options Options
	Timer   citron.Timer

	mu            sync.Mutex
	logDown       bool
	answersToLose int
	streams       map[string]*stream
	vms           map[string]*lab.VM
	sequence      int64
	// published is the list as callers see it.
	published *lab.VMList
	appends   int64
}

// Routes returns the routes of the platform.
func (p *Platform) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/streams/:stream/records", Handler: p.append},
		{Method: http.MethodGet, Path: "/v1/streams/:stream/records", Handler: p.read},
		{Method: http.MethodGet, Path: "/v1/vms", Handler: p.list},
		{Method: http.MethodPost, Path: "/v1/vms/:name/power", Handler: p.power},
		{Method: http.MethodPost, Path: "/v1/vms/:name/leaving", Handler: p.leaving},
		{Method: http.MethodPost, Path: "/v1/vms", Handler: p.register},
		{Method: http.MethodDelete, Path: "/v1/vms/:name", Handler: p.remove},
		{Method: http.MethodPost, Path: "/v1/faults/log", Handler: p.fault},
	}
}

// Add adds a VM to the list or replaces it.
func (p *Platform) Add(vm *lab.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == nil {
		p.vms = map[string]*lab.VM{}
	}
	p.vms[vm.GetName()] = vm
	p.sequence++
}

// Remove removes a VM from the list.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.sequence++
}

// SetLogDown starts or ends an outage of the log. The list of VMs stays available.
func (p *Platform) SetLogDown(logDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDown = logDown
	for _, s := range p.streams {
		s.notify()
	}
}

// LoseAnswers makes the next n appends take effect but fail to the caller.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// Appends returns the number of appends so far.
func (p *Platform) Appends() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	var request lab.AppendRequest
	if err := wire.Read(r, maxAppendBytes, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, ok := p.add(pathvar.Vars(r)["stream"], request.GetRecords())
	if !ok {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	wire.Write(w, &lab.AppendReply{Offset: offset})
}

// add appends records to a stream; ok is false if the caller gets no offset, because of an outage or a lost answer.
func (p *Platform) add(name string, records [][]byte) (offset int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.logDown {
		return 0, false
	}
	s := p.stream(name)
	offset = s.first + int64(len(s.records))
	s.records = append(s.records, records...)
	if retain := p.Options.Retain; retain > 0 && len(s.records) > retain {
		drop := len(s.records) - retain
		s.first += int64(drop)
		s.records = append([][]byte(nil), s.records[drop:]...)
	}
	s.notify()
	p.appends++
	if p.answersToLose > 0 {
		p.answersToLose--
		return 0, false
	}
	return offset, true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	name := pathvar.Vars(r)["stream"]
	from := queryInt(r, "From")
	limit := queryInt(r, "Max")
	reply, changed, up := p.readRecords(name, from, limit)
	if up && len(reply.GetRecords()) == 0 && queryInt(r, "WaitMs") > 0 {
		p.await(r.Context(), changed, time.Duration(queryInt(r, "WaitMs"))*time.Millisecond)
		reply, _, up = p.readRecords(name, from, limit)
	}
	if !up {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	wire.Write(w, reply)
}

// readRecords returns up to limit records starting at from, and a channel that is closed when the stream changes. Up is
// false during an outage.
func (p *Platform) readRecords(name string, from, limit int64) (reply *lab.ReadReply, changed <-chan struct{}, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.logDown {
		return nil, nil, false
	}
	s := p.stream(name)
	end := s.first + int64(len(s.records))
	from = min(max(from, s.first), end)
	last := min(from+limit, end)
	return &lab.ReadReply{First: s.first, Offset: from, Records: s.records[from-s.first : last-s.first], End: end}, s.changed, true
}

func (p *Platform) await(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	due, stop := p.Timer.After(wait)
	defer stop()
	select {
	case <-changed:
	case <-due:
	case <-ctx.Done():
	}
}

// fault sets the faults that are named in the query: Down and LoseAnswers.
func (p *Platform) fault(w http.ResponseWriter, r *http.Request) {
	if text := r.URL.Query().Get("Down"); text != "" {
		p.SetLogDown(text == "true")
	}
	if n := queryInt(r, "LoseAnswers"); n > 0 {
		p.LoseAnswers(int(n))
	}
	w.WriteHeader(http.StatusOK)
}

// stream returns a stream, creating it if necessary. The lock is held.
func (p *Platform) stream(name string) *stream {
	if p.streams == nil {
		p.streams = map[string]*stream{}
	}
	s, ok := p.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// notify wakes all readers that wait for a change.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// queryInt returns an integer of the query, or 0 if it is missing or malformed.
func queryInt(r *http.Request, key string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	return n
}
