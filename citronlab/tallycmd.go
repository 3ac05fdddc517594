package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citronlab/tally"
)

// tallyCommand sums up where the time of ended jobs went.
func tallyCommand(app *kingpin.Application) command {
	clause := app.Command("tally", "Sum up where the time of ended jobs went, from the JSON log lines of the daemons.")
	byTeam := clause.Flag("teams", "Show each team by itself.").Bool()
	files := clause.Arg("log", "Log files; standard input without any.").Strings()
	return command{clause: clause, run: func() (err error) {
		var t tally.Tally
		if len(*files) == 0 {
			err = t.Read(os.Stdin)
		}
		for _, name := range *files {
			if err == nil {
				err = readLog(&t, name)
			}
		}
		if err != nil {
			return err
		}
		return t.Write(os.Stdout, *byTeam)
	}}
}

// readLog adds the lines of one file.
func readLog(t *tally.Tally, name string) (err error) {
	defer func() { err = eris.Wrapf(err, "log %s", name) }()
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return t.Read(f)
}
