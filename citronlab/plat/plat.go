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

// maxAppend bounds one append in bytes.
const maxAppend = 64 << 20

// Options set the stand-in.
type Options struct {
	// Retain is the number of records that each stream keeps; 0 keeps all.
	Retain int
	// ListLag is how long a change of a VM takes to show in the list.
	ListLag time.Duration
	// WakeTime is how long a worker takes to start after its power was switched on.
	WakeTime time.Duration
}

// stream is one stream of the log.
type stream struct {
	first   int64
	records [][]byte
	changed chan struct{}
}

// Platform holds streams and VMs in memory.
type Platform struct {
	Options Options
	Timer   citron.Timer

	mu       sync.Mutex
	down     bool
	loseAck  int
	streams  map[string]*stream
	vms      map[string]*lab.VM
	sequence int64
	// shown is the list as callers see it.
	shown   *lab.VMList
	appends int64
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

// Add lists a VM.
func (p *Platform) Add(vm *lab.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == nil {
		p.vms = map[string]*lab.VM{}
	}
	p.vms[vm.GetName()] = vm
	p.sequence++
}

// Remove takes a VM off the list.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.sequence++
}

// SetLogDown switches the log's outage on or off. The list of VMs keeps answering.
func (p *Platform) SetLogDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	for _, s := range p.streams {
		s.notify()
	}
}

// LoseAnswers makes the next n appends land without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAck = n
}

// Appends returns the number of appends so far.
func (p *Platform) Appends() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	var request lab.AppendRequest
	if err := wire.Read(r, maxAppend, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, answer := p.add(pathvar.Vars(r)["stream"], request.GetRecords())
	if !answer {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	wire.Write(w, &lab.AppendReply{Offset: offset})
}

func (p *Platform) add(name string, records [][]byte) (offset int64, answer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return 0, false
	}
	s := p.stream(name)
	offset = s.first + int64(len(s.records))
	s.records = append(s.records, records...)
	if keep := p.Options.Retain; keep > 0 && len(s.records) > keep {
		drop := len(s.records) - keep
		s.first += int64(drop)
		s.records = append([][]byte(nil), s.records[drop:]...)
	}
	s.notify()
	p.appends++
	if p.loseAck > 0 {
		p.loseAck--
		return 0, false
	}
	return offset, true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	name := pathvar.Vars(r)["stream"]
	from := number(r, "From")
	most := number(r, "Max")
	reply, changed, up := p.take(name, from, most)
	if up && len(reply.GetRecords()) == 0 && number(r, "WaitMs") > 0 {
		p.await(r.Context(), changed, time.Duration(number(r, "WaitMs"))*time.Millisecond)
		reply, _, up = p.take(name, from, most)
	}
	if !up {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	wire.Write(w, reply)
}

func (p *Platform) take(name string, from, most int64) (reply *lab.ReadReply, changed <-chan struct{}, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, nil, false
	}
	s := p.stream(name)
	end := s.first + int64(len(s.records))
	from = min(max(from, s.first), end)
	last := min(from+most, end)
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

func (p *Platform) fault(w http.ResponseWriter, r *http.Request) {
	if text := r.URL.Query().Get("Down"); text != "" {
		p.SetLogDown(text == "true")
	}
	if n := number(r, "LoseAnswers"); n > 0 {
		p.LoseAnswers(int(n))
	}
	w.WriteHeader(http.StatusOK)
}

// stream returns a stream. The lock is held.
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

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func number(r *http.Request, key string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	return n
}
