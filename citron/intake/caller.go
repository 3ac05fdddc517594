package intake

import (
	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// Caller is who sends a request. The zero value may use every job.
type Caller struct {
	// Team is the team of the caller's key; empty without a key.
	Team citron.Team
	// Restricted is set while teams are in force: the caller may use the jobs of its team and those without a team.
	Restricted bool
}

// MayUse reports whether the caller may see and cancel a job.
func (c Caller) MayUse(job *work.Job) bool {
	return !c.Restricted || job.GetTeam() == "" || job.GetTeam() == string(c.Team)
}

// refuseID refuses to submit a job under the id of one that the caller may not use.
func (c Caller) refuseID(job *work.Job) *citron.Refusal {
	if c.MayUse(job) {
		return nil
	}
	return citron.NewNotRunRefusal(citron.RefusalOtherTeamsJob, 0, "the id %q belongs to a job of another team; submit the job under another id", job.GetID())
}

// For returns the service for the requests of a caller.
func (s *Service) For(c Caller) *Service {
	restricted := *s
	restricted.Caller = c
	return &restricted
}

// refuseUnknown refuses a request for a job that is not known. Jobs of other teams get the same answer, so that it does not
// tell whether they exist.
func refuseUnknown(id citron.JobID) *citron.Refusal {
	return citron.NewNotRunRefusal(citron.RefusalUnknownJob, 0, "job %q is not known; ended jobs are forgotten after a time", id)
}
