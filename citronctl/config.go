package main

import (
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citroncross/citroncross/platform"
)

// Exit codes of config check, for scripts: exitOK if there is no finding other than changes.
const (
	exitFindings   = 1
	exitUnreadable = 2
)

// configCommands returns the commands for the configuration of the users' platform.
func configCommands(app *kingpin.Application, f flags) []command {
	config := app.Command("config", "Check a configuration of the users' platform before it is sent.")
	clause := config.Command("check", "Report everything that is wrong with a configuration. Exits 0 if nothing is, 1 if something is, 2 if a file cannot be read.")
	file := clause.Arg("file", "JSON file with the configuration.").Required().String()
	current := clause.Flag("current", "JSON file with the version in force; differences from it are listed as changes.").String()
	return []command{{clause: clause, run: func() int { return checkConfig(f, *file, *current) }}}
}

func checkConfig(f flags, file, current string) int {
	findings, err := findConfig(file, current)
	if err != nil {
		return fail(exitUnreadable, "%v", err)
	}
	if code := show(f, findings, findingsText(findings)); code != exitOK {
		return code
	}
	if slices.ContainsFunc(findings, func(f platform.Finding) bool { return f.Level != platform.FindingChange }) {
		return exitFindings
	}
	return exitOK
}

// findConfig reads a configuration and returns the findings about it. Current is empty if there is nothing to compare.
func findConfig(file, current string) (findings []platform.Finding, err error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if findings, err = platform.CheckConfig(file, raw); err != nil || current == "" {
		return findings, err
	}
	inForce, err := os.ReadFile(current)
	if err != nil {
		return nil, err
	}
	changes, err := platform.CompareConfigs(file, raw, inForce)
	return append(findings, changes...), err
}

func findingsText(findings []platform.Finding) string {
	if len(findings) == 0 {
		return "no findings\n"
	}
	rows := [][]string{{"LEVEL", "FILE", "KEY", "REASON"}}
	for _, f := range findings {
		rows = append(rows, []string{string(f.Level), f.File, f.Key, f.Reason})
	}
	return table(rows)
}
