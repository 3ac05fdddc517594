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
	// syncSlack is added to the long-poll time of a sync for its timeout.
	syncSlack = 2 * time.Second
	// syncRetry is the delay after a failed sync.
	syncRetry = 300 * time.Millisecond
)

// attempt is an attempt to run a task that has been placed on a worker.
type attempt struct {
	number int32
	spec   *record.JobSpec
	size   place.Resources
	// incarnation is the only incarnation of the worker that may start the attempt.
	incarnation citron.Incarnation
	// adopted attempts were placed by a former owner, which may have started them.
	adopted bool
	// requested is set once a request has included the attempt.
	requested bool
	// starts is the number of requests to start the attempt.
	starts   int
	running  bool
	stopping bool
}

// grow raises the reserved size to the reported use and reports whether it changed.
func (a *attempt) grow(report *lab.TaskReport) (place.Resources, bool) {
	size := a.size
	size.MilliCores = max(size.MilliCores, report.GetUsedMilliCores())
	size.MemoryMb = max(size.MemoryMb, report.GetUsedMemoryMb())
	if size == a.size {
		return size, false
	}
	a.size = size
	return size, true
}

// session exchanges sync messages with one worker. It has its own lock, which is taken after the pool's.
type session struct {
	pool   *pool
	name   citron.Worker
	cancel context.CancelFunc
	ended  chan error

	mu       sync.Mutex
	attempts map[place.Task]*attempt
	// forgets holds the ended attempts that the worker may delete.
	forgets map[place.Task]int32
	// sequence is the number of the last request.
	sequence int64
	// lease is the end of the last lease granted.
	lease citron.Instant
	// incarnation is the incarnation of the worker that answered last; zero before the first answer.
	incarnation citron.Incarnation
	// wake interrupts a sync that is long polling, or an idle session.
	wake chan struct{}
}

// session returns the session with a worker and starts it if there is none. The pool's lock is held.
func (p *pool) session(ctx context.Context, name citron.Worker) *session {
	if s, ok := p.sessions[name]; ok {
		return s
	}
	inner, cancel := context.WithCancel(ctx)
	s := &session{
		pool:     p,
		name:     name,
		cancel:   cancel,
		ended:    make(chan error, 1),
		attempts: map[place.Task]*attempt{},
		forgets:  map[place.Task]int32{},
		wake:     make(chan struct{}, 1),
	}
	p.sessions[name] = s
	go func() {
		s.ended <- s.syncLoop(inner)
	}()
	return s
}

// closeSessions ends all sessions and waits for them.
func (p *pool) closeSessions() {
	p.mu.Lock()
	sessions := p.sessions
	p.sessions = map[citron.Worker]*session{}
	p.mu.Unlock()
	for _, s := range sessions {
		s.cancel()
	}
	for _, s := range sessions {
		<-s.ended
	}
}

// syncLoop syncs with the worker until the context ends; it pauses while there is nothing to sync.
func (s *session) syncLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.idle() {
			select {
			case <-s.wake:
			case <-ctx.Done():
				return nil
			}
		}
		if err := s.sync(ctx); err != nil && ctx.Err() == nil {
			s.handleFailure(err)
			timer.Pause(ctx, s.pool.service.Timer, syncRetry)
		}
	}
	return nil
}

// handleFailure marks the worker as unreachable, so that it gets no new work. Only failures of the worker itself are
// logged; a sync also fails while this daemon does not own the pool.
func (s *session) handleFailure(err error) {
	if !errors.Is(err, citron.ErrNotOwner) {
		s.pool.service.Log.Emit(event.WorkerSyncFailed, event.Fields{"Worker": s.name, "Error": err})
	}
	s.setReachable(false)
}

// sync performs one exchange. A signal that there is something new to send interrupts its long poll.
func (s *session) sync(ctx context.Context) error {
	s.pool.mu.Lock()
	address, ok := s.pool.place.Address(s.name)
	s.pool.mu.Unlock()
	if !ok || !s.pool.service.Owner.MayAct(s.pool.id) {
		return citron.ErrNotOwner
	}
	request, forgets := s.request()
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	bounded, cancel := context.WithTimeout(ctx, wait+syncSlack)
	defer cancel()
	stopWatch := s.cancelOnWake(bounded, cancel)
	defer stopWatch()
	reply, err := s.pool.service.Runner.Sync(bounded, address, request)
	if err != nil {
		if bounded.Err() != nil && ctx.Err() == nil {
			// The sync was interrupted by a signal or timed out. The next one repeats every order.
			return nil
		}
		return err
	}
	if reply.GetStale() {
		return citron.ErrNotOwner
	}
	if reply.GetRestarted() {
		s.handleRestart(citron.Incarnation(reply.GetIncarnation()))
		return nil
	}
	s.recordIncarnation(citron.Incarnation(reply.GetIncarnation()))
	s.clearForgets(forgets)
	s.pool.handleReply(s, reply)
	return nil
}

// recordIncarnation records the incarnation that has answered and marks the worker as reachable.
func (s *session) recordIncarnation(incarnation citron.Incarnation) {
	s.mu.Lock()
	s.incarnation = incarnation
	s.mu.Unlock()
	s.setReachable(true)
}

func (s *session) setReachable(reachable bool) {
	s.pool.mu.Lock()
	s.pool.place.SetReachable(s.name, reachable)
	s.pool.mu.Unlock()
	s.pool.signal()
}

// handleRestart ends the attempts of former incarnations of the worker. Those with no start request other than the one
// just rejected never ran, so they are placed again even if they are not repeatable.
func (s *session) handleRestart(incarnation citron.Incarnation) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.mu.Lock()
	s.incarnation = incarnation
	var lost, notStarted []place.Task
	for key, a := range s.attempts {
		switch {
		case a.incarnation == incarnation:
		case a.adopted || a.running || a.starts > 1:
			lost = append(lost, key)
		default:
			notStarted = append(notStarted, key)
		}
	}
	s.mu.Unlock()
	for _, key := range lost {
		s.pool.recordEnd(key, record.TaskPhase_TASK_PHASE_LOST, "the worker restarted")
	}
	for _, key := range notStarted {
		s.pool.recordEnd(key, record.TaskPhase_TASK_PHASE_WAITING, "the worker restarted before the start")
	}
	s.pool.sendResults(s.pool.service.Timer.Now().Boot)
}

// cancelOnWake cancels a sync when the session is signalled.
func (s *session) cancelOnWake(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-s.wake:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// request returns the next sync request, which starts and stops attempts and renews the lease of the others. Until the
// incarnation of the worker is known, the request names no attempts.
func (s *session) request() (request *lab.SyncRequest, forgets map[place.Task]int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pool.service.Timer.Now()
	s.sequence++
	s.lease = now.Add(s.pool.service.Options.TaskLease)
	request = &lab.SyncRequest{
		Epoch:    uint64(s.pool.ledger.Epoch()),
		Sequence: s.sequence,
		LeaseMs:  s.pool.service.Options.TaskLease.Milliseconds(),
		WaitMs:   s.pool.service.Options.SyncEvery.Milliseconds(),
	}
	forgets = map[place.Task]int32{}
	if s.incarnation == 0 {
		request.WaitMs = 0
		return request, forgets
	}
	request.WorkerIncarnation = uint64(s.incarnation)
	for key, a := range s.attempts {
		if a.incarnation != s.incarnation && !a.adopted {
			// Its end is being recorded; the new incarnation must not start it.
			continue
		}
		a.requested = true
		s.addOrder(request, taskRef(key, a.number), a)
	}
	if len(request.GetStart())+len(request.GetStop()) > 0 {
		request.WaitMs = 0
	}
	for key, number := range s.forgets {
		forgets[key] = number
		request.Forget = append(request.Forget, taskRef(key, number))
	}
	return request, forgets
}

// addOrder adds the order to stop, renew or start one attempt.
func (s *session) addOrder(request *lab.SyncRequest, ref *lab.TaskRef, a *attempt) {
	switch {
	case a.stopping:
		request.Stop = append(request.Stop, ref)
	case a.running || a.adopted:
		request.Renew = append(request.Renew, ref)
	default:
		a.starts++
		request.Start = append(request.Start, taskStart(ref, a))
	}
	if a.adopted {
		request.WaitMs = 0
	}
}

func taskStart(ref *lab.TaskRef, a *attempt) *lab.TaskStart {
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

func taskRef(t place.Task, number int32) *lab.TaskRef {
	return &lab.TaskRef{JobID: string(t.Job), Task: t.Task, Attempt: number}
}

// start adds a placed attempt. A cancelled one is added to be stopped, as a former owner may have started it.
func (s *session) start(key place.Task, a *attempt) {
	s.mu.Lock()
	s.attempts[key] = a
	s.mu.Unlock()
	s.signal()
}

// stop requests the end of an attempt.
func (s *session) stop(key place.Task) {
	s.mu.Lock()
	a, ok := s.attempts[key]
	first := ok && !a.stopping
	if first {
		a.stopping = true
	}
	s.mu.Unlock()
	if first {
		s.signal()
	}
}

// forget removes an attempt whose end has been recorded and lets the worker delete it.
func (s *session) forget(key place.Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.attempts[key]; ok {
		delete(s.attempts, key)
		s.forgets[key] = a.number
	}
}

// clearForgets removes the forgets that the worker has acknowledged.
func (s *session) clearForgets(sent map[place.Task]int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, number := range sent {
		if s.forgets[key] == number {
			delete(s.forgets, key)
		}
	}
}

// signal interrupts a sync or an idle session.
func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// idle reports whether there is nothing to sync.
func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation != 0 && len(s.attempts) == 0 && len(s.forgets) == 0
}

// currentIncarnation returns the incarnation of the worker that answered last.
func (s *session) currentIncarnation() citron.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

func (s *session) has(key place.Task, number int32) bool {
	_, ok := s.attempt(key, number)
	return ok
}

func (s *session) attempt(key place.Task, number int32) (*attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.attempts[key]
	return a, ok && a.number == number
}

// missing returns the attempts that the worker has lost: those that it should have reported and has not. An adopted
// attempt that is unknown to the incarnation it was placed on was never started; the next request starts it.
func (s *session) missing(listed map[place.Task]bool) (lost []place.Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, a := range s.attempts {
		if !a.requested || listed[key] {
			continue
		}
		if a.running || a.adopted && a.incarnation != s.incarnation {
			lost = append(lost, key)
		}
		a.adopted = false
	}
	return lost
}

// leaseExpired reports whether every lease granted by this owner has expired.
func (s *session) leaseExpired(now citron.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.ReachedBoth(now)
}

func (s *session) tasks() (tasks []place.Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.attempts {
		tasks = append(tasks, key)
	}
	return tasks
}
