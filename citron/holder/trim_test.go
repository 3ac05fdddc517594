package holder

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/tail"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/work"
)

// After a restart of all daemons each one reads the newest record of every job. The payloads of thousands of ended jobs took
// seconds over a thin link, in which no job was served.
func TestPayloadsOfEndedJobsAreRemovedFromTheStore(t *testing.T) {
	h, s := newViewHolder(t)
	clock := h.Timer
	sources := []*view.Source{h.View.NewSource(), h.View.NewSource()}
	jobs := citron.Partition{Topic: testJobs}
	other := citron.Partition{Topic: testJobs, Number: 1}
	h.JobSources = sources
	h.JobTails = append(h.JobTails, h.JobTails[0])
	h.JobTails[1] = &tail.Tail{Store: s, Partition: other, Timer: timer.System{}, Apply: sources[1].Apply}
	spec, err := proto.Marshal(&work.Job{
		ID: "k", Queue: "q", Team: "team", AcceptedMs: 7, AcceptedBy: "front", Payload: "long", Steps: []*work.Step{{Tasks: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	full := citron.KeyedRecord{Key: pool.JobKey + "k", Value: spec}
	sources[1].Apply(citron.KeyedBatch{Records: []citron.KeyedRecord{full}}, false)
	before := len(s.appended[jobs])
	h.trimJobs([]citron.JobID{"k", "unknown"})
	<-h.exchanges.Idle()
	if len(s.appended[jobs]) != before {
		t.Errorf("records %v appended to a partition that does not hold the job", s.appended[jobs][before:])
	}
	var stored work.Job
	if len(s.appended[other]) != 1 || proto.Unmarshal(s.appended[other][0].Value, &stored) != nil {
		t.Fatalf("records %v, want one readable", s.appended[other])
	}
	want := &work.Job{ID: "k", Queue: "q", Team: "team", AcceptedMs: 7, AcceptedBy: "front", PayloadOmitted: true}
	if !proto.Equal(&stored, want) {
		t.Errorf("stored job %v, want %v", &stored, want)
	}
	// A daemon that starts reads only the new record. It shows the job's state and could never start it.
	fresh := &view.View{}
	fresh.Apply(s.appended[other][0])
	e, _ := fresh.Get("k")
	for _, progress := range []*work.Progress{{JobID: "k", State: work.State_STATE_COMPLETED}, nil} {
		p := pool.New(pool.Options{}, 9, nil)
		p.Accept(clock.Now(), e.Spec, progress)
		if plan, err := p.Plan(clock.Now()); err != nil || len(plan.Starts)+len(plan.Records) != 0 {
			t.Errorf("starts %v, records %v, error %v for an ended job with progress %v; want none", plan.Starts, plan.Records, err, progress)
		}
	}
}
