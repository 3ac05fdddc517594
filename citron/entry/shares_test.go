package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/intake"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/stats"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

// TestRefusedJobs guards against refusing a job that is stored already, jobs without a team, and jobs after the holder has
// been silent for a time.
func TestRefusedJobs(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	d := &Daemon{Timer: clock, Stats: stats.New(), Log: event.New(io.Discard, "info", "text", "a")}
	d.Intake = &intake.Service{View: &d.view, Timer: clock, ProgressTails: func() []*tail.Tail { return nil }}
	d.config.Store(&citron.Config{TeamsInForce: true, Teams: []citron.TeamTerms{{Name: "flood", Weight: 10}}})
	d.applyNotices(&link.NotifyRequest{Shares: &link.ShareSummary{Epoch: 1, Number: 1, Daemons: 10, Teams: []*link.TeamBacklog{{Team: "flood", WaitMs: 8000}}}})
	submit := func(id, team string) *citron.Refusal {
		return d.Admit(context.Background(), &work.Job{ID: id, Team: team})
	}
	if refused := submit("first", "flood"); refused != nil {
		t.Errorf("a job within the rate was refused: %v", refused)
	}
	refused := submit("second", "flood")
	if refused == nil || refused.Status() != http.StatusTooManyRequests || refused.RetryAfter < 8*time.Second || refused.RetryAfter > 10*time.Second {
		t.Errorf("a job beyond the rate: %+v", refused)
	}
	value, err := proto.Marshal(&work.Job{ID: "stored", Team: "flood"})
	if err != nil {
		t.Fatal(err)
	}
	d.view.Apply(citron.KeyedRecord{Key: pool.JobKey + "stored", Value: value})
	for id, team := range map[string]string{"stored": "flood", "public": "", "unknown": "gone"} {
		if refused := submit(id, team); refused != nil {
			t.Errorf("job %s of team %q was refused: %v", id, team, refused)
		}
	}
	clock.Advance(1600 * time.Millisecond)
	for n := range 5 {
		if refused := submit(fmt.Sprint("late", n), "flood"); refused != nil {
			t.Errorf("a job was refused 1.6 s after the last summary: %v", refused)
		}
	}
}

// TestSummaryIsForwarded guards against daemons that only hear of a backlog with their next ping.
func TestSummaryIsForwarded(t *testing.T) {
	s := &link.ShareSummary{Epoch: 1, Number: 1}
	request := notifyRequest([]notice{
		{state: &link.JobState{JobID: "j"}, forward: []citron.VMName{"b", "c"}},
		{shares: s, forward: []citron.VMName{"b", "c"}},
	})
	if request.GetShares() != s || len(request.GetStates()) != 1 || fmt.Sprint(request.GetForward()) != "[b c]" {
		t.Errorf("request %v", request)
	}
	if plain := notifyRequest([]notice{{state: &link.JobState{JobID: "j"}}}); plain.GetShares() != nil {
		t.Error("a message without a summary has one")
	}
}
