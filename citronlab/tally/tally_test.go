package tally

import (
	"bytes"
	"strings"
	"testing"
)

// log is that of three completed jobs, a failed and a refused one.
const log = `  0.7194 vm-1 {"Event":600,"Job":"a","Queue":"quick","Team":"north"}
{"Event":600,"Job":"b","Queue":"quick","Team":"south"}
{"Event":600,"Job":"c","Queue":"quick","Team":"south"}
{"Event":608,"Job":"a","Queue":"quick","Outcome":"STATE_COMPLETED","Lateness":"InTime","AgeMs":1000,"UntilAskedMs":10,"UntilPlacedMs":50,"RunningMs":640}
{"Event":608,"Job":"b","Queue":"quick","Outcome":"STATE_COMPLETED","Lateness":"InTime","AgeMs":2000,"UntilAskedMs":30,"UntilPlacedMs":150,"RunningMs":1360}
{"Event":608,"Job":"c","Queue":"quick","Outcome":"STATE_COMPLETED","Lateness":"TooLate","AgeMs":9000,"UntilAskedMs":8000,"UntilPlacedMs":300,"RunningMs":700}
{"Event":608,"Job":"d","Queue":"sweep","Outcome":"STATE_FAILED","Lateness":"InTime","AgeMs":100}
{"Event":609,"Queue":"quick","Reason":"backlog"}
{"Event":608,"Omitted":7}
{"Event":601,"Omitted":900}
not a line of a daemon
`

const want = `Queue  Team  Outcome  Jobs  Age    UntilAsked  UntilPlaced  Running  Rest
quick        InTime   2     1.5s   20ms        100ms        1s       380ms
quick        TooLate  1     9s     8s          300ms        700ms    0s
sweep        failed   1     100ms  0s          0s           0s       100ms
refused: 1, backlog
lines left out of event 608: 7
`

// TestPartsAddUpToTheAge guards against time that no column shows, and against jobs that are left out silently.
func TestPartsAddUpToTheAge(t *testing.T) {
	var tally Tally
	if err := tally.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := tally.Write(&got, false); err != nil {
		t.Fatal(err)
	}
	if got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
	rows := tally.Rows(true)
	if len(rows) != 4 {
		t.Errorf("%d rows by team, want 4", len(rows))
	}
	for _, r := range rows {
		if sum := r.UntilAsked + r.UntilPlaced + r.Running + r.Rest; sum != r.Age {
			t.Errorf("the parts of %+v add up to %v", r, sum)
		}
	}
}
