// Package edits reads and publishes team templates on the platform's log.
package edits

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/feed"
	"github.com/citroncross/citroncross/citron/state"
	"github.com/citroncross/citroncross/schema/record"
)

var (
	// ErrConflict means that another change with the same base version was published first.
	ErrConflict = errors.New("another version was published first")
	// ErrOutcomeUnknown means that the log did not answer; the change may still be appended.
	ErrOutcomeUnknown = errors.New("the log did not answer and the change may still be applied: list the current version, then publish again based on it")
)

const (
	// readBackAttempts is how many times the log is searched for a change whose append was not answered.
	readBackAttempts = 10
	// readBackInterval is the pause between two searches.
	readBackInterval = 200 * time.Millisecond
)

// Change is a new version of a team's template.
type Change struct {
	Team citron.Team
	// Base is the version that the change is based on; 0 for a new team.
	Base     citron.Version
	Source   string
	Operator string
	Note     string
}

// Load reads the current templates and their history.
func Load(ctx context.Context, log citron.Log, timer citron.Timer) (templates *state.Templates, err error) {
	defer func() { err = eris.Wrap(err, "load templates") }()
	templates = &state.Templates{}
	f := &feed.Follower{Log: log, Timer: timer, Stream: citron.StreamTemplates, Fold: templates}
	return templates, f.Load(ctx)
}

// Publish appends a change and returns the team's current template. The error is ErrConflict if that is not the change.
func Publish(ctx context.Context, log citron.Log, timer citron.Timer, c Change) (latest state.Template, err error) {
	defer func() { err = eris.Wrapf(err, "publish %s", c.Team) }()
	before, err := Load(ctx, log, timer)
	if err != nil {
		return latest, err
	}
	if current, _ := before.Get(c.Team); current.Version != c.Base {
		return current, ErrConflict
	}
	entry := &record.Entry{
		ID:        uuid.NewString(),
		Writer:    c.Operator,
		WrittenMs: timer.Now().Wall.UnixMilli(),
		Body: &record.Entry_TemplateChange{TemplateChange: &record.TemplateChange{
			Team:        string(c.Team),
			BaseVersion: uint64(c.Base),
			Source:      c.Source,
			Operator:    c.Operator,
			Note:        c.Note,
		}},
	}
	offset, err := log.Append(ctx, citron.StreamTemplates, []*record.Entry{entry})
	if err != nil {
		if offset, err = readBack(ctx, log, timer, entry.GetID()); err != nil {
			return latest, err
		}
	}
	return confirmApplied(ctx, log, timer, c.Team, offset)
}

// confirmApplied returns the version that the change at an offset created, or the current version and ErrConflict if the
// change was ignored.
func confirmApplied(ctx context.Context, log citron.Log, timer citron.Timer, team citron.Team, offset citron.Offset) (state.Template, error) {
	after, err := Load(ctx, log, timer)
	if err != nil {
		return state.Template{}, err
	}
	for _, v := range after.History(team) {
		if v.Offset == offset {
			return v, nil
		}
	}
	current, _ := after.Get(team)
	return current, ErrConflict
}

// readBack searches the log for an entry whose append was not answered.
func readBack(ctx context.Context, log citron.Log, timer citron.Timer, id string) (citron.Offset, error) {
	for range readBackAttempts {
		if offset, found := findEntry(ctx, log, id); found {
			return offset, nil
		}
		due, stop := timer.After(readBackInterval)
		select {
		case <-due:
		case <-ctx.Done():
			stop()
			return 0, ErrOutcomeUnknown
		}
	}
	return 0, ErrOutcomeUnknown
}

// findEntry returns the offset of the entry with an id. It returns false also if the log cannot be read.
func findEntry(ctx context.Context, log citron.Log, id string) (citron.Offset, bool) {
	var from citron.Offset
	for {
		batch, err := log.Read(ctx, citron.StreamTemplates, from, 0)
		if err != nil || len(batch.Entries) == 0 {
			return 0, false
		}
		for n, e := range batch.Entries {
			if e.GetID() == id {
				return batch.Start + citron.Offset(n), true
			}
		}
		from = batch.Start + citron.Offset(len(batch.Entries))
	}
}
