package main

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against findings that are missed, come one at a time, or show a key of a team.
func TestConfigCheckReportsAllFindings(t *testing.T) {
	for _, c := range []struct{ name, file, current string }{
		{"faulty", "testdata/faulty.json", ""},
		{"changed", "testdata/valid.json", "testdata/inforce.json"},
		{"not-higher", "testdata/inforce.json", "testdata/valid.json"},
		{"valid", "testdata/valid.json", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			findings, err := findConfig(c.file, c.current)
			if err != nil {
				t.Fatal(err)
			}
			text := findingsText(findings)
			body, err := marshal(findings)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(text+string(body), "secret") {
				t.Error("the findings show a key")
			}
			goldie.New(t).Assert(t, c.name, []byte(text))
			goldie.New(t).Assert(t, c.name+"-json", body)
		})
	}
}

// Guards against scripts that take an unreadable or faulty configuration for a valid one, or changes for faults.
func TestConfigCheckExitCodes(t *testing.T) {
	output := "json"
	f := flags{output: &output}
	for _, c := range []struct {
		file, current string
		want          int
	}{
		{"testdata/valid.json", "", 0},
		{"testdata/valid.json", "testdata/inforce.json", 0},
		{"testdata/inforce.json", "testdata/valid.json", 1},
		{"testdata/faulty.json", "", 1},
		{"testdata/unreadable.json", "", 2},
		{"testdata/missing.json", "", 2},
		{"testdata/valid.json", "testdata/missing.json", 2},
		{"testdata/valid.json", "testdata/unreadable.json", 2},
	} {
		if got := checkConfig(f, c.file, c.current); got != c.want {
			t.Errorf("exit code of %s against %q is %d, want %d", c.file, c.current, got, c.want)
		}
	}
}
