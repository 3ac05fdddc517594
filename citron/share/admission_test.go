package share

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/link"
)

func summary(epoch, number uint64, teams ...string) *link.ShareSummary {
	s := &link.ShareSummary{Epoch: epoch, Number: number, Daemons: 10}
	for _, t := range teams {
		s.Teams = append(s.Teams, &link.TeamBacklog{Team: t, WaitMs: 4000, Priority: 2})
	}
	return s
}

// admitted counts the admitted jobs of 100 that arrive at once.
func admitted(a *Admission, now time.Duration, team citron.Team) (n int) {
	for range 100 {
		if _, ok := a.Admit(now, citron.TeamTerms{Name: team, Weight: 20}, 2); ok {
			n++
		}
	}
	return n
}

// TestOnlyListedTeamsAreRefusedBeyondTheirRate guards against refusing teams that the holder does not list, or jobs within
// the daemon's part of the rate.
func TestOnlyListedTeamsAreRefusedBeyondTheirRate(t *testing.T) {
	var a Admission
	if got := admitted(&a, time.Hour, "flood"); got != 100 {
		t.Errorf("%d of 100 jobs admitted without a summary", got)
	}
	a.Apply(time.Hour, summary(1, 1, "flood"))
	if got := admitted(&a, time.Hour, "other"); got != 100 {
		t.Errorf("%d of 100 jobs admitted of a team that is not listed", got)
	}
	if got := admitted(&a, time.Hour+time.Second, "flood"); got != 2 {
		t.Errorf("%d of 100 jobs of a listed team admitted a second later, want 2 of the daemon's part of 20 a second", got)
	}
	if wait, ok := a.Admit(time.Hour+time.Second, citron.TeamTerms{Name: "flood", Weight: 20}, 2); ok || wait != 4*time.Second {
		t.Errorf("admitted %t, wait %v", ok, wait)
	}
	if _, ok := a.Admit(time.Hour+time.Second, citron.TeamTerms{Name: "flood", Weight: 20}, 0); !ok {
		t.Error("a job was refused though another priority is listed")
	}
}

// TestSummaryExpires guards against refusing jobs after the holder is lost or cut off.
func TestSummaryExpires(t *testing.T) {
	var a Admission
	a.Apply(time.Hour, summary(1, 1, "flood"))
	for after, want := range map[time.Duration]int{1500 * time.Millisecond: 1, 1501 * time.Millisecond: 100} {
		b := Admission{newest: a.newest, receivedAt: a.receivedAt}
		got := 0
		for range 100 {
			if _, ok := b.Admit(time.Hour+after, citron.TeamTerms{Name: "flood", Weight: 0.1}, 2); ok {
				got++
			}
		}
		if got != want {
			t.Errorf("%v after the summary: %d of 100 admitted, want %d", after, got, want)
		}
	}
}

// TestNewestSummaryApplies guards against summaries that a former holder sent, or that arrive late through another daemon.
func TestNewestSummaryApplies(t *testing.T) {
	var a Admission
	for _, step := range []struct {
		epoch, number uint64
		want          bool
	}{{2, 5, true}, {2, 5, false}, {2, 4, false}, {1, 9, false}, {2, 6, true}, {3, 1, true}} {
		if got := a.Apply(time.Hour, summary(step.epoch, step.number, "flood")); got != step.want {
			t.Errorf("summary %d of epoch %d applied: %t, want %t", step.number, step.epoch, got, step.want)
		}
	}
	if a.Apply(time.Hour, nil) {
		t.Error("a missing summary applied")
	}
	a.Apply(time.Hour, summary(3, 2))
	if got := admitted(&a, time.Hour, "flood"); got != 100 {
		t.Errorf("%d of 100 admitted after a summary without teams", got)
	}
}

// TestRetryIsSpread guards against refused callers that return at the same time, or before the backlog is cleared.
func TestRetryIsSpread(t *testing.T) {
	if from, to := RetryAfter(4*time.Second, 0), RetryAfter(4*time.Second, 1); from != 4*time.Second || to != 5*time.Second {
		t.Errorf("retry after %v to %v, want 4 s to 5 s", from, to)
	}
}
