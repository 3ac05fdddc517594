package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citronlab/cell"
)

const (
	// readyPollInterval is the interval at which a starting cell is checked for readiness.
	readyPollInterval = 100 * time.Millisecond
	// exampleTeams is the number of teams in the examples folder.
	exampleTeams = 2
)

// devCommand runs a small cell inside this process until SIGINT or SIGTERM.
func devCommand(app *kingpin.Application) command {
	clause := app.Command("dev", "Run six daemons, endpoints, workers and the platform in one process.")
	examples := clause.Flag("examples", "Folder of the example templates.").Default("examples").String()
	logFile := clause.Flag("log", "Log file of the daemons.").Default(filepath.Join(os.TempDir(), "citroncross-dev.log")).String()
	return command{clause: clause, run: func() (err error) {
		defer func() { err = eris.Wrap(err, "dev") }()
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		log, err := os.Create(*logFile)
		if err != nil {
			return err
		}
		defer log.Close()
		return runCell(ctx, *examples, log)
	}}
}

// runCell starts the cell with the example templates and stops it when the context ends.
func runCell(ctx context.Context, examples string, log io.Writer) error {
	options := cell.Defaults()
	options.Log = log
	c, err := cell.Start(options)
	if err != nil {
		c.Close()
		return err
	}
	if err := c.PublishExamples(ctx, examples); err != nil {
		c.Close()
		return err
	}
	if !awaitReady(ctx, c) {
		c.Close()
		return ctx.Err()
	}
	fmt.Println("cell is ready: six daemons at 127.0.0.1 to 127.0.0.6, callers on port 8080, operators on port 8081")
	fmt.Println(`curl -i -X POST -d '{"Site":"kanturk"}' http://127.0.0.1:8080/v1/teams/ballyhoura/calls/lookup`)
	fmt.Println("SIGINT (Ctrl-C) stops it")
	<-ctx.Done()
	fmt.Println("stopping")
	return c.Stop()
}

// awaitReady waits until the cell is ready and reports whether it was before the context ended.
func awaitReady(ctx context.Context, c *cell.Cell) bool {
	tick, stop := c.Timer.Every(readyPollInterval)
	defer stop()
	for !c.Ready(exampleTeams) {
		select {
		case <-tick:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
