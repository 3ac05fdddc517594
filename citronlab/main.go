// Command citronlab runs stand-ins for the platform, endpoints and workers, a small cell in one process, load tests and
// soak tests.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeromicro/go-zero/core/logx"
)

// command is a subcommand and the function that runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

func main() {
	logx.Disable()
	app := kingpin.New("citronlab", "Stand-ins, a small cell, load tests and soak tests for citroncross.")
	commands := []command{
		devCommand(app),
		platformCommand(app),
		endpointCommand(app),
		workerCommand(app),
		settingsCommand(app),
		loadCommand(app),
		soakCommand(app),
		tallyCommand(app),
	}
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.clause.FullCommand() != chosen {
			continue
		}
		if err := c.run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
