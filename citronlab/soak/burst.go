package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

const (
	// burstCallers submit large jobs during a burst, each with burstPause between two.
	burstCallers = 4
	burstPause   = 20 * time.Millisecond
	// mostRefusals is the part of the requests for ordinary jobs that may be refused because of accepted jobs: one of this number.
	mostRefusals = 100
)

// burst makes callers submit whole, legal jobs that cost much, beside the ordinary ones. Half of them are cancelled at once, the others
// when the soak ends.
var burst = fault{"large jobs", 4 * time.Second, func(s *soak, rng *rand.Rand) (string, func() error, error) {
	name, body := largeJob(rng)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, burstCallers)
	b := &largeJobs{first: len(s.bursts)}
	s.bursts = append(s.bursts, b)
	for n := range burstCallers {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		go func() { ended <- b.submit(ctx, s, own, body) }()
	}
	return "jobs of " + name, func() error {
		cancel()
		for range burstCallers {
			<-ended
		}
		return s.checkAllMemory()
	}, nil
}}

// largeJob returns the body of a job that costs much, and its name.
func largeJob(rng *rand.Rand) (name, body string) {
	const step = `{"count":%d,"cpu":%d,"mem_mb":%d,"estimate_ms":120%s}`
	one := func(count, cpu, mem int, more string) string {
		return fmt.Sprintf(`{"spec":"x","steps":[`+step+`]}`, count, cpu, mem, more)
	}
	many := func(steps, image int) string {
		var b strings.Builder
		for n := range steps {
			if n > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"count":1,"cpu":200,"mem_mb":10,"image":"%s%04d"}`, strings.Repeat("i", image), n)
		}
		return fmt.Sprintf(`{"spec":"x","steps":[%s]}`, b.String())
	}
	switch rng.IntN(8) {
	case 0:
		return "20,000 tasks", one(20_000, 2000, 100, "")
	case 1:
		return "300 tasks", one(300, 2000, 100, "")
	case 2:
		return "230 steps with long names", many(230, 1000)
	case 3:
		return "256 steps", many(256, 1)
	case 4:
		return "tasks that fill", one(2000, 1000, 1, `,"fills":true`)
	case 5:
		return "tasks that ask for nothing", one(20_000, 0, 0, "")
	case 6:
		return "occurrences", fmt.Sprintf(`{"spec":"x","steps":[`+step+`],"repeat_count":1000000,"first_run_ms":1,"interval_ms":1}`, 20, 1000, 10, "")
	}
	return "a long payload", fmt.Sprintf(`{"spec":"%s","steps":[`+step+`]}`, strings.Repeat("p", 4000), 2, 1000, 10, "")
}

// largeJobs are the jobs of one burst.
type largeJobs struct {
	// first is part of their ids.
	first int

	mu       sync.Mutex
	ids      []string
	accepted int
}

// newID returns the id of a further job.
func (b *largeJobs) newID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := fmt.Sprintf("eeee%04x%08x", b.first, len(b.ids))
	b.ids = append(b.ids, id)
	return id
}

// submit submits jobs until the context ends.
func (b *largeJobs) submit(ctx context.Context, s *soak, rng *rand.Rand, body string) error {
	var client site.Client
	client.HTTP.Timeout = callTimeout
	for ctx.Err() == nil {
		id := b.newID()
		status, _ := client.Call(s.randomFront(rng), http.MethodPost, "/bulk/"+id, body)
		if status == http.StatusOK {
			b.mu.Lock()
			b.accepted++
			b.mu.Unlock()
		}
		if rng.IntN(2) == 0 {
			client.Call(s.randomFront(rng), http.MethodDelete, "/bulk/"+id, "")
		}
		timer.Pause(ctx, clock, burstPause)
	}
	return nil
}

// cancelBursts cancels all large jobs, whose end is not waited for.
func (s *soak) cancelBursts(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	var client site.Client
	client.HTTP.Timeout = callTimeout
	for _, b := range s.bursts {
		s.report.LargeJobs += b.accepted
		for _, id := range b.ids {
			s.waitUntil(ctx, s.CompletionTimeout, func() bool {
				status, _ := client.Call(s.randomFront(rng), http.MethodDelete, "/bulk/"+id, "")
				return status == http.StatusOK || status == http.StatusGone
			})
		}
	}
}

// checkAllMemory returns an error if a process has needed more memory than its settings allow.
func (s *soak) checkAllMemory() error {
	for n := range s.Daemons {
		if err := s.daemon(n).checkMemory(); err != nil {
			return err
		}
	}
	return nil
}

// checkRefusals reports that too many ordinary jobs were refused beside large ones.
func (s *soak) checkRefusals() {
	requests, refused := 0, 0
	for _, c := range s.callers {
		requests, refused = requests+c.requests, refused+c.refused
	}
	if refused*mostRefusals > requests {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%d of %d requests for ordinary jobs were refused because of accepted jobs", refused, requests))
	}
}
