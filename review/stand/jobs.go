package main

import (
	"errors"
	"fmt"
	"time"
)

var errNotAccepted = errors.New("a job was not accepted")

// small submits jobs of two short tasks for some seconds and returns their ids.
func (l *lab) small(prefix string, count int) (ids []string, err error) {
	for n := range count {
		id := fmt.Sprintf("%s%012x", prefix, n)
		if !l.submit(id, 2, job("ms=200", step{Count: 2, CPU: 500, MemMB: 100, Estimate: 200})) {
			return nil, errNotAccepted
		}
		ids = append(ids, id)
		time.Sleep(250 * time.Millisecond)
	}
	return ids, nil
}

// stages is the number of stages of the job with many steps.
const stages = 32

// manySteps submits a job of 32 stages with two steps each, of which each starts after both steps of the stage before, among small
// jobs. Without trouble, its 64 steps follow one another.
func manySteps(l *lab, trouble bool) (broken bool, err error) {
	before, err := l.small("b000", 4)
	if err != nil {
		return false, err
	}
	var steps []step
	for n := range 2 * stages {
		s := step{Count: 1, CPU: 500, MemMB: 100, Estimate: 50}
		switch first := n/2*2 - 2; {
		case trouble && first >= 0:
			s.After = []int{first, first + 1}
		case !trouble && n > 0:
			s.After = []int{n - 1}
		}
		steps = append(steps, s)
	}
	large := "c000000000000001"
	if !l.submit(large, len(steps), job("ms=50", steps...)) {
		return false, errNotAccepted
	}
	after, err := l.small("d000", 20)
	if err != nil {
		return false, err
	}
	ids := append(append(before, large), after...)
	return len(l.checkStuck(ids)) > 0, nil
}

// wideTasks is the number of tasks of the wide job, wideParts that of the jobs among which they are divided without trouble.
const (
	wideTasks = 16_000
	wideParts = 16
)

// wideJob submits one job with many small tasks among small jobs. Without trouble, the same tasks come in several jobs.
func wideJob(l *lab, trouble bool) (broken bool, err error) {
	ids, err := l.small("b000", 4)
	if err != nil {
		return false, err
	}
	parts := wideParts
	if trouble {
		parts = 1
	}
	for n := range parts {
		id := fmt.Sprintf("c000%012x", n)
		if !l.submit(id, wideTasks/parts, job("ms=60000", step{Count: wideTasks / parts, CPU: 40, MemMB: 40, Estimate: 60_000})) {
			return false, errNotAccepted
		}
		ids = append(ids, id)
	}
	after, err := l.small("d000", 20)
	if err != nil {
		return false, err
	}
	return len(l.checkStuck(append(ids, after...))) > 0, nil
}
