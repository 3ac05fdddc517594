package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron/conf"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/tmpl"
	"github.com/citroncross/citroncross/citronlab/cell"
	"github.com/citroncross/citroncross/citronlab/load"
	"github.com/citroncross/citroncross/schema/prefs"
)

// loadCommand sends load to a cell and reports the waits.
func loadCommand(app *kingpin.Application) command {
	clause := app.Command("load", "Send open-loop load and compare its waits with those in one omniscient queue.")
	file := clause.Arg("settings", "TOML settings file; see docs/results.").Required().String()
	out := clause.Flag("out", "Folder for the JSON report and the plot.").String()
	examples := clause.Flag("examples", "Folder of the example templates.").Default("examples").String()
	runs := clause.Flag("runs", "Number of runs; each adds 1 to the seed.").Default("1").Int()
	profile := clause.Flag("profile", "File for a CPU profile.").String()
	return command{clause: clause, run: func() (err error) {
		defer func() { err = eris.Wrap(err, "load") }()
		stopProfile, err := startProfile(*profile)
		if err != nil {
			return err
		}
		defer stopProfile()
		var settings prefs.Load
		if problems := conf.ReadFile(*file, &settings); len(problems) > 0 {
			return problems
		}
		name := strings.TrimSuffix(filepath.Base(*file), ".toml")
		for range *runs {
			report, err := runLoad(name, &settings, *examples)
			if err != nil {
				return err
			}
			fmt.Print(report.Table())
			if err := saveReport(report, *out); err != nil {
				return err
			}
			settings.Seed++
		}
		return nil
	}}
}

// startProfile writes a CPU profile to a file until stop is called. It does nothing if the file name is empty.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	out, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = out.Close()
	}, nil
}

// saveReport writes the report as JSON and as a plot. It does nothing if the folder is empty.
func saveReport(report load.Report, folder string) error {
	if folder == "" {
		return nil
	}
	body, err := report.JSON()
	if err != nil {
		return err
	}
	base := filepath.Join(folder, fmt.Sprintf("%s-%d", report.Name, report.Seed))
	if err := os.WriteFile(base+".json", append(body, '\n'), 0o644); err != nil {
		return err
	}
	return report.Plot(base + ".svg")
}

// runLoad sends the load of one seed to the targets in the settings, or to a new cell in this process if there are none.
func runLoad(name string, settings *prefs.Load, examples string) (report load.Report, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var targets []string
	for _, t := range settings.GetTargets() {
		targets = append(targets, t.GetURL())
	}
	if len(targets) == 0 {
		c, err := startLoadCell(ctx, settings, examples)
		if err != nil {
			return report, err
		}
		defer c.Close()
		for n := range c.Daemons {
			targets = append(targets, c.CallerURL(n))
		}
	}
	calls := load.Plan(settings)
	sender := &load.Sender{Settings: settings, Timer: timer.System{}, Targets: targets}
	before := load.ReadCPUTimes()
	sender.Send(ctx, calls)
	busy, steal := before.Since()
	urgencies, deadlines, err := urgenciesAndDeadlines(settings, examples)
	if err != nil {
		return report, err
	}
	slots := int(settings.GetCell().GetEndpoints() * settings.GetCell().GetSlots())
	omni := load.Omniscient(calls, slots, urgencies, deadlines)
	report = load.Measure(name, settings, slots, calls, omni)
	report.BusyPercent, report.StealPercent = busy, steal
	return report, nil
}

// settleTime is the wait before load is sent. It lets slots become free that count as taken after the start of the cell.
const settleTime = 3 * time.Second

// startLoadCell starts a cell as configured for the load and waits until it is ready.
func startLoadCell(ctx context.Context, settings *prefs.Load, examples string) (*cell.Cell, error) {
	options := cell.Defaults()
	options.Net = "127.1.0"
	options.Log = io.Discard
	options.Endpoints = int(settings.GetCell().GetEndpoints())
	options.Slots = int(settings.GetCell().GetSlots())
	options.FailPercent = int(settings.GetCell().GetFailPercent())
	options.Failing = int(settings.GetCell().GetFailingEndpoints())
	options.AdjustSettings = func(d *prefs.Daemon) { d.Baseline = settings.GetBaseline() }
	c, err := cell.Start(options)
	if err == nil {
		err = c.PublishExamples(ctx, examples)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	awaitReady(ctx, c)
	due, _ := c.Timer.After(settleTime)
	<-due
	return c, nil
}

// urgenciesAndDeadlines returns the urgency and the deadline of each stream's class from the example templates.
func urgenciesAndDeadlines(settings *prefs.Load, examples string) (urgencies []int, deadlines []time.Duration, err error) {
	for _, a := range settings.GetArrivals() {
		text, err := os.ReadFile(filepath.Join(examples, a.GetTeam()+".toml"))
		if err != nil {
			return nil, nil, err
		}
		parameters, err := os.ReadFile(filepath.Join(examples, a.GetTeam()+".parameters.toml"))
		if err != nil {
			return nil, nil, err
		}
		source, problems := tmpl.Render(a.GetTeam(), string(text), string(parameters))
		if len(problems) > 0 {
			return nil, nil, problems
		}
		compiled, problems := tmpl.Parse(a.GetTeam(), source)
		if len(problems) > 0 {
			return nil, nil, problems
		}
		for name, c := range compiled.Classes {
			if string(name) == a.GetClass() {
				urgencies = append(urgencies, int(c.Urgency))
				deadlines = append(deadlines, c.Deadline)
			}
		}
	}
	return urgencies, deadlines, nil
}
