// Package edits publishes team templates on the platform's log, as operators do.
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
	// ErrConflict means that another change was published on the same base.
	ErrConflict = errors.New("another version was published first")
	// ErrOutcomeUnknown means that the log took no answer back; the change may still land.
	ErrOutcomeUnknown = errors.New("the log did not answer; the change may still land: list the version, then publish again on it")
)

const (
	// readBackAttempts is how often a change whose answer was lost is looked for.
	readBackAttempts = 10
	// readBackInterval is the pause between two looks.
	readBackInterval = 200 * time.Millisecond
)

// Change is one publication.
type Change struct {
	Team citron.Team
	// Base is the version that the operator started from.
	Base     citron.Version
	Source   string
	Operator string
	Note     string
}

// Load reads the templates in force.
func Load(ctx context.Context, log citron.Log, timer citron.Timer) (templates *state.Templates, err error) {
	defer func() { err = eris.Wrap(err, "load templates") }()
	templates = &state.Templates{}
	f := &feed.Follower{Log: log, Timer: timer, Stream: citron.StreamTemplates, Fold: templates}
	return templates, f.Load(ctx)
}

// Publish appends a change and returns the template that is in force behind it. The error is ErrConflict where
// that is another one.
func Publish(ctx context.Context, log citron.Log, timer citron.Timer, c Change) (now state.Template, err error) {
	defer func() { err = eris.Wrapf(err, "publish %s", c.Team) }()
	before, err := Load(ctx, log, timer)
	if err != nil {
		return now, err
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
			return now, err
		}
	}
	return confirmApplied(ctx, log, timer, c.Team, offset)
}

// confirmApplied tells whether the change at an offset came into force.
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

// readBack looks for an entry whose append had no answer.
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
