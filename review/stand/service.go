package main

import (
	"strconv"
	"strings"
	"time"
)

// noticeTime is how long a task that lasts may be away before it counts as such, whatever the cause.
const noticeTime = 4500 * time.Millisecond

// service is a job whose first step lasts and limits how many of its tasks may be away. It checks the rule AVAIL.
type service struct {
	id      string
	mayMiss int
	// seenAt is when each task was last at work, or when the job was sent. ordered is set for those that an order has ended.
	seenAt  []time.Time
	ordered []bool
	// broken counts the tasks that an order has ended while too many others were away.
	broken int
}

func newService(id string, s step) *service {
	v := &service{id: id, mayMiss: s.MayMiss, seenAt: make([]time.Time, s.Count), ordered: make([]bool, s.Count)}
	for n := range v.seenAt {
		v.seenAt[n] = time.Now()
	}
	return v
}

// indexOf returns the number of a task within its step.
func indexOf(task string) int {
	n, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	return n
}

// atWork records that tasks are at work.
func (l *lab) atWork(tasks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, task := range tasks {
		if v := l.services[jobOf(task)]; v != nil {
			v.seenAt[indexOf(task)], v.ordered[indexOf(task)] = time.Now(), false
		}
	}
}

// orderedEnd records that an order ends a task that is at work, and checks how many others of its step are away.
func (l *lab) orderedEnd(task, order string) {
	l.mu.Lock()
	v := l.services[jobOf(task)]
	if v == nil {
		l.mu.Unlock()
		return
	}
	away := 0
	for n := range v.seenAt {
		if n != indexOf(task) && (v.ordered[n] || time.Since(v.seenAt[n]) > noticeTime) {
			away++
		}
	}
	v.ordered[indexOf(task)] = true
	bad := away >= v.mayMiss
	if bad {
		v.broken++
	}
	l.mu.Unlock()
	verdict := "allowed"
	if bad {
		verdict = "too many"
	}
	l.note("check", "%s ends %s, which is at work; %d others of its step are away, %d may be: %s", order, task, away, v.mayMiss, verdict)
}

// brokenEnds returns how many tasks an order has ended while too many others of their step were away.
func (l *lab) brokenEnds() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.services {
		n += v.broken
	}
	return n
}
