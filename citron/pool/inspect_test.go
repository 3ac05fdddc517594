package pool

import (
	"strings"
	"testing"
)

func TestExplainListsTasks(t *testing.T) {
	r := newRig(t)
	ids := r.workers(1)
	second := newStep(1, 1)
	second.After = []int32{0}
	r.accept(newJob("j", newStep(2, 20), second))
	r.plan()
	tasks, ok := r.p.Explain(r.now, "j")
	if !ok || len(tasks) != 3 {
		t.Fatalf("%d tasks, ok %t, want 3 tasks", len(tasks), ok)
	}
	if tasks[0].State != "running" || tasks[0].Worker != ids[0] || tasks[0].Run != 1 {
		t.Errorf("first task %+v, want run 1 running on %s", tasks[0], ids[0])
	}
	if tasks[1].State != "waiting" || !strings.Contains(tasks[1].Reason, "workers usable 1, allowed now 1 with room for 0") {
		t.Errorf("second task %+v, want it waiting because no allowed worker has enough free capacity", tasks[1])
	}
	if !strings.Contains(tasks[2].Reason, "steps [0]") {
		t.Errorf("task of the second step %+v, want it waiting for step 0", tasks[2])
	}
	if _, ok := r.p.Explain(r.now, "unknown"); ok {
		t.Error("Explain returned ok for an unknown job")
	}
	if q := r.p.Queues(); len(q) != 1 || q[0] != (QueueLoad{Queue: "q", OpenJobs: 1, WaitingTasks: 1, Running: 1}) {
		t.Errorf("queues %+v, want q with one open job, one waiting and one running task", q)
	}
	r.p.MarkUnresponsive(ids[0])
	if w := r.p.WorkerStatuses(r.now); len(w) != 1 || w[0].State != "silent" || w[0].Tasks != 1 || w[0].Used.MilliCores != 20_000 {
		t.Errorf("workers %+v, want one silent worker with one task of 20000 millicores", w)
	}
}
