package main

import (
	"fmt"
	"time"
)

// kindB is the number of executors of kind b, on each of which a task of a service uses twelve cores of thirty-two.
const kindB = 8

// wideGang runs a service on the executors of kind b and submits jobs of two short tasks for them. With trouble, a gang with a task
// for each of these executors is submitted before, which does not fit beside the service.
func wideGang(l *lab, trouble bool) (broken bool, err error) {
	service := job("lasts", step{Count: kindB, CPU: 12_000, MemMB: 1000, Estimate: 1000, Lasts: true, MayMiss: 1, Requires: "b", Spread: 1})
	if !l.submit("a000000000000001", kindB, service) {
		return false, errNotAccepted
	}
	time.Sleep(4 * time.Second)
	if trouble && !l.submit("e000000000000001", kindB, job("ms=20000", step{Count: kindB, CPU: 24_000, MemMB: 1000, Estimate: 20_000, Gang: true, Requires: "b"})) {
		return false, errNotAccepted
	}
	time.Sleep(time.Second)
	ids := []string{}
	for n := range 24 {
		id := fmt.Sprintf("c000%012x", n)
		if !l.submit(id, 2, job("ms=1500", step{Count: 2, CPU: 1000, MemMB: 100, Estimate: 1500, Requires: "b"})) {
			return false, errNotAccepted
		}
		ids = append(ids, id)
		time.Sleep(250 * time.Millisecond)
	}
	return len(l.checkStuck(ids)) > 0, nil
}
