package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/edits"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/citron/stream"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/tmpl"
)

// logTimeout limits the exchanges of one command with the log.
const logTimeout = 10 * time.Second

// templateSource holds the flags that name a template file and its parameters.
type templateSource struct {
	file       *string
	parameters *string
	overrides  *map[string]string
}

func sourceFlags(clause *kingpin.CmdClause) templateSource {
	return templateSource{
		file:       clause.Arg("file", "Template file.").Required().String(),
		parameters: clause.Flag("parameters", "TOML file with parameters; by default the template file's name ending in .parameters.toml instead of .toml.").String(),
		overrides:  clause.Flag("param", "One parameter as Key=Value; overrides the parameters file.").StringMap(),
	}
}

// render reads, renders and checks the template. Problems are printed.
func (s templateSource) render() (rendered string, compiled *tmpl.Template, ok bool) {
	text, err := os.ReadFile(*s.file)
	if err != nil {
		fail(exitInvalid, "%v", err)
		return "", nil, false
	}
	parameters, err := s.allParameters()
	if err != nil {
		fail(exitInvalid, "%v", err)
		return "", nil, false
	}
	rendered, problems := tmpl.Render(*s.file, string(text), parameters)
	if len(problems) == 0 {
		compiled, problems = tmpl.Parse(*s.file, rendered)
	}
	if len(problems) > 0 {
		fmt.Fprintln(os.Stderr, problems.Error())
		return "", nil, false
	}
	return rendered, compiled, true
}

// allParameters returns the parameters of the file and the flags as TOML. The default file may be missing.
func (s templateSource) allParameters() (string, error) {
	file := *s.parameters
	if file == "" {
		file = strings.TrimSuffix(*s.file, ".toml") + ".parameters.toml"
	}
	values := map[string]any{}
	text, err := os.ReadFile(file)
	if err == nil {
		_, err = toml.Decode(string(text), &values)
	}
	if err != nil && (*s.parameters != "" || !errors.Is(err, os.ErrNotExist)) {
		return "", err
	}
	for key, value := range *s.overrides {
		values[key] = value
	}
	var out strings.Builder
	err = toml.NewEncoder(&out).Encode(values)
	return out.String(), err
}

func checkCommand(parent *kingpin.CmdClause) command {
	clause := parent.Command("check", "Check a template file and report every problem.")
	s := sourceFlags(clause)
	return command{clause: clause, run: func() int {
		_, compiled, ok := s.render()
		if !ok {
			return exitInvalid
		}
		fmt.Printf("template of team %s is valid: service %s, %d classes\n", compiled.Team, compiled.Service, len(compiled.Classes))
		return exitOK
	}}
}

func publishCommand(parent *kingpin.CmdClause, f flags) command {
	clause := parent.Command("publish", "Publish a template. It is in force in every daemon within seconds.")
	s := sourceFlags(clause)
	base := clause.Flag("base", "Version on which the change is based; by default the one in force.").Default("-1").Int64()
	note := clause.Flag("note", "Reason for the change.").String()
	return command{clause: clause, run: func() int {
		rendered, compiled, ok := s.render()
		if !ok {
			return exitInvalid
		}
		return publish(f, compiled.Team, rendered, *base, *note)
	}}
}

func publish(f flags, team citron.Team, rendered string, base int64, note string) int {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	log := stream.New(*f.platform, nil)
	version := citron.Version(base)
	if base < 0 {
		templates, err := edits.Load(ctx, log, timer.System{})
		if err != nil {
			return fail(exitFailed, "%v\ncheck --platform and whether the log is down", err)
		}
		current, _ := templates.Get(team)
		version = current.Version
	}
	change := edits.Change{Team: team, Base: version, Source: rendered, Operator: operator(), Note: note}
	latest, err := edits.Publish(ctx, log, timer.System{}, change)
	switch {
	case errors.Is(err, edits.ErrConflict):
		fmt.Print(diff(fmt.Sprintf("version %d, in force", latest.Version), latest.Source, "yours", rendered))
		return fail(exitConflict, "version %d by %s was published first; merge its changes above and publish again with --base %d",
			latest.Version, latest.Operator, latest.Version)
	case err != nil:
		return fail(exitFailed, "%v", err)
	}
	return show(f, published{Team: string(team), Version: uint64(latest.Version), Offset: int64(latest.Offset)},
		fmt.Sprintf("team %s is at version %d\n", team, latest.Version))
}

// published is the JSON output of the publish command.
type published struct {
	Team    string
	Version uint64
	Offset  int64
}

// version is the JSON output for one version of a template.
type version struct {
	Team     string
	Version  uint64
	Operator string
	Written  time.Time
	Note     string
	Source   string `json:",omitempty"`
}

func versionOf(t state.Template, source bool) version {
	v := version{
		Team: string(t.Team), Version: uint64(t.Version), Operator: t.Operator, Written: t.Written.UTC(), Note: t.Note,
	}
	if source {
		v.Source = t.Source
	}
	return v
}

func listCommand(parent *kingpin.CmdClause, f flags) command {
	clause := parent.Command("list", "List the templates in force.")
	return command{clause: clause, run: func() int {
		return withTemplates(f, func(t *state.Templates) int { return showVersions(f, t.All()) })
	}}
}

func historyCommand(parent *kingpin.CmdClause, f flags) command {
	clause := parent.Command("history", "List the versions of a team's template.")
	team := clause.Arg("team", "Team.").Required().String()
	return command{clause: clause, run: func() int {
		return withTemplates(f, func(t *state.Templates) int {
			history := t.History(citron.Team(*team))
			if len(history) == 0 {
				return fail(exitNotFound, "team %s has no template", *team)
			}
			return showVersions(f, history)
		})
	}}
}

func showCommand(parent *kingpin.CmdClause, f flags) command {
	clause := parent.Command("show", "Show a team's template.")
	team := clause.Arg("team", "Team.").Required().String()
	number := clause.Flag("version", "Version; by default the one in force.").Uint64()
	return command{clause: clause, run: func() int {
		return withTemplates(f, func(t *state.Templates) int {
			v, ok := findVersion(t, citron.Team(*team), *number)
			if !ok {
				return fail(exitNotFound, "team %s has no such version; see citronctl template history %s", *team, *team)
			}
			return show(f, versionOf(v, true), v.Source)
		})
	}}
}

func diffCommand(parent *kingpin.CmdClause, f flags) command {
	clause := parent.Command("diff", "Show the difference between the template in force and a file.")
	s := sourceFlags(clause)
	return command{clause: clause, run: func() int {
		rendered, compiled, ok := s.render()
		if !ok {
			return exitInvalid
		}
		return withTemplates(f, func(t *state.Templates) int {
			current, _ := t.Get(compiled.Team)
			fmt.Print(diff(fmt.Sprintf("version %d, in force", current.Version), current.Source, *s.file, rendered))
			return exitOK
		})
	}}
}

// withTemplates loads the templates from the log and passes them to run.
func withTemplates(f flags, run func(*state.Templates) int) int {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	templates, err := edits.Load(ctx, stream.New(*f.platform, nil), timer.System{})
	if err != nil {
		return fail(exitFailed, "%v\ncheck --platform and whether the log is down", err)
	}
	return run(templates)
}

// findVersion returns a version of a team's template; number 0 stands for the one in force.
func findVersion(t *state.Templates, team citron.Team, number uint64) (state.Template, bool) {
	if number == 0 {
		return t.Get(team)
	}
	for _, v := range t.History(team) {
		if uint64(v.Version) == number {
			return v, true
		}
	}
	return state.Template{}, false
}

func showVersions(f flags, all []state.Template) int {
	var versions []version
	rows := [][]string{{"TEAM", "VERSION", "OPERATOR", "WRITTEN", "NOTE"}}
	for _, t := range all {
		v := versionOf(t, false)
		versions = append(versions, v)
		rows = append(rows, []string{v.Team, fmt.Sprint(v.Version), v.Operator, v.Written.Format(time.RFC3339), v.Note})
	}
	return show(f, versions, table(rows))
}

// diff returns the unified diff between two texts.
func diff(nameA, a, nameB, b string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(a),
		B:        difflib.SplitLines(b),
		FromFile: nameA,
		ToFile:   nameB,
		Context:  3,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

// operator returns the user name that is recorded with a change.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
