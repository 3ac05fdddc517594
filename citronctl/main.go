// Command citronctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeromicro/go-zero/core/logx"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that something did not answer or went wrong.
	exitFailed = 1
	// exitInvalid means that a file or an argument is wrong.
	exitInvalid = 2
	// exitConflict means that another operator's change won.
	exitConflict = 3
	// exitNotFound means that what was asked for does not exist.
	exitNotFound = 4
)

// command is one subcommand. It returns the exit code.
type command struct {
	clause *kingpin.CmdClause
	run    func() int
}

// flags are those of every subcommand.
type flags struct {
	platform *string
	admin    *[]string
	output   *string
}

func main() {
	logx.Disable()
	app := kingpin.New("citronctl", "Publish team templates and look into a citroncross cell.")
	f := flags{
		platform: app.Flag("platform", "URL of the platform's log.").Envar("CITRON_PLATFORM").Default("http://127.0.0.1:9000").String(),
		admin:    app.Flag("admin", "IP:port of a daemon's admin port; may be repeated.").Envar("CITRON_ADMIN").Default("127.0.0.1:8081").Strings(),
		output:   app.Flag("output", "table or json.").Default("table").Enum("table", "json"),
	}
	template := app.Command("template", "Check, publish and read team templates.")
	commands := []command{
		checkCommand(template),
		publishCommand(template, f),
		listCommand(template, f),
		showCommand(template, f),
		historyCommand(template, f),
		diffCommand(template, f),
		statusCommand(app, f),
		shardsCommand(app, f),
		explainCommand(app, f),
		drainCommand(app),
	}
	commands = append(commands, estateCommands(app, f)...)
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.clause.FullCommand() == chosen {
			os.Exit(c.run())
		}
	}
}

// fail reports an error and what to do about it.
func fail(code int, format string, args ...any) int {
	fmt.Fprintf(os.Stderr, "citronctl: "+format+"\n", args...)
	return code
}
