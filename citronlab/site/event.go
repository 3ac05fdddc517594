package site

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// EventKind says what happened on a worker.
type EventKind int

// Kinds of events.
const (
	RunStarted EventKind = iota
	RunEnded
	// EndAcknowledged follows once the scheduler has taken note of an end.
	EndAcknowledged
	// WorkerGone ends all runs without a list.
	WorkerGone
)

// Event is something that happened on a worker.
type Event struct {
	Kind   EventKind
	Worker *Executor
	At     time.Duration
	Task   string
	Run    int
	// EndKind is the way in which a run ended.
	EndKind citron.EndKind
	// Token is the fencing token of the order that started the run.
	Token uint64
	// LeaseExpired is set on a forgotten end if the worker's lease lapsed since that end. Such an end need not be taken note
	// of: the run may have been given up and started elsewhere.
	LeaseExpired bool
}

// RunID names one run on one worker.
type RunID struct {
	Worker string
	Task   string
	Run    int
}

// RunID names the run that an event is about.
func (v Event) RunID() RunID {
	return RunID{v.Worker.ID, v.Task, v.Run}
}

// note keeps an event until it is passed on. The lock is held.
func (e *Executor) note(v Event) {
	if e.Watch != nil {
		v.Worker, v.At = e, e.Timer.Now().Boot
		e.seen = append(e.seen, v)
	}
}

// tell passes events on. The lock is not held.
func (e *Executor) tell() {
	e.mu.Lock()
	seen := e.seen
	e.seen = nil
	e.mu.Unlock()
	for _, v := range seen {
		e.Watch(v)
	}
}
