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

// errBroken is returned where a promise was not kept.
var errBroken = eris.New("promises were not kept")

// soakCommand plays seeds of faults against real processes.
func soakCommand(app *kingpin.Application) command {
	clause := app.Command("soak", "Run daemons as processes beside a stand-in site, bring drawn faults to them and check what callers and workers see.")
	binary := clause.Flag("binary", "Program of the daemons.").Default(filepath.Join("target", "citrond")).String()
	first := clause.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := clause.Flag("seeds", "Number of seeds, one after the other.").Default("1").Uint64()
	daemons := clause.Flag("daemons", "Number of daemons.").Default("4").Int()
	workers := clause.Flag("workers", "Number of workers.").Default("6").Int()
	lasts := clause.Flag("for", "How long faults come, for each seed.").Default("15s").Duration()
	quiet := clause.Flag("quiet", "Time without faults within which all work has to end.").Default("20s").Duration()
	ip := clause.Flag("net", "Loopback address that nothing else uses.").Default("127.0.0.90").String()
	folder := clause.Flag("logs", "Folder for settings and log lines; those of a seed that kept every promise are removed.").Default(filepath.Join(os.TempDir(), "citroncross-soak")).String()
	return command{clause: clause, run: func() (err error) {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		recoveries := map[string][]time.Duration{}
		broken := 0
		for seed := *first; seed < *first+*seeds && ctx.Err() == nil; seed++ {
			o := soak.Options{
				Binary: *binary, Folder: filepath.Join(*folder, fmt.Sprint(seed)), Net: *ip, Seed: seed,
				Daemons: *daemons, Workers: *workers, Duration: *lasts, CompletionTimeout: *quiet,
			}
			r, err := playSeed(ctx, o)
			if err != nil {
				return err
			}
			for _, one := range r.Recoveries {
				recoveries[one.Cause] = append(recoveries[one.Cause], one.Duration)
			}
			broken += len(r.Violations)
		}
		printRecoveries(recoveries)
		if broken > 0 {
			return errBroken
		}
		return ctx.Err()
	}}
}

// playSeed plays one seed and prints what came out; faults only where a promise was not kept.
func playSeed(ctx context.Context, o soak.Options) (r soak.Report, err error) {
	if err := os.RemoveAll(o.Folder); err != nil {
		return r, err
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return r, err
	}
	if r, err = soak.Run(ctx, o); err != nil {
		return r, err
	}
	fmt.Printf("seed %d: %d faults, %d jobs accepted, %d completed, %d starts, %d runs lapsed, %d promises broken\n",
		o.Seed, len(r.Faults), r.Accepted, r.Completed, r.Starts, r.LeaseExpired, len(r.Violations))
	if len(r.Violations) == 0 {
		return r, os.RemoveAll(o.Folder)
	}
	for _, line := range slices.Concat(r.Violations, r.Faults) {
		fmt.Println("  " + line)
	}
	return r, nil
}

func printRecoveries(recoveries map[string][]time.Duration) {
	for how, all := range recoveries {
		slices.Sort(all)
		fmt.Printf("%s: %d times, median %v, longest %v until a later holder started a task\n",
			how, len(all), all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond))
	}
}
