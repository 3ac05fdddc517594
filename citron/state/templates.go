package state

import (
	"sort"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/tmpl"
	"github.com/citroncross/citroncross/schema/record"
)

// historyLength is the number of versions of a template that are retained, the current one included.
const historyLength = 20

// Template is one version of a team's template, with its compiled form.
type Template struct {
	Team     citron.Team
	Version  citron.Version
	Source   string
	Operator string
	Note     string
	Written  time.Time
	Offset   citron.Offset
	Compiled *tmpl.Template
}

// Templates is the replicated state of every team's template. The zero value has no team.
type Templates struct {
	// Changed is called for each new current template; the lock is not held.
	Changed func(Template)

	mu      sync.RWMutex
	current map[citron.Team]Template
	history map[citron.Team][]Template
}

var _ citron.Fold = (*Templates)(nil)

// Apply applies one change. It is ignored unless its base is the current version and its source is valid.
func (t *Templates) Apply(offset citron.Offset, entry *record.Entry) {
	change := entry.GetTemplateChange()
	if change == nil {
		return
	}
	team := citron.Team(change.GetTeam())
	compiled, problems := tmpl.Parse(string(team), change.GetSource())
	if len(problems) > 0 || compiled.Team != team {
		return
	}
	current, _ := t.Get(team)
	if citron.Version(change.GetBaseVersion()) != current.Version {
		return
	}
	t.set(Template{
		Team:     team,
		Version:  current.Version + 1,
		Source:   change.GetSource(),
		Operator: change.GetOperator(),
		Note:     change.GetNote(),
		Written:  time.UnixMilli(entry.GetWrittenMs()),
		Offset:   offset,
		Compiled: compiled,
	})
}

// Restore merges a snapshot. Versions that are not newer than the current one are ignored.
func (t *Templates) Restore(snapshot *record.Snapshot) {
	for _, s := range snapshot.GetTemplates() {
		compiled, problems := tmpl.Parse(s.GetTeam(), s.GetSource())
		if len(problems) > 0 {
			continue
		}
		current, _ := t.Get(citron.Team(s.GetTeam()))
		if citron.Version(s.GetVersion()) <= current.Version {
			continue
		}
		t.set(Template{
			Team:     citron.Team(s.GetTeam()),
			Version:  citron.Version(s.GetVersion()),
			Source:   s.GetSource(),
			Operator: s.GetOperator(),
			Note:     s.GetNote(),
			Written:  time.UnixMilli(s.GetWrittenMs()),
			Offset:   citron.Offset(s.GetOffset()),
			Compiled: compiled,
		})
	}
}

// Snapshot returns every team's template with its history, oldest version first.
func (t *Templates) Snapshot() *record.Snapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	snapshot := &record.Snapshot{}
	for _, versions := range t.history {
		for _, v := range versions {
			snapshot.Templates = append(snapshot.Templates, v.Record())
		}
	}
	return snapshot
}

// Record converts the template to its stored form.
func (v Template) Record() *record.TemplateState {
	return &record.TemplateState{
		Team:      string(v.Team),
		Version:   uint64(v.Version),
		Source:    v.Source,
		Operator:  v.Operator,
		Note:      v.Note,
		WrittenMs: v.Written.UnixMilli(),
		Offset:    int64(v.Offset),
	}
}

// Get returns the current template of a team.
func (t *Templates) Get(team citron.Team) (Template, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.current[team]
	return v, ok
}

// History returns the retained versions of a team's template, oldest first.
func (t *Templates) History(team citron.Team) []Template {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return append([]Template(nil), t.history[team]...)
}

// All returns the current templates, sorted by team.
func (t *Templates) All() []Template {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Template, 0, len(t.current))
	for _, v := range t.current {
		all = append(all, v)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Team < all[j].Team })
	return all
}

// set makes v the current version of its template.
func (t *Templates) set(v Template) {
	t.mu.Lock()
	if t.current == nil {
		t.current = map[citron.Team]Template{}
		t.history = map[citron.Team][]Template{}
	}
	t.current[v.Team] = v
	versions := append(t.history[v.Team], v)
	if len(versions) > historyLength {
		versions = versions[len(versions)-historyLength:]
	}
	t.history[v.Team] = versions
	t.mu.Unlock()
	if t.Changed != nil {
		t.Changed(v)
	}
}
