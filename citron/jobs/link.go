package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/place"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// syncSlack is added to the wait of a sync before it counts as failed.
	syncSlack = 2 * time.Second
	// syncRetry is the pause after a failed sync.
	syncRetry = 300 * time.Millisecond
)

// attempt is one placed attempt on one worker.
type attempt struct {
	number int32
	spec   *record.JobSpec
	size   place.Resources
	// incarnation is the run of the worker that may start the attempt.
	incarnation citron.Incarnation
	// adopted attempts were placed by a former owner, who may have started them.
	adopted bool
	// asked is set once a request has named the attempt.
	asked bool
	// starts is the number of requests that asked to start the attempt.
	starts   int
	running  bool
	stopping bool
}

// grown returns the booked size raised to the reported use.
func (a *attempt) grown(report *lab.TaskReport) (place.Resources, bool) {
	size := a.size
	size.MilliCores = max(size.MilliCores, report.GetUsedMilliCores())
	size.MemoryMb = max(size.MemoryMb, report.GetUsedMemoryMb())
	if size == a.size {
		return size, false
	}
	a.size = size
	return size, true
}

// link is the conversation with one worker under its own lock.
type link struct {
	p      *pool
	name   citron.Worker
	cancel context.CancelFunc
	ended  chan error

	mu       sync.Mutex
	attempts map[place.Task]*attempt
	forgets  map[place.Task]int32
	sequence int64
	lease    citron.Instant
	// incarnation is the run of the worker that answered last; zero before the first answer.
	incarnation citron.Incarnation
	// urgent interrupts a sync that waits for news.
	urgent chan struct{}
}

// link returns the conversation with a worker and starts it where there is none. The pool's lock is held.
func (p *pool) link(ctx context.Context, name citron.Worker) *link {
	if l, ok := p.links[name]; ok {
		return l
	}
	inner, cancel := context.WithCancel(ctx)
	l := &link{
		p:        p,
		name:     name,
		cancel:   cancel,
		ended:    make(chan error, 1),
		attempts: map[place.Task]*attempt{},
		forgets:  map[place.Task]int32{},
		urgent:   make(chan struct{}, 1),
	}
	p.links[name] = l
	go func() {
		l.ended <- l.run(inner)
	}()
	return l
}

func (p *pool) closeLinks() {
	p.mu.Lock()
	links := p.links
	p.links = map[citron.Worker]*link{}
	p.mu.Unlock()
	for _, l := range links {
		l.cancel()
	}
	for _, l := range links {
		<-l.ended
	}
}

func (l *link) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.idle() {
			select {
			case <-l.urgent:
			case <-ctx.Done():
				return nil
			}
		}
		if err := l.sync(ctx); err != nil && ctx.Err() == nil {
			l.failed(err)
			timer.Pause(ctx, l.p.s.Timer, syncRetry)
		}
	}
	return nil
}

// failed keeps new work from a worker that does not answer. Waiting for the lease is no failure of the worker.
func (l *link) failed(err error) {
	if !errors.Is(err, citron.ErrNotOwner) {
		l.p.s.Log.Emit(event.WorkerSyncFailed, event.Fields{"Worker": l.name, "Error": err})
	}
	l.reach(false)
}

// sync is one exchange. It is cut short when there is something new to say.
func (l *link) sync(ctx context.Context) error {
	l.p.mu.Lock()
	address, ok := l.p.place.Address(l.name)
	l.p.mu.Unlock()
	if !ok || !l.p.s.Owner.MayAct(l.p.id) {
		return citron.ErrNotOwner
	}
	request, forgets := l.request()
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	bounded, cancel := context.WithTimeout(ctx, wait+syncSlack)
	defer cancel()
	stopWatch := l.interrupt(bounded, cancel)
	defer stopWatch()
	reply, err := l.p.s.Runner.Sync(bounded, address, request)
	if err != nil {
		if bounded.Err() != nil && ctx.Err() == nil {
			return nil
		}
		return err
	}
	if reply.GetStale() {
		return citron.ErrNotOwner
	}
	if reply.GetRestarted() {
		l.restarted(citron.Incarnation(reply.GetIncarnation()))
		return nil
	}
	l.met(citron.Incarnation(reply.GetIncarnation()))
	l.forgotten(forgets)
	l.p.replied(l, reply)
	return nil
}

// met notes the run of the worker that has answered.
func (l *link) met(incarnation citron.Incarnation) {
	l.mu.Lock()
	l.incarnation = incarnation
	l.mu.Unlock()
	l.reach(true)
}

func (l *link) reach(reached bool) {
	l.p.mu.Lock()
	l.p.place.SetReachable(l.name, reached)
	l.p.mu.Unlock()
	l.p.signal()
}

// restarted ends the attempts that a former run of the worker had. Those that it was never asked to start may go
// elsewhere, whatever their class.
func (l *link) restarted(incarnation citron.Incarnation) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	l.mu.Lock()
	l.incarnation = incarnation
	var lost, fresh []place.Task
	for key, a := range l.attempts {
		switch {
		case a.incarnation == incarnation:
		case a.adopted || a.running || a.starts > 1:
			lost = append(lost, key)
		default:
			fresh = append(fresh, key)
		}
	}
	l.mu.Unlock()
	for _, key := range lost {
		l.p.note(key, record.TaskPhase_TASK_PHASE_LOST, "the worker restarted")
	}
	for _, key := range fresh {
		l.p.note(key, record.TaskPhase_TASK_PHASE_WAITING, "the worker restarted before the start")
	}
	l.p.sendResults(l.p.s.Timer.Now().Boot)
}

// interrupt cancels a waiting sync when something urgent comes.
func (l *link) interrupt(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-l.urgent:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// request says all that the worker must know: what to start and to stop, and for how long the rest may run.
func (l *link) request() (request *lab.SyncRequest, forgets map[place.Task]int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.p.s.Timer.Now()
	l.sequence++
	l.lease = now.Add(l.p.s.Options.TaskLease)
	request = &lab.SyncRequest{
		Epoch:    uint64(l.p.ledger.Epoch()),
		Sequence: l.sequence,
		LeaseMs:  l.p.s.Options.TaskLease.Milliseconds(),
		WaitMs:   l.p.s.Options.SyncEvery.Milliseconds(),
	}
	forgets = map[place.Task]int32{}
	if l.incarnation == 0 {
		request.WaitMs = 0
		return request, forgets
	}
	request.WorkerIncarnation = uint64(l.incarnation)
	for key, a := range l.attempts {
		if a.incarnation != l.incarnation && !a.adopted {
			// Its end is on its way to the log; the new run of the worker must not start it.
			continue
		}
		a.asked = true
		l.say(request, refOf(key, a.number), a)
	}
	if len(request.GetStart())+len(request.GetStop()) > 0 {
		request.WaitMs = 0
	}
	for key, number := range l.forgets {
		forgets[key] = number
		request.Forget = append(request.Forget, refOf(key, number))
	}
	return request, forgets
}

// say adds to a request what is wanted for one attempt.
func (l *link) say(request *lab.SyncRequest, ref *lab.TaskRef, a *attempt) {
	switch {
	case a.stopping:
		request.Stop = append(request.Stop, ref)
	case a.running || a.adopted:
		request.Renew = append(request.Renew, ref)
	default:
		a.starts++
		request.Start = append(request.Start, startOf(ref, a))
	}
	if a.adopted {
		request.WaitMs = 0
	}
}

func startOf(ref *lab.TaskRef, a *attempt) *lab.TaskStart {
	return &lab.TaskStart{
		Ref:          ref,
		MilliCores:   a.spec.GetMilliCores(),
		MemoryMb:     a.spec.GetMemoryMb(),
		Accelerators: a.spec.GetAccelerators(),
		Payload:      a.spec.GetPayload(),
		Service:      a.spec.GetService(),
		RunBoundMs:   a.spec.GetRunBoundMs(),
	}
}

func refOf(t place.Task, number int32) *lab.TaskRef {
	return &lab.TaskRef{JobID: string(t.Job), Task: t.Task, Attempt: number}
}

// start adds a placed attempt. A cancelled one is stopped in case a former owner has started it.
func (l *link) start(key place.Task, a *attempt) {
	l.mu.Lock()
	l.attempts[key] = a
	l.mu.Unlock()
	l.hurry()
}

// stop asks for the end of an attempt.
func (l *link) stop(key place.Task) {
	l.mu.Lock()
	a, ok := l.attempts[key]
	fresh := ok && !a.stopping
	if fresh {
		a.stopping = true
	}
	l.mu.Unlock()
	if fresh {
		l.hurry()
	}
}

// forget drops an attempt whose end the log shows.
func (l *link) forget(key place.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.attempts[key]; ok {
		delete(l.attempts, key)
		l.forgets[key] = a.number
	}
}

func (l *link) forgotten(sent map[place.Task]int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, number := range sent {
		if l.forgets[key] == number {
			delete(l.forgets, key)
		}
	}
}

func (l *link) hurry() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation != 0 && len(l.attempts) == 0 && len(l.forgets) == 0
}

// current returns the run of the worker that answered last.
func (l *link) current() citron.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

func (l *link) has(key place.Task, number int32) bool {
	_, ok := l.attempt(key, number)
	return ok
}

func (l *link) attempt(key place.Task, number int32) (*attempt, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.attempts[key]
	return a, ok && a.number == number
}

// missing lists the attempts that a whole report should name and does not: the worker has lost them. An adopted
// attempt that the same run of the worker does not know was never started; it is started now.
func (l *link) missing(listed map[place.Task]bool) (lost []place.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, a := range l.attempts {
		if !a.asked || listed[key] {
			continue
		}
		if a.running || a.adopted && a.incarnation != l.incarnation {
			lost = append(lost, key)
		}
		a.adopted = false
	}
	return lost
}

// lapsed reports whether every lease that this owner can have given has lapsed.
func (l *link) lapsed(now citron.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.ReachedBoth(now)
}

func (l *link) all() (tasks []place.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.attempts {
		tasks = append(tasks, key)
	}
	return tasks
}
