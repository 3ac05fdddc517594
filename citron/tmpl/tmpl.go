// Package tmpl renders, checks and compiles team templates.
package tmpl

import (
	"bytes"
	"text/template"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/conf"
	"github.com/citroncross/citroncross/schema/prefs"
)

// Urgency is the scheduling priority of a class; calls with a lower value are served first.
type Urgency int

// Urgencies, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Batch
	urgencyEnd
)

// NumUrgencies is the number of urgencies.
const NumUrgencies = int(urgencyEnd)

// String returns the name that templates use.
func (u Urgency) String() string {
	return [...]string{"Urgent", "Normal", "Batch"}[u]
}

// Class is a kind of work of a team.
type Class struct {
	Name    citron.Class
	Urgency Urgency
	// Deadline is the default and maximum deadline of a call.
	Deadline time.Duration
	// RunBound is the maximum run time.
	RunBound time.Duration
	// Repeatable is set if a request may safely run more than once.
	Repeatable bool
}

// Quota limits the resources of the cell that a team may use. Zero means no limit.
type Quota struct {
	// SlotShare is the fraction of the service's slots, from 0 to 1.
	SlotShare    float64
	MilliCores   int64
	MemoryMb     int64
	Accelerators int64
}

// Template is a validated template.
type Template struct {
	Team    citron.Team
	Service citron.Service
	Quota   Quota
	Classes map[citron.Class]Class
}

// Render executes the text of a template with parameters, a TOML document whose keys the text refers to.
func Render(file, text, parameters string) (source string, problems conf.Problems) {
	values := map[string]any{}
	if _, err := toml.Decode(parameters, &values); err != nil {
		problems.Add(file, "(parameters)", "%v", err)
		return "", problems
	}
	t, err := template.New(file).Option("missingkey=error").Parse(text)
	if err != nil {
		problems.Add(file, "(template)", "%v", err)
		return "", problems
	}
	var out bytes.Buffer
	if err := t.Execute(&out, values); err != nil {
		problems.Add(file, "(parameters)", "%v; set it with --param or in the parameter file", err)
		return "", problems
	}
	return out.String(), nil
}

// Parse validates and compiles the rendered text of a template.
func Parse(file, source string) (compiled *Template, problems conf.Problems) {
	var raw prefs.Template
	problems = conf.Read(file, source, &raw)
	compiled = &Template{
		Team:    citron.Team(raw.GetTeam()),
		Service: citron.Service(raw.GetService()),
		Quota:   compileQuota(file, raw.GetQuota(), &problems),
		Classes: map[citron.Class]Class{},
	}
	if !validName(raw.GetTeam()) {
		problems.Add(file, "Team", "is %q, must be 1 to 63 of a-z, 0-9 and -", raw.GetTeam())
	}
	if !validName(raw.GetService()) {
		problems.Add(file, "Service", "is %q, must be 1 to 63 of a-z, 0-9 and -", raw.GetService())
	}
	if len(raw.GetClasses()) == 0 {
		problems.Add(file, "Classes", "is missing; add at least one [[Classes]]")
	}
	for _, c := range raw.GetClasses() {
		class := compileClass(file, c, &problems)
		if _, duplicate := compiled.Classes[class.Name]; duplicate {
			problems.Add(file, "Classes", "%q is defined twice", class.Name)
		}
		compiled.Classes[class.Name] = class
	}
	return compiled, problems
}

// MaxRunBound returns the largest run bound of all classes.
func (t *Template) MaxRunBound() (bound time.Duration) {
	for _, c := range t.Classes {
		bound = max(bound, c.RunBound)
	}
	return bound
}

const (
	// maxDeadlineMs is the maximum deadline and the maximum run bound of a class.
	maxDeadlineMs = 24 * 60 * 60 * 1000
	maxNameLength = 63
)

// compileClass validates a class and adds what is wrong to p.
func compileClass(file string, c *prefs.Class, p *conf.Problems) Class {
	key := "Classes." + c.GetName()
	if !validName(c.GetName()) {
		p.Add(file, key, "name must be 1 to 63 of a-z, 0-9 and -")
	}
	urgency, ok := map[string]Urgency{"Urgent": Urgent, "Normal": Normal, "Batch": Batch}[c.GetUrgency()]
	if !ok {
		p.Add(file, key+".Urgency", "is %q, must be Urgent, Normal or Batch", c.GetUrgency())
	}
	if c.GetDeadlineMs() < 1 || c.GetDeadlineMs() > maxDeadlineMs {
		p.Add(file, key+".DeadlineMs", "is %d, must be from 1 to %d milliseconds", c.GetDeadlineMs(), maxDeadlineMs)
	}
	if c.GetRunBoundMs() < 1 || c.GetRunBoundMs() > maxDeadlineMs {
		p.Add(file, key+".RunBoundMs", "is %d, must be from 1 to %d milliseconds", c.GetRunBoundMs(), maxDeadlineMs)
	}
	return Class{
		Name:       citron.Class(c.GetName()),
		Urgency:    urgency,
		Deadline:   time.Duration(c.GetDeadlineMs()) * time.Millisecond,
		RunBound:   time.Duration(c.GetRunBoundMs()) * time.Millisecond,
		Repeatable: c.GetRepeatable(),
	}
}

// compileQuota validates a quota and adds what is wrong to p.
func compileQuota(file string, q *prefs.Quota, p *conf.Problems) Quota {
	if q.GetSlotPercent() < 0 || q.GetSlotPercent() > 100 {
		p.Add(file, "Quota.SlotPercent", "is %d, must be from 0 (no limit) to 100 percent", q.GetSlotPercent())
	}
	for _, n := range []struct {
		key   string
		value int64
	}{
		{"Quota.Cores", q.GetCores()},
		{"Quota.MemoryMb", q.GetMemoryMb()},
		{"Quota.Accelerators", q.GetAccelerators()},
	} {
		if n.value < 0 {
			p.Add(file, n.key, "is %d, must be 0 (no limit) or more", n.value)
		}
	}
	return Quota{
		SlotShare:    float64(q.GetSlotPercent()) / 100,
		MilliCores:   q.GetCores() * 1000,
		MemoryMb:     q.GetMemoryMb(),
		Accelerators: q.GetAccelerators(),
	}
}

// validName reports whether name is 1 to 63 characters of a-z, 0-9 and -.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
