package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citronlab/soak"
)

// errViolations is returned if the scheduler has violated a guarantee.
var errViolations = eris.New("the scheduler violated its guarantees")

// soakCommand runs daemons as processes under random faults, one seed after the other.
func soakCommand(app *kingpin.Application) command {
	clause := app.Command("soak", "Run daemons as processes against a stand-in site, inject random faults and check what callers and workers observe.")
	binary := clause.Flag("binary", "Path of the citrond executable.").Default(filepath.Join("target", "citrond")).String()
	first := clause.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := clause.Flag("seeds", "Number of consecutive seeds to run.").Default("1").Uint64()
	daemons := clause.Flag("daemons", "Number of daemons.").Default("4").Int()
	workers := clause.Flag("workers", "Number of workers.").Default("6").Int()
	shapes := clause.Flag("shapes", "Submit jobs of random shape, some with hundreds of tasks.").Bool()
	late := clause.Flag("late", "Let workers leave orders unanswered and carry them out up to 12 s later.").Bool()
	crowds := clause.Flag("crowds", "Let many clients send requests that stop short of their end, and return when they are closed.").Bool()
	large := clause.Flag("large", "Submit jobs that cost much beside the ordinary ones, and check the memory of the daemons.").Bool()
	replaced := clause.Flag("replaced", "Let daemons leave for good, with SIGTERM or without, and others come at new addresses.").Bool()
	duration := clause.Flag("for", "How long faults are injected for each seed.").Default("15s").Duration()
	timeout := clause.Flag("quiet", "How long all work may take to end after the last fault.").Default("20s").Duration()
	ip := clause.Flag("net", "Loopback IP address that nothing else uses.").Default("127.0.0.90").String()
	folder := clause.Flag("logs", "Folder for settings and log files; those of a seed without violations are removed.").Default(filepath.Join(os.TempDir(), "citroncross-soak")).String()
	return command{clause: clause, run: func() (err error) {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		recoveries := map[string][]time.Duration{}
		violations := 0
		for seed := *first; seed < *first+*seeds && ctx.Err() == nil; seed++ {
			o := soak.Options{
				Binary: *binary, Folder: filepath.Join(*folder, fmt.Sprint(seed)), IP: *ip, Seed: seed,
				Daemons: *daemons, Workers: *workers, Shapes: *shapes, LateOrders: *late, Crowds: *crowds, LargeJobs: *large, Replaced: *replaced, Duration: *duration, CompletionTimeout: *timeout,
			}
			r, err := runSeed(ctx, o)
			if err != nil {
				return err
			}
			for _, recovery := range r.Recoveries {
				recoveries[recovery.Cause] = append(recoveries[recovery.Cause], recovery.Duration)
			}
			violations += len(r.Violations)
		}
		printRecoveries(recoveries)
		if violations > 0 {
			return errViolations
		}
		return ctx.Err()
	}}
}

// runSeed runs one seed and prints the result. It lists the faults only if there were violations.
func runSeed(ctx context.Context, o soak.Options) (r soak.Report, err error) {
	if err := os.RemoveAll(o.Folder); err != nil {
		return r, err
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return r, err
	}
	if r, err = soak.Run(ctx, o); err != nil {
		return r, err
	}
	fmt.Printf("seed %d: %d faults, %d jobs accepted, %d completed, %d large, %d starts, %d runs lapsed, %d promises broken\n",
		o.Seed, len(r.Faults), r.Accepted, r.Completed, r.LargeJobs, r.Starts, r.LeaseExpired, len(r.Violations))
	if len(r.Violations) == 0 {
		return r, os.RemoveAll(o.Folder)
	}
	for _, line := range slices.Concat(r.Violations, r.Faults) {
		fmt.Println("  " + line)
	}
	return r, nil
}

// printRecoveries prints the median and the longest recovery for each cause.
func printRecoveries(recoveries map[string][]time.Duration) {
	for cause, durations := range recoveries {
		slices.Sort(durations)
		fmt.Printf("%s: %d times, median %v, longest %v until a later holder started a task\n",
			cause, len(durations), durations[len(durations)/2].Round(time.Millisecond), durations[len(durations)-1].Round(time.Millisecond))
	}
}
