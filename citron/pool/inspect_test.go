package pool

import (
	"strings"
	"testing"
)

func TestExplainSaysWhereTasksAre(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	second := newStep(1, 1)
	second.After = []int32{0}
	r.accept(newJob("j", newStep(2, 20), second))
	r.plan()
	tasks, ok := r.p.Explain(r.now, "j")
	if !ok || len(tasks) != 3 {
		t.Fatalf("%d tasks, known %t", len(tasks), ok)
	}
	if tasks[0].State != "running" || tasks[0].Worker != ids[0] || tasks[0].Run != 1 {
		t.Errorf("first task %+v", tasks[0])
	}
	if tasks[1].State != "waiting" || !strings.Contains(tasks[1].Reason, "workers usable 1, allowed now 1 with room for 0") {
		t.Errorf("second task %+v", tasks[1])
	}
	if !strings.Contains(tasks[2].Reason, "steps [0]") {
		t.Errorf("task of the next step %+v", tasks[2])
	}
	if _, ok := r.p.Explain(r.now, "unknown"); ok {
		t.Error("an unknown job is explained")
	}
	if q := r.p.Queues(); len(q) != 1 || q[0] != (QueueLoad{Queue: "q", OpenJobs: 1, WaitingTasks: 1, Running: 1}) {
		t.Errorf("queues %+v", q)
	}
	r.p.MarkUnresponsive(ids[0])
	if w := r.p.WorkerStatuses(r.now); len(w) != 1 || w[0].State != "silent" || w[0].Tasks != 1 || w[0].Used.MilliCores != 20_000 {
		t.Errorf("workers %+v", w)
	}
}
