// Package endp is a stand-in for an endpoint. It keeps its own record of what it was given.
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

// maxBody bounds the body of one call in bytes.
const maxBody = 64 << 20

// Options set the stand-in.
type Options struct {
	Name  string
	Slots int
	// RunTime is the median run time; Spread is the sigma of its log-normal distribution.
	RunTime time.Duration
	Spread  float64
	Seed    uint64
	// FailPercent is the part of calls that are answered with 503 before they run.
	FailPercent int
}

// Endpoint answers calls.
type Endpoint struct {
	Options Options
	Timer   citron.Timer

	mu       sync.Mutex
	random   *rand.Rand
	inFlight int
	most     int
	runs     map[string]int
	total    int64
}

// Record is what the endpoint says of its own past.
type Record struct {
	Name string
	// Most is the largest number of calls in flight at once.
	Most int
	// Slots is the number that it can hold.
	Slots int
	// Total is the number of runs.
	Total int64
	// Repeated lists the request ids that ran more than once.
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

// Record returns the endpoint's own record.
func (e *Endpoint) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Record{Name: e.Options.Name, Most: e.most, Slots: e.Options.Slots, Total: e.total, Repeated: map[string]int{}}
	for id, n := range e.runs {
		if n > 1 {
			r.Repeated[id] = n
		}
	}
	return r
}

// Runs counts the runs of each request, by team, class and request id.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	class := pathvar.Vars(r)["class"]
	id := r.Header.Get(invoke.HeaderRequestID)
	took, failed := e.begin(r.Header.Get(invoke.HeaderTeam)+"/"+class+"/"+id, wanted(body))
	defer e.end()
	if bytes, _ := strconv.Atoi(r.Header.Get("Content-Type")); bytes > 0 {
		body = make([]byte, bytes)
	}
	due, stop := e.Timer.After(took)
	defer stop()
	select {
	case <-due:
	case <-r.Context().Done():
		// The run goes on to its end, as a real one would; only its answer is lost.
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
		e.Options.Name, class, id, took.Milliseconds(), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// wanted reads how long a call asks to run, in microseconds; 0 leaves it to the endpoint.
func wanted(body []byte) time.Duration {
	var asked struct{ RunUs int64 }
	if json.Unmarshal(body, &asked) != nil {
		return 0
	}
	return time.Duration(asked.RunUs) * time.Microsecond
}

func (e *Endpoint) begin(key string, asked time.Duration) (took time.Duration, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random == nil {
		e.random = rand.New(rand.NewPCG(e.Options.Seed, 1))
		e.runs = map[string]int{}
	}
	e.inFlight++
	e.most = max(e.most, e.inFlight)
	e.runs[key]++
	e.total++
	failed = e.random.IntN(100) < e.Options.FailPercent
	factor := math.Exp(e.Options.Spread * e.random.NormFloat64())
	if failed {
		return 0, true
	}
	if asked > 0 {
		return asked, false
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

// record answers with the record and, where Runs=true is asked for, the runs of each request.
func (e *Endpoint) record(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("Runs") == "true" {
		writeJSON(w, e.Runs())
		return
	}
	writeJSON(w, e.Record())
}
