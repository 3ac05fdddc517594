// Command citronctl is the command-line tool for operators.
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
	// exitFailed means that a remote side did not answer or a request failed.
	exitFailed = 1
	// exitInvalid means that a file or an argument is invalid.
	exitInvalid = 2
	// exitConflict means that another operator has published a change first.
	exitConflict = 3
	// exitNotFound means that the requested object does not exist.
	exitNotFound = 4
)

// command is a subcommand.
type command struct {
	clause *kingpin.CmdClause
	// run executes the subcommand and returns the exit code.
	run func() int
}

// flags are the flags that every subcommand accepts.
type flags struct {
	platform *string
	admin    *[]string
	output   *string
}

func main() {
	logx.Disable()
	app := kingpin.New("citronctl", "Publish team templates and inspect a citroncross cell.")
	f := flags{
		platform: app.Flag("platform", "URL of the platform's log.").Envar("CITRON_PLATFORM").Default("http://127.0.0.1:9000").String(),
		admin:    app.Flag("admin", "IP:port of a daemon's admin port; may be repeated.").Envar("CITRON_ADMIN").Default("127.0.0.1:8081").Strings(),
		output:   app.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json"),
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
	commands = append(commands, configCommands(app, f)...)
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.clause.FullCommand() == chosen {
			os.Exit(c.run())
		}
	}
}

// fail prints an error and returns the exit code.
func fail(code int, format string, args ...any) int {
	fmt.Fprintf(os.Stderr, "citronctl: "+format+"\n", args...)
	return code
}
