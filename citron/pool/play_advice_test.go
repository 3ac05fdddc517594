package pool

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// playPolicy is what the policy service decides on a queue: what an answer costs, and the part of the workers that it permits.
type playPolicy struct {
	decide, perWorker time.Duration
	permitted         float64
}

var playPolicies = map[string]playPolicy{
	"quick":   {9360 * time.Microsecond, 130 * time.Microsecond, 0.7},
	"rebuild": {442 * time.Millisecond, 6370 * time.Microsecond, 0.35},
	"sweep":   {130 * time.Millisecond, 1820 * time.Microsecond, 0.45},
}

// ticketValidity is how long tickets of the policy service are valid, exchangeDelay how long a message to a daemon and its
// answer take.
const (
	ticketValidity = 2500 * time.Millisecond
	exchangeDelay  = 5 * time.Millisecond
)

// terms returns the costs as a job's terms hold them.
func (c playPolicy) terms() *work.Advice {
	return &work.Advice{DecideUs: c.decide.Microseconds(), PerWorkerUs: c.perWorker.Microseconds(), ValidMs: ticketValidity.Milliseconds()}
}

// permits reports whether a step may run on a worker, which does not depend on when that is asked.
func (c playPolicy) permits(s citron.StepRef, w citron.Worker) bool {
	random := xxhash.Sum64String(string(w) + " " + string(s))
	return float64(random%1000) < 1000*c.permitted
}

// playService is the policy service, which answers the requests of each daemon one after the other.
type playService struct {
	busyUntil map[citron.VMName]time.Duration
	answers   map[time.Duration][]AdviceRequest
}

// playDaemons returns the names of the daemons that ask the policy service.
func playDaemons(n int) (vms []citron.VMName) {
	for i := range n {
		vms = append(vms, citron.VMName(fmt.Sprintf("vm%02d", i)))
	}
	return vms
}

// ask schedules the answer to a request.
func (v *playService) ask(at time.Duration, r AdviceRequest) {
	done := max(at, v.busyUntil[r.VM]) + r.Cost
	v.busyUntil[r.VM] = done
	due := (done + exchangeDelay + playStep - 1) / playStep * playStep
	v.answers[due] = append(v.answers[due], r)
}

// answer passes the answers that are due to the pool.
func (p *play) answer(at time.Duration) {
	for _, r := range p.service.answers[at] {
		c := playPolicies[p.byID[jobOfTask(citron.TaskRef(r.Step))].queue.name]
		var permits []citron.Permit
		for _, w := range r.Workers {
			if c.permits(r.Step, w) {
				permits = append(permits, citron.Permit{Worker: w, Ticket: "ticket"})
			}
		}
		p.p.Advised(p.now, r, permits, ticketValidity, false)
	}
	delete(p.service.answers, at)
}
