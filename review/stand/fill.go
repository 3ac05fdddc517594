package main

import "time"

const (
	// fillTasks is the number of tasks that fill: one for each executor.
	fillTasks = 48
	// servingTasks is the number of tasks of the service.
	servingTasks = 6
)

// fillers submits a job of tasks that fill and run for a minute, and then a service with a target for its response times. Without
// trouble, the first job's tasks do not fill.
func fillers(l *lab, trouble bool) (broken bool, err error) {
	filling := job("ms=60000", step{Count: fillTasks, CPU: 500, MemMB: 200, Estimate: 60_000, Spread: 1, Fills: trouble, Image: "report"})
	if !l.submit("c000000000000001", fillTasks, filling) {
		return false, errNotAccepted
	}
	time.Sleep(4 * time.Second)
	ids := []string{"b000000000000001"}
	service := job("lasts", step{Count: servingTasks, CPU: 2000, MemMB: 1000, Estimate: 1000, Lasts: true, MayMiss: 1, Target: 50, Image: "web"})
	if !l.submit(ids[0], servingTasks, service) {
		return false, errNotAccepted
	}
	return len(l.checkStuck(ids)) > 0, nil
}
