package front

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/jobs"
	"github.com/citroncross/citroncross/citron/serve"
	"github.com/citroncross/citroncross/schema/admin"
	"github.com/citroncross/citroncross/schema/peer"
	"github.com/citroncross/citroncross/schema/record"
)

// jobTimeout limits one job request.
const jobTimeout = 5 * time.Second

// decodedPerByte is how often a byte of a job's body is held while it is decoded.
const decodedPerByte = 4

// submit accepts a job. It is idempotent: the same request id names the same job.
func (f *Front) submit(w http.ResponseWriter, r *http.Request) {
	team := pathvar.Vars(r)["team"]
	id, refusal := readRequestID(r)
	if refusal != nil {
		f.refuse(w, refusal)
		return
	}
	w.Header().Set(HeaderRequestID, string(id))
	spec, refusal := f.readSpec(r, team)
	if refusal == nil {
		refusal = f.Jobs.Check(spec)
	}
	if refusal != nil {
		f.Stats.CountRefusal(refusal.Number)
		f.refuse(w, refusal)
		return
	}
	f.relay(w, r, http.StatusAccepted, &peer.RelayRequest{
		Verb:  peer.RelayVerb_RELAY_VERB_SUBMIT,
		JobID: team + "." + string(id),
		Spec:  spec,
	})
}

// readSpec reads the specification of a job from the request's body.
func (f *Front) readSpec(r *http.Request, team string) (*record.JobSpec, *citron.Refusal) {
	body, refusal := f.readBody(r)
	if refusal != nil {
		return nil, refusal
	}
	release, err := serve.Reserve(r, decodedPerByte*int64(len(body)))
	if err != nil {
		return nil, noMemory()
	}
	defer release()
	var b admin.JobBody
	if err := protojson.Unmarshal(body, &b); err != nil {
		return nil, citron.NewNotRunRefusal(citron.RefusalBadBody, 0, "the body is no job: %v; see docs/CALLERS.md", err)
	}
	spec := &record.JobSpec{
		Team:         team,
		Class:        b.GetClass(),
		Tasks:        max(b.GetTasks(), 1),
		Gang:         b.GetGang(),
		Service:      b.GetService(),
		MilliCores:   b.GetMilliCores(),
		MemoryMb:     b.GetMemoryMb(),
		Accelerators: b.GetAccelerators(),
		RunBoundMs:   b.GetRunBoundMs(),
		Payload:      b.GetPayload(),
	}
	f.applyClass(spec)
	return spec, nil
}

// applyClass sets the fields that come from the job's class; a run bound in the body overrides that of the class.
func (f *Front) applyClass(spec *record.JobSpec) {
	t, ok := f.Templates.Get(citron.Team(spec.GetTeam()))
	if !ok {
		return
	}
	class := t.Compiled.Classes[citron.Class(spec.GetClass())]
	spec.Repeatable = class.Repeatable
	if spec.GetRunBoundMs() == 0 {
		spec.RunBoundMs = class.RunBound.Milliseconds()
	}
}

func (f *Front) get(w http.ResponseWriter, r *http.Request) {
	f.relay(w, r, http.StatusOK, jobRequest(r, peer.RelayVerb_RELAY_VERB_GET))
}

func (f *Front) cancel(w http.ResponseWriter, r *http.Request) {
	f.relay(w, r, http.StatusAccepted, jobRequest(r, peer.RelayVerb_RELAY_VERB_CANCEL))
}

// jobRequest returns a request about the job in the URL.
func jobRequest(r *http.Request, verb peer.RelayVerb) *peer.RelayRequest {
	vars := pathvar.Vars(r)
	return &peer.RelayRequest{Verb: verb, JobID: vars["team"] + "." + vars["id"]}
}

// relay sends a job request to the owner of the job's pool and writes its reply.
func (f *Front) relay(w http.ResponseWriter, r *http.Request, status int, request *peer.RelayRequest) {
	bounded, cancel := context.WithTimeout(r.Context(), jobTimeout)
	defer cancel()
	reply, refusal := f.Jobs.Handle(bounded, request)
	if refusal != nil {
		f.Stats.CountRefusal(refusal.Number)
		f.refuse(w, refusal)
		return
	}
	writeJSON(w, status, jobView(reply.GetJob()))
}

// jobView returns a job as its caller sees it. The caller's job id is the part of JobID after the team and the dot. The
// state is the first in the list below that any task has.
func jobView(j *record.JobState) *admin.JobView {
	v := &admin.JobView{JobID: j.GetJobID()[len(j.GetSpec().GetTeam())+1:]}
	counts := map[string]int{}
	for _, t := range j.GetTasks() {
		text := jobs.PhaseText(t.GetPhase())
		counts[text]++
		v.Tasks = append(v.Tasks, &admin.TaskView{State: text, Attempt: t.GetAttempt(), Worker: t.GetWorker(), Result: t.GetResult()})
	}
	for _, text := range []string{"Running", "Waiting", "Unknown", "Failed", "Cancelled", "Done"} {
		if counts[text] > 0 {
			v.State = text
			break
		}
	}
	return v
}
