package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/share"
	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

// refusals is what a daemon knows of the teams whose new jobs are to be refused. The zero value refuses nothing.
type refusals struct {
	mu        sync.Mutex
	admission share.Admission
	// published is the number of teams in the last summary that this daemon has sent as the holder.
	published int
	// listed are the teams that were last logged as refused.
	listed string
}

// Admit decides whether a new job of a team may be stored; nil means that it may. A job that is stored already, or of which
// this is not known, is left to Intake.Submit.
func (d *Daemon) Admit(ctx context.Context, job *work.Job) *citron.Refusal {
	config := d.config.Load()
	if config == nil || job.GetTeam() == "" {
		return nil
	}
	terms, ok := config.Terms(citron.Team(job.GetTeam()))
	if !ok {
		return nil
	}
	d.refusals.mu.Lock()
	wait, ok := d.refusals.admission.Admit(d.Timer.Now().Boot, terms, job.GetTerms().GetPriority())
	d.logRefusalsLocked("no summary of the holder has been received")
	d.refusals.mu.Unlock()
	if ok {
		return nil
	}
	if _, known, certain := d.Intake.Find(ctx, citron.JobID(job.GetID())); known || !certain {
		return nil
	}
	d.Stats.CountShareRefusal("backlog")
	return citron.NewNotRunRefusal(citron.RefusalBacklog, share.RetryAfter(wait, rand.Float64()),
		"the backlog of the team takes %d ms, after which the job would be worthless; its rate is %g jobs a second", wait.Milliseconds(), terms.Weight)
}

// applyShares applies the holder's summary and reports whether it is newer than the last one.
func (d *Daemon) applyShares(s *link.ShareSummary) (newer bool) {
	if s == nil {
		return false
	}
	d.refusals.mu.Lock()
	defer d.refusals.mu.Unlock()
	newer = d.refusals.admission.Apply(d.Timer.Now().Boot, s)
	d.logRefusalsLocked("the holder no longer lists any")
	return newer
}

// logRefusalsLocked logs a change of the teams whose jobs are refused. It requires refusals.mu.
func (d *Daemon) logRefusalsLocked(endReason string) {
	s := d.refusals.admission.Current(d.Timer.Now().Boot)
	var names []string
	for _, t := range s.GetTeams() {
		names = append(names, fmt.Sprintf("%s/%d", t.GetTeam(), t.GetPriority()))
	}
	listed := strings.Join(names, ",")
	if listed == d.refusals.listed {
		return
	}
	d.refusals.listed = listed
	if listed == "" {
		d.Log.Emit(event.TeamRefusalsEnded, event.Fields{"Reason": endReason})
		return
	}
	d.Log.Emit(event.TeamsRefused, event.Fields{"Teams": listed, "Epoch": s.GetEpoch(), "Number": s.GetNumber()})
}

// shareSummary returns the summary that this daemon sends as the holder; nil if it is not the holder or has listed no team
// in this epoch.
func (d *Daemon) shareSummary() *link.ShareSummary {
	p := d.heldPool()
	if p == nil {
		return nil
	}
	r := p.Refusals()
	if r.Listed == 0 {
		return nil
	}
	s := &link.ShareSummary{Epoch: uint64(p.Epoch), Number: r.Number, Daemons: int32(len(d.peers.Live()) + 1)}
	for _, t := range r.Teams {
		s.Teams = append(s.Teams, &link.TeamBacklog{Team: string(t.Team), WaitMs: t.Wait.Milliseconds(), Waiting: int32(t.Jobs), Priority: t.Priority})
	}
	return s
}

// publishShares sends a new summary to all live daemons if teams are listed, or were until the last one.
func (d *Daemon) publishShares() {
	s := d.shareSummary()
	if s == nil || !d.applyShares(s) {
		return
	}
	d.refusals.mu.Lock()
	ended := len(s.GetTeams()) == 0 && d.refusals.published == 0
	d.refusals.published = len(s.GetTeams())
	d.refusals.mu.Unlock()
	if ended {
		return
	}
	for _, t := range s.GetTeams() {
		d.Log.Emit(event.TeamBacklogFound, event.Fields{"Team": t.GetTeam(), "Priority": t.GetPriority(), "Waiting": t.GetWaiting(), "WaitMs": t.GetWaitMs()})
	}
	for _, vms := range publishGroups(d.peers.Live()) {
		d.notify(vms[0], notice{shares: s, forward: vms[1:]}, 0)
	}
}
