package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// testCase is a case with the number of executors that it runs on. Play returns whether the rule was broken.
type testCase struct {
	executors int
	// sameIDs is set if executors keep their ids when they start again.
	sameIDs bool
	play    func(l *lab, trouble bool) (broken bool, err error)
}

var cases = map[string]testCase{
	"steps":  {48, false, manySteps},
	"wide":   {48, false, wideJob},
	"gang":   {48, false, wideGang},
	"reborn": {24, true, reborn},
	"fill":   {48, false, fillers},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func play(c testCase, record string, trouble bool) int {
	l, err := newLab(record, c.executors, c.sameIDs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	go l.endLate()
	l.publish(1)
	if err := l.startDaemons(3); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if !l.awaitReady() {
		fmt.Fprintln(os.Stderr, "no job has run")
		return 2
	}
	broken, err := c.play(l, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		l.note("result", "the rule is broken")
		return 1
	}
	l.note("result", "the rule holds")
	return 0
}

// maxRun is the longest time for which a case may run.
const maxRun = 115 * time.Second

// endLate ends all processes and this one after maxRun or at a signal.
func (l *lab) endLate() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRun):
	}
	l.note("result", "the case has not ended in time or was ended")
	l.close()
	os.Exit(2)
}
