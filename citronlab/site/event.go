package site

import (
	"time"

	"github.com/citroncross/citroncross/citron"
)

// EventKind is the kind of an event on a worker.
type EventKind int

// Kinds of events.
const (
	RunStarted EventKind = iota
	RunEnded
	// EndAcknowledged means that the scheduler has acknowledged the end of a run.
	EndAcknowledged
	// WorkerGone ends all runs of the worker; they get no RunEnded events.
	WorkerGone
)

// Event is something that happened on a worker.
type Event struct {
	Kind   EventKind
	Worker *Instance
	At     time.Duration
	Task   string
	Run    int
	// EndKind is how the run ended.
	EndKind citron.EndKind
	// Token is the fencing token of the order that started the run.
	Token uint64
	// LeaseExpired is set on an EndAcknowledged event if the worker's lease expired after that end. The scheduler need
	// not count such an end: it may have given up the run and started the task elsewhere.
	LeaseExpired bool
}

// RunID identifies a run on a worker instance.
type RunID struct {
	Worker string
	Task   string
	Run    int
}

// RunID returns the run of an event.
func (v Event) RunID() RunID {
	return RunID{v.Worker.ID, v.Task, v.Run}
}

// queueEvent queues an event for deliverEvents. The lock is held.
func (i *Instance) queueEvent(v Event) {
	if i.Watch != nil {
		v.Worker, v.At = i, i.Timer.Now().Boot
		i.queuedEvents = append(i.queuedEvents, v)
	}
}

// deliverEvents passes the queued events to Watch. The lock is not held, so that Watch may call the executor.
func (i *Instance) deliverEvents() {
	i.mu.Lock()
	queuedEvents := i.queuedEvents
	i.queuedEvents = nil
	i.mu.Unlock()
	for _, v := range queuedEvents {
		i.Watch(v)
	}
}
