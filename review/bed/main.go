package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/citroncross/citroncross/citron/serve"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios maps the names of the scenarios to what they do; an error means that the case could not run.
var scenarios = map[string]func(*bed) error{
	"acked":   ackedScenario,
	"relay":   relayScenario,
	"wave":    waveScenario,
	"gang":    gangScenario,
	"reserve": reserveScenario,
}

func main() { os.Exit(play()) }

func play() int {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "seed of random choices")
	flag.Parse()
	serve.DisableFrameworkLogs()
	scenario := scenarios[flag.Arg(0)]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", flag.Arg(0))
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "bed-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("logs:", folder)
	}
	file, err := filepath.Abs(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b, err := newBed(folder, root, file, os.Getenv("TROUBLE") != "0", *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	go b.endOnSignal()
	if err := scenario(b); err != nil {
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(b.broken), b.broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// endOnSignal ends the daemons too if this process is told to stop.
func (b *bed) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	b.endDaemons()
	os.Exit(exitNotRun)
}
