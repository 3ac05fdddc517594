// Package load sends calls with open-loop arrivals and compares their waits with those in one omniscient queue.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/front"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/prefs"
)

// Call is a planned call and its result.
type Call struct {
	// Stream is the index of the call's stream in the Arrivals of the settings.
	Stream int
	// ID is the request id.
	ID string
	// At is the arrival time, counted from the start of the load.
	At time.Duration
	// RunTime is the run time of the call on an endpoint.
	RunTime time.Duration
	// AnswerTime is how long the caller waited for the answer to the first attempt.
	AnswerTime time.Duration
	// Outcome is Done, NotRun or Unknown as answered to the first attempt, Error without a complete answer.
	Outcome string
	// RetryAfter is the retry delay given in the answer; zero if there was none.
	RetryAfter time.Duration
	// RetryServed is set if a retry after that delay was served.
	RetryServed bool
}

// Plan returns the calls of all streams by arrival time, generated from the seed. Arrivals are a Poisson process and run
// times are log-normal.
func Plan(settings *prefs.Load) []Call {
	var calls []Call
	end := time.Duration(settings.GetWarmUpMs()+settings.GetDurationMs()) * time.Millisecond
	for n, a := range settings.GetArrivals() {
		random := rand.New(rand.NewPCG(uint64(settings.GetSeed()), uint64(n)))
		sigma := float64(a.GetSpreadPercent()) / 100
		// The mean of a log-normal value is exp(mu + sigma^2/2).
		mu := math.Log(float64(a.GetRunMs())) - sigma*sigma/2
		for at := 0.0; ; {
			at += random.ExpFloat64() / float64(a.GetPerSecond())
			t := time.Duration(at * float64(time.Second))
			if t > end {
				break
			}
			run := time.Duration(math.Exp(mu+sigma*random.NormFloat64()) * float64(time.Millisecond))
			calls = append(calls, Call{Stream: n, At: t, RunTime: run})
		}
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].At < calls[j].At })
	return calls
}

// Sender sends planned calls to daemons. The calls rotate over the targets.
type Sender struct {
	Settings *prefs.Load
	Timer    citron.Timer
	// Targets are the URLs at which daemons accept calls.
	Targets []string

	service httpc.Service
}

// Send sends every call at its arrival time, fills in the results and returns once all calls have ended. It sends no
// further calls once ctx is done.
func (s *Sender) Send(ctx context.Context, calls []Call) {
	breaker.NoBreakerFor("load")
	s.service = httpc.NewServiceWithClient("load", &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}})
	var group sync.WaitGroup
	started := s.Timer.Now().Boot
	for n := range calls {
		if !timer.Pause(ctx, s.Timer, calls[n].At-(s.Timer.Now().Boot-started)) {
			break
		}
		target := s.Targets[n%len(s.Targets)]
		calls[n].ID = fmt.Sprintf("load-%d-%d", s.Settings.GetSeed(), n)
		next := s.Targets[(n+1)%len(s.Targets)]
		group.Go(func() { s.sendWithRetry(ctx, &calls[n], target, next) })
	}
	group.Wait()
}

// sendWithRetry sends a call to target. If it was not served and its stream retries, the call is sent once more to next,
// with the same request id and after the retry delay from the answer.
func (s *Sender) sendWithRetry(ctx context.Context, c *Call, target, next string) {
	started := s.Timer.Now().Boot
	c.Outcome, c.RetryAfter = s.post(ctx, c, target)
	c.AnswerTime = s.Timer.Now().Boot - started
	if c.Outcome == "Done" || !s.Settings.GetArrivals()[c.Stream].GetComeBack() || !timer.Pause(ctx, s.Timer, c.RetryAfter) {
		return
	}
	outcome, _ := s.post(ctx, c, next)
	c.RetryServed = outcome == "Done"
}

// post sends one attempt and returns the outcome and the retry delay from the headers of the answer.
func (s *Sender) post(ctx context.Context, c *Call, target string) (outcome string, retryAfter time.Duration) {
	a := s.Settings.GetArrivals()[c.Stream]
	url := fmt.Sprintf("%s/v1/teams/%s/calls/%s", target, a.GetTeam(), a.GetClass())
	body := fmt.Sprintf(`{"RunUs":%d}`, c.RunTime.Microseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return "Error", 0
	}
	request.Header.Set(front.HeaderRequestID, c.ID)
	response, err := s.service.DoRequest(request)
	if err != nil {
		return "Error", 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "Error", 0
	}
	ms, _ := strconv.ParseInt(response.Header.Get(front.HeaderRetryAfter), 10, 64)
	return response.Header.Get(front.HeaderOutcome), time.Duration(ms) * time.Millisecond
}
