package holder

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/view"
	"github.com/citroncross/citroncross/schema/work"
)

// Guards against a job that another team takes over by submitting its id at a daemon that does not know it yet: a holder that
// starts reads only the newest record of the id.
func TestContestedJobIsStoredAgain(t *testing.T) {
	h, s := newViewHolder(t)
	source := h.View.NewSource()
	h.JobSources, h.View.Contested = []*view.Source{source}, h.RestoreJob
	jobs := h.JobTails[0].Partition
	put := func(m proto.Message, key string) {
		t.Helper()
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		source.Apply(citron.KeyedBatch{Records: []citron.KeyedRecord{{Key: key, Value: value}}}, false)
		<-h.exchanges.Idle()
	}
	before := len(s.appended[jobs])
	put(&work.Job{ID: "k", Queue: "q", Team: "a", Payload: "first"}, pool.JobKey+"k")
	put(&work.Job{ID: "k", Queue: "q", Team: "a", Payload: "again"}, pool.JobKey+"k")
	if len(s.appended[jobs]) != before {
		t.Errorf("records %v appended for a job of one team", s.appended[jobs][before:])
	}
	put(&work.Job{ID: "k", Queue: "q", Team: "b", Payload: "second"}, pool.JobKey+"k")
	var stored work.Job
	if len(s.appended[jobs]) != before+1 || proto.Unmarshal(s.appended[jobs][before].Value, &stored) != nil || stored.GetTeam() != "a" || stored.GetPayload() != "first" {
		t.Errorf("records %v appended, want the first team's job", s.appended[jobs][before:])
	}
	put(&work.Progress{JobID: "k", State: work.State_STATE_COMPLETED, Epoch: 9}, pool.ProgressKey+"k")
	put(&work.Job{ID: "k", Queue: "q", Team: "b", Payload: "third"}, pool.JobKey+"k")
	if len(s.appended[jobs]) != before+1 {
		t.Errorf("records %v appended for an ended job", s.appended[jobs][before+1:])
	}
}
