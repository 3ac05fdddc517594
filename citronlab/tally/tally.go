// Package tally sums up where the time of jobs went, from the log lines of the daemons.
package tally

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Numbers of the events that are read, see docs/LOGS.md.
const (
	jobAccepted = 600
	jobEnded    = 608
	jobRefused  = 609
)

// Milliseconds is a length of time as log lines contain it.
type Milliseconds int64

// line holds the fields of a log line that are read.
type line struct {
	Event                                  int
	Job, Queue, Team                       string
	Outcome, Reason, Lateness              string
	AgeMs                                  Milliseconds
	UntilAskedMs, UntilPlacedMs, RunningMs Milliseconds
	Omitted                                int
}

// Key names a row: jobs of one queue with one outcome and, if they are completed, one lateness.
type Key struct {
	Queue, Team, Outcome string
}

// Row is where the time of the jobs of a key went, as means per job. The parts add up to the age.
type Row struct {
	Key
	Jobs int
	// Age is the time from the acceptance to the end.
	Age time.Duration
	// UntilAsked is the time until the policy service was asked, UntilPlaced from then until the tasks were placed, Running from
	// then until they were done.
	UntilAsked, UntilPlaced, Running time.Duration
	// Rest went to records, orders and reports, and to what a former holder did.
	Rest time.Duration
}

// Tally reads log lines. The zero value is empty.
type Tally struct {
	// teams are those of the jobs whose acceptance was read.
	teams   map[string]string
	sums    map[Key]*Row
	refused map[string]int
	omitted map[int]int
}

// Read adds the lines of one log. The logs of the daemons that accepted the jobs come first: they tell the teams. What precedes the first brace of a line is skipped, as are lines without a JSON object.
func (t *Tally) Read(r io.Reader) (err error) {
	defer func() { err = eris.Wrap(err, "read log") }()
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		_, text, found := strings.Cut(s.Text(), "{")
		var l line
		if found && json.Unmarshal([]byte("{"+text), &l) == nil {
			t.add(&l)
		}
	}
	return s.Err()
}

// add adds one line.
func (t *Tally) add(l *line) {
	if t.sums == nil {
		t.teams, t.sums, t.refused, t.omitted = map[string]string{}, map[Key]*Row{}, map[string]int{}, map[int]int{}
	}
	switch {
	case l.Omitted > 0:
		t.omitted[l.Event] += l.Omitted
	case l.Event == jobRefused:
		t.refused[l.Reason]++
	case l.Event == jobAccepted:
		t.teams[l.Job] = l.Team
	case l.Event == jobEnded:
		t.addJob(l)
	}
}

// addJob adds the line of a job's end.
func (t *Tally) addJob(l *line) {
	k := Key{l.Queue, t.teams[l.Job], strings.ToLower(strings.TrimPrefix(l.Outcome, "STATE_"))}
	if k.Outcome == "completed" {
		k.Outcome = l.Lateness
	}
	sum := t.sums[k]
	if sum == nil {
		sum = &Row{Key: k}
		t.sums[k] = sum
	}
	sum.Jobs++
	sum.Age += l.AgeMs.duration()
	sum.UntilAsked += l.UntilAskedMs.duration()
	sum.UntilPlaced += l.UntilPlacedMs.duration()
	sum.Running += l.RunningMs.duration()
}

// Rows returns the ended jobs by queue and outcome and, if byTeam is set, by team.
func (t *Tally) Rows(byTeam bool) (rows []Row) {
	merged := map[Key]*Row{}
	for k, sum := range t.sums {
		if !byTeam {
			k.Team = ""
		}
		if merged[k] == nil {
			merged[k] = &Row{Key: k}
		}
		merged[k].merge(sum)
	}
	for _, r := range merged {
		rows = append(rows, r.mean())
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Outcome, b.Outcome))
	})
	return rows
}

// merge adds the sums of other.
func (r *Row) merge(other *Row) {
	r.Jobs += other.Jobs
	r.Age += other.Age
	r.UntilAsked += other.UntilAsked
	r.UntilPlaced += other.UntilPlaced
	r.Running += other.Running
}

// mean returns the means of sums.
func (r *Row) mean() Row {
	n := time.Duration(r.Jobs)
	m := Row{Key: r.Key, Jobs: r.Jobs, Age: r.Age / n, UntilAsked: r.UntilAsked / n, UntilPlaced: r.UntilPlaced / n, Running: r.Running / n}
	m.Rest = m.Age - m.UntilAsked - m.UntilPlaced - m.Running
	return m
}

func (m Milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Write writes the rows, what was refused, and how many of the lines that count were left out by the daemons.
func (t *Tally) Write(w io.Writer, byTeam bool) (err error) {
	defer func() { err = eris.Wrap(err, "write tally") }()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Queue\tTeam\tOutcome\tJobs\tAge\tUntilAsked\tUntilPlaced\tRunning\tRest")
	for _, r := range t.Rows(byTeam) {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d", r.Queue, r.Team, r.Outcome, r.Jobs)
		for _, d := range []time.Duration{r.Age, r.UntilAsked, r.UntilPlaced, r.Running, r.Rest} {
			fmt.Fprintf(table, "\t%v", d.Round(time.Millisecond))
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(t.refused)) {
		fmt.Fprintf(w, "refused: %d, %s\n", t.refused[reason], reason)
	}
	for _, number := range []int{jobAccepted, jobEnded, jobRefused} {
		if t.omitted[number] > 0 {
			fmt.Fprintf(w, "lines left out of event %d: %d\n", number, t.omitted[number])
		}
	}
	return nil
}
