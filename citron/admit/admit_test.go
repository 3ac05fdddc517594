package admit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/schema/work"
)

// memories are the memories of the machines that the platform has.
var memories = []budget.Bytes{144 << 20, 160 << 20, 184 << 20, 284 << 20, 424 << 20, 536 << 20}

// quickJob is a job like those of the queues with short requests.
func quickJob() *work.Job {
	return &work.Job{ID: "0123456789abcdef", Queue: "quick", Payload: "[800]", Terms: &work.Terms{Service: "svc"}, Steps: []*work.Step{{Tasks: 2, MilliCores: 2800, MemoryMb: 5200, EstimateMs: 800}}}
}

// tasksJob is a job of one step.
func tasksJob(tasks int32) *work.Job {
	return &work.Job{ID: "0123456789abcdef", Queue: "sweep", Steps: []*work.Step{{Tasks: tasks, MilliCores: 2000}}}
}

// stepsJob is a job of many steps with long image names.
func stepsJob(steps, image int) *work.Job {
	j := &work.Job{ID: "0123456789abcdef", Queue: "sweep"}
	for n := range steps {
		s := &work.Step{Tasks: 1, MilliCores: 200, Image: strings.Repeat("i", image)}
		if n > 0 {
			s.After = []int32{int32(n - 1)}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// largestJob has as many tasks, steps and bytes as callers may send.
func largestJob() *work.Job {
	j := stepsJob(MaxOpenSteps, 1000)
	j.Steps[0].Tasks = MaxOpenTasks - MaxOpenSteps + 1
	return j
}

// crowds are the jobs of a crowd by name.
var crowds = map[string]*work.Job{
	"20,000 tasks":  tasksJob(20_000),
	"300 tasks":     tasksJob(300),
	"a step":        tasksJob(1),
	"230 steps":     stepsJob(230, 1000),
	"largest":       largestJob(),
	"50 short runs": tasksJob(50),
	"occurrences":   {ID: "0123456789abcdef", Queue: "sweep", Schedule: &work.Schedule{Repeats: 1 << 30}, Steps: []*work.Step{{Tasks: 10}}},
}

// site is a number of daemons that accept jobs at the same time. Each knows the jobs of the others after a delay.
type site struct {
	ledgers []*Ledger
	lag     time.Duration
	// news are the changes that other daemons do not know yet.
	news []news
	now  time.Duration
	// held is what all jobs take, and most the greatest value of that.
	held, most budget.Bytes
	// withoutHolder is set while no daemon decides for the others.
	withoutHolder bool
	// firstCome replaces the decision by a limit alone; the baseline.
	firstCome bool
}

// news is a change that all daemons but one learn of at a time.
type news struct {
	at      time.Duration
	from    int
	account Account
	change  Use
}

func newSite(daemons int, limit budget.Bytes, lag time.Duration) *site {
	s := &site{lag: lag, now: time.Hour}
	for range daemons {
		s.ledgers = append(s.ledgers, &Ledger{Limit: limit})
	}
	return s
}

// submit hands a job in at a daemon and reports whether it is accepted.
func (s *site) submit(daemon int, job *work.Job) (refused *Refused) {
	l, account, cost := s.ledgers[daemon], AccountOf(job), CostOf(job)
	if s.firstCome {
		if cost > l.free() {
			return &Refused{ReasonQueue, MinRetry}
		}
	} else {
		request := Request{Account: account, Cost: cost, Now: s.now, KnownAsOf: s.now - s.lag, Daemons: len(s.ledgers)}
		release, refused := l.Reserve(request)
		if refused != nil && refused.Reason == ReasonDaemon && !IsSmall(cost) {
			// The holder decides, unless it does not answer.
			request.First = true
			if !s.withoutHolder {
				daemon, request.Daemons = 0, 1
			}
			release, refused = s.ledgers[daemon].Reserve(request)
		}
		if refused != nil {
			return refused
		}
		defer release()
	}
	s.change(daemon, account, Use{Open: cost})
	return nil
}

// change applies a change at a daemon, and later at the others.
func (s *site) change(daemon int, account Account, change Use) {
	s.ledgers[daemon].Change(account, change)
	s.news = append(s.news, news{s.now + s.lag, daemon, account, change})
	s.held += change.sum()
	s.most = max(s.most, s.held)
}

// end ends a job that the holder, daemon 0, has run.
func (s *site) end(job *work.Job) {
	s.change(0, AccountOf(job), Use{Open: -CostOf(job), Ended: EndedBytes})
}

// advance lets time pass and daemons learn of one another's jobs.
func (s *site) advance(d time.Duration) {
	s.now += d
	for len(s.news) > 0 && s.news[0].at <= s.now {
		n := s.news[0]
		s.news = s.news[1:]
		for i, l := range s.ledgers {
			if i != n.from {
				l.Change(n.account, n.change)
			}
		}
	}
}

// outcome is what became of a crowd beside ordinary callers.
type outcome struct {
	crowdAccepted, quick, quickAccepted int
	most                                budget.Bytes
}

// playCrowd lets a crowd send a job to all daemons 40 times a second, and ordinary callers 20 quick jobs a second, which end after a
// second. Of the crowd's jobs one ends each second.
func playCrowd(s *site, crowd *work.Job, random *rand.Rand) (o outcome) {
	var running []time.Duration
	waiting := 0
	for tick := range 60 * 40 {
		s.advance(25 * time.Millisecond)
		if s.submit(random.IntN(len(s.ledgers)), crowd) == nil {
			o.crowdAccepted++
			waiting++
		}
		if tick%2 == 0 {
			o.quick++
			if s.submit(random.IntN(len(s.ledgers)), quickJob()) == nil {
				o.quickAccepted++
				running = append(running, s.now+time.Second)
			}
		}
		for len(running) > 0 && running[0] <= s.now {
			running = running[1:]
			s.end(quickJob())
		}
		if tick%40 == 0 && waiting > 0 {
			waiting--
			s.end(crowd)
		}
	}
	o.most = s.most
	return o
}

// Guards against accepted jobs that use up the memory of every daemon, and against refusals that fall on the quick jobs of others.
func TestCrowdLeavesRoomForQuickJobs(t *testing.T) {
	for _, memory := range memories {
		limit := budget.NewPlan(memory, 4096).Jobs
		for name, crowd := range crowds {
			for _, daemons := range []int{1, 6, 26} {
				for _, lag := range []time.Duration{50 * time.Millisecond, seenAfter} {
					o := playCrowd(newSite(daemons, limit, lag), crowd, rand.New(rand.NewPCG(1, uint64(memory))))
					label := fmt.Sprintf("%s, %d MB, %d daemons, %v", name, memory>>20, daemons, lag)
					if most := limit + budget.Bytes(daemons)*CostOf(crowd); o.most > most {
						t.Errorf("%s: jobs take %d KB, want at most %d KB", label, o.most>>10, most>>10)
					}
					if o.quickAccepted*100 < o.quick*99 {
						t.Errorf("%s: %d of %d quick jobs accepted, want 99 of 100", label, o.quickAccepted, o.quick)
					}
					if o.crowdAccepted == 0 {
						t.Errorf("%s: no job of the crowd is accepted", label)
					}
				}
			}
		}
	}
}

// Guards against daemons that accept any number of jobs while there is no holder.
func TestCrowdWithoutAHolderIsBounded(t *testing.T) {
	for name, crowd := range crowds {
		s := newSite(26, budget.NewPlan(144<<20, 4096).Jobs, seenAfter)
		s.withoutHolder = true
		o := playCrowd(s, crowd, rand.New(rand.NewPCG(1, 1)))
		if most := s.ledgers[0].Limit + 26*CostOf(crowd); o.most > most {
			t.Errorf("%s: jobs take %d KB, want at most %d KB", name, o.most>>10, most>>10)
		}
	}
}

// TestLimitAloneStarvesQuickJobs shows that the crowds need the decision.
func TestLimitAloneStarvesQuickJobs(t *testing.T) {
	s := newSite(6, budget.NewPlan(284<<20, 4096).Jobs, 50*time.Millisecond)
	s.firstCome = true
	if o := playCrowd(s, largestJob(), rand.New(rand.NewPCG(1, 1))); o.quickAccepted*100 >= o.quick*99 {
		t.Errorf("%d of %d quick jobs accepted without the decision; the crowds do not need it", o.quickAccepted, o.quick)
	}
}

// Guards against a bound that the largest single job does not meet.
func TestLargestJobIsAcceptedInCalm(t *testing.T) {
	for _, memory := range memories {
		for _, daemons := range []int{1, 6, 60} {
			s := newSite(daemons, budget.NewPlan(memory, 4096).Jobs, seenAfter)
			for range 200 {
				if refused := s.submit(daemons-1, quickJob()); refused != nil {
					t.Fatalf("%d MB, %d daemons: quick job refused: %v", memory>>20, daemons, refused)
				}
			}
			for name, job := range crowds {
				s.advance(2 * seenAfter)
				if refused := s.submit(0, job); refused != nil {
					t.Errorf("%d MB, %d daemons: job of %s refused: %v", memory>>20, daemons, name, refused)
				}
				s.end(job)
			}
		}
	}
}

// Guards against daemons that accept more than their memory holds at the same moment, or before they know what others have accepted.
func TestDaemonThatKnowsLittleAcceptsLittle(t *testing.T) {
	limit := budget.NewPlan(284<<20, 4096).Jobs
	request := Request{Account: Account{Queue: "sweep"}, Cost: 100 << 10, Now: time.Hour, Daemons: 6}
	accept := func(l *Ledger, r Request) (sum budget.Bytes) {
		for {
			if _, refused := l.Reserve(r); refused != nil {
				if refused.RetryAfter < MinRetry || refused.RetryAfter > MaxRetry {
					t.Errorf("retry after %v", refused.RetryAfter)
				}
				return sum
			}
			sum += r.Cost
		}
	}
	if sum := accept(&Ledger{Limit: limit}, request); sum > limit/notLoadedShare || sum == 0 {
		t.Errorf("%d KB accepted before other jobs are known, want some and at most %d KB", sum>>10, limit/notLoadedShare>>10)
	}
	request.KnownAsOf = request.Now
	l := &Ledger{Limit: limit}
	if sum := accept(l, request); sum > limit/6 || sum == 0 {
		t.Errorf("%d KB accepted at one moment by one of six daemons, want some and at most %d KB", sum>>10, limit/6>>10)
	}
	request.Now += time.Minute
	if _, refused := l.Reserve(request); refused == nil {
		t.Error("a job is accepted although no later state of the store is known")
	}
	request.KnownAsOf = request.Now
	if _, refused := l.Reserve(request); refused != nil {
		t.Errorf("refused once the others know the jobs accepted before: %v", refused)
	}
}

// Guards against a crowd of one team that takes the room of others by using many queues.
func TestQueuesOfOneTeamShareTheRoom(t *testing.T) {
	l := &Ledger{Limit: budget.NewPlan(284<<20, 4096).Jobs}
	now := time.Hour
	for n := range 100_000 {
		now += seenAfter + time.Millisecond
		job := tasksJob(300)
		job.Team, job.Queue = "many", fmt.Sprintf("q%d", n%50)
		if release, refused := l.Reserve(Request{Account: AccountOf(job), Cost: CostOf(job), Now: now, KnownAsOf: now, Daemons: 1, First: true}); refused == nil {
			l.Change(AccountOf(job), Use{Open: CostOf(job)})
			release()
		}
	}
	other := quickJob()
	other.Team = "few"
	if free := l.free(); free < l.Limit/4 {
		t.Errorf("%d of %d KB are left, want a quarter", free>>10, l.Limit>>10)
	}
	if _, refused := l.Reserve(Request{Account: AccountOf(other), Cost: CostOf(other), Now: now, KnownAsOf: now, Daemons: 1, First: true}); refused != nil {
		t.Errorf("job of another team refused: %v", refused)
	}
}

// Guards against a time to return at which there is still no room.
func TestCallerThatReturnsWhenToldIsAccepted(t *testing.T) {
	l := &Ledger{Limit: budget.NewPlan(284<<20, 4096).Jobs}
	job, now := tasksJob(2000), time.Hour
	account, cost := AccountOf(job), CostOf(job)
	submit := func() *Refused {
		release, refused := l.Reserve(Request{Account: account, Cost: cost, Now: now, KnownAsOf: now, Daemons: 1, First: true})
		if refused == nil {
			l.Change(account, Use{Open: cost})
			release()
		}
		return refused
	}
	for submit() == nil {
		now += seenAfter + time.Millisecond
	}
	end := func(d time.Duration) {
		for until := now + d; now < until; now += 500 * time.Millisecond {
			l.Change(account, Use{Open: -cost})
		}
	}
	refilled := 0
	for range 20 {
		refused := submit()
		if refused == nil {
			refilled++
			continue
		}
		end(refused.RetryAfter)
	}
	if refilled < 9 {
		t.Errorf("%d of 20 calls accepted, of callers that return when told", refilled)
	}
}

// Guards against counts that drift, so that an empty daemon refuses jobs.
func TestNothingIsCountedAfterAllJobsAreGone(t *testing.T) {
	s := newSite(3, budget.NewPlan(144<<20, 4096).Jobs, time.Second)
	random := rand.New(rand.NewPCG(2, 2))
	var jobs []*work.Job
	for n := range 2000 {
		s.advance(10 * time.Millisecond)
		job := tasksJob(int32(random.IntN(200) + 1))
		job.Team, job.Queue = fmt.Sprint(n%3), fmt.Sprint(n%7)
		if s.submit(random.IntN(3), job) == nil {
			jobs = append(jobs, job)
		}
	}
	for _, job := range jobs {
		s.end(job)
		s.change(1, AccountOf(job), Use{Ended: -EndedBytes})
	}
	s.advance(time.Hour)
	for n, l := range s.ledgers {
		if l.Total() != (Use{}) || len(l.accounts) != 0 || len(l.teams) != 0 {
			t.Errorf("daemon %d counts %v, %d accounts and %d teams after all %d jobs are gone", n, l.Total(), len(l.accounts), len(l.teams), len(jobs))
		}
	}
}
