package queue

import (
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
)

const (
	shortRun = 250 * time.Millisecond
	longRun  = 2 * time.Second
)

func item(team citron.Team, urgency tmpl.Urgency, expected time.Duration) *Item {
	return &Item{Team: team, Urgency: urgency, LatestStart: time.Hour, Expected: expected}
}

// Less urgent calls must get about 1/creditDivisor of the slot time while urgent calls wait.
func TestLessUrgentWorkGetsItsShareOfSlotTime(t *testing.T) {
	var q Queue
	for range 2000 {
		q.Push(item("t", tmpl.Urgent, shortRun))
		q.Push(item("t", tmpl.Batch, longRun))
	}
	var total, batch time.Duration
	for range 1500 {
		i := q.Pop(8)
		q.Ended(i.Team)
		total += i.Expected
		if i.Urgency == tmpl.Batch {
			batch += i.Expected
		}
	}
	share := float64(batch) / float64(total)
	if share < 0.04 || share > 0.08 {
		t.Errorf("batch calls got %.3f of the slot time, want 0.04 to 0.08 (about 1/16)", share)
	}
}

// A call of a team that uses its full share must wait behind a call of a team that uses less.
func TestTeamThatUsesItsShareWaits(t *testing.T) {
	var q Queue
	q.SetShare("greedy", 0.5)
	q.SetShare("modest", 0.5)
	for range 4 {
		q.Started("greedy")
	}
	q.Push(item("greedy", tmpl.Urgent, shortRun))
	q.Push(item("modest", tmpl.Urgent, shortRun))
	if first := q.Pop(8); first.Team != "modest" {
		t.Errorf("call of team %s was served first, want team modest", first.Team)
	}
}

func TestExpiredItemsLeave(t *testing.T) {
	var q Queue
	late := item("t", tmpl.Normal, shortRun)
	late.LatestStart = time.Second
	q.Push(late)
	q.Push(item("t", tmpl.Normal, shortRun))
	if out := q.RemoveExpired(2 * time.Second); len(out) != 1 || out[0] != late || q.Len() != 1 {
		t.Errorf("removed %v and %d items remain, want the one late item removed and 1 remaining", out, q.Len())
	}
}

func BenchmarkPushPop(b *testing.B) {
	var q Queue
	for n := range 1000 {
		q.Push(item("t", tmpl.Urgency(n%tmpl.NumUrgencies), shortRun))
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(item("t", tmpl.Urgent, shortRun))
		q.Ended(q.Pop(400).Team)
	}
}
