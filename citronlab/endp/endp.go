// Package endp is a stand-in for an endpoint. It keeps a record of its runs.
package endp

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/invoke"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
)

// maxBodyBytes is the maximum size of the body of a call; the rest is ignored.
const maxBodyBytes = 64 << 20

// Options configures the endpoint.
type Options struct {
	Name  string
	Slots int
	// RunTime is the median run time; Spread is the sigma of its log-normal distribution.
	RunTime time.Duration
	Spread  float64
	Seed    uint64
	// FailPercent is the percentage of calls that fail at once with status 503.
	FailPercent int
}

// Endpoint runs calls by waiting for the run time and echoing the body.
type Endpoint struct {
	Options Options
	Timer   citron.Timer

	mu          sync.Mutex
	random      *rand.Rand
	inFlight    int
	maxInFlight int
	runs        map[string]int
	totalRuns   int64
}

// Record is the endpoint's record of its runs.
type Record struct {
	Name string
	// Most is the largest number of calls in flight at once.
	Most int
	// Slots is the number of calls that it may run at once.
	Slots int
	// Total is the number of runs.
	Total int64
	// Repeated holds the number of runs of each request that ran more than once, keyed as in Runs.
	Repeated map[string]int
}

// Routes returns the routes of an endpoint.
func (e *Endpoint) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/run/:class", Handler: e.run},
		{Method: http.MethodGet, Path: "/v1/load", Handler: e.load},
		{Method: http.MethodGet, Path: "/v1/record", Handler: e.record},
	}
}

// Record returns the record of runs.
func (e *Endpoint) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Record{Name: e.Options.Name, Most: e.maxInFlight, Slots: e.Options.Slots, Total: e.totalRuns, Repeated: map[string]int{}}
	for id, n := range e.runs {
		if n > 1 {
			r.Repeated[id] = n
		}
	}
	return r
}

// Runs returns the number of runs by "TEAM/CLASS/REQUEST".
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	class := pathvar.Vars(r)["class"]
	id := r.Header.Get(invoke.HeaderRequestID)
	runTime, failed := e.begin(r.Header.Get(invoke.HeaderTeam)+"/"+class+"/"+id, requestedRunTime(body))
	defer e.end()
	// A number as content type requests an answer that echoes that many zero bytes instead of the body.
	if bytes, _ := strconv.Atoi(r.Header.Get("Content-Type")); bytes > 0 {
		body = make([]byte, bytes)
	}
	due, stop := e.Timer.After(runTime)
	defer stop()
	select {
	case <-due:
	case <-r.Context().Done():
		// As on a real endpoint, the run continues and only its answer is lost.
		<-due
		return
	}
	w.Header().Set(invoke.HeaderAttemptID, r.Header.Get(invoke.HeaderAttemptID))
	w.Header().Set("Content-Type", "application/json")
	if failed {
		http.Error(w, "endpoint failed", http.StatusServiceUnavailable)
		return
	}
	answer := fmt.Sprintf(`{"Endpoint":%q,"Class":%q,"RequestID":%q,"RunMs":%d,"Echo":%q}`+"\n",
		e.Options.Name, class, id, runTime.Milliseconds(), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// requestedRunTime returns the run time requested in the body of a call, or 0 if there is none.
func requestedRunTime(body []byte) time.Duration {
	var request struct{ RunUs int64 }
	if json.Unmarshal(body, &request) != nil {
		return 0
	}
	return time.Duration(request.RunUs) * time.Microsecond
}

// begin counts a run and returns its run time, which is drawn at random unless requested.
func (e *Endpoint) begin(key string, requested time.Duration) (runTime time.Duration, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random == nil {
		e.random = rand.New(rand.NewPCG(e.Options.Seed, 1))
		e.runs = map[string]int{}
	}
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	e.runs[key]++
	e.totalRuns++
	failed = e.random.IntN(100) < e.Options.FailPercent
	factor := math.Exp(e.Options.Spread * e.random.NormFloat64())
	if failed {
		return 0, true
	}
	if requested > 0 {
		return requested, false
	}
	return time.Duration(float64(e.Options.RunTime) * factor), false
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	n := e.inFlight
	e.mu.Unlock()
	wire.Write(w, &lab.EndpointReport{InFlight: int32(n)})
}

// record returns the record, or with Runs=true the number of runs of each request.
func (e *Endpoint) record(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("Runs") == "true" {
		writeJSON(w, e.Runs())
		return
	}
	writeJSON(w, e.Record())
}
