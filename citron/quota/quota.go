// Package quota counts what the tasks of each team use on all workers together, and how many more each team may start.
// It performs no I/O and reads no clock.
package quota

import "github.com/citroncross/citroncross/citron"

// unknownOverage is the fraction of a maximum by which the known and the unknown runs of a team together may exceed it. It is
// the overshoot that the customers allow, the bound quota_overage of the platform. Without it a team near its maximum starts
// nothing while a single run is unknown.
const unknownOverage = 0.1

// Counter implements citron.Quota. The zero value is a counter without terms, which limits nothing.
type Counter struct {
	// maxima holds the maximum of each team in the terms. It keeps those of teams that later terms no longer name.
	maxima  map[citron.Team]citron.Capacity
	used    map[citron.Team]citron.Capacity
	unknown citron.Capacity
}

var _ citron.Quota = (*Counter)(nil)

// SetTerms replaces the terms of all teams; nil means that teams are not in force. A team that the terms no longer name keeps
// its last maximum, so that its accepted jobs still end.
func (c *Counter) SetTerms(terms []citron.TeamTerms) {
	if terms == nil {
		c.maxima = nil
		return
	}
	if c.maxima == nil {
		c.maxima = map[citron.Team]citron.Capacity{}
	}
	for _, t := range terms {
		c.maxima[t.Name] = t.Max
	}
}

// SetUnknown sets the capacity that runs of unknown teams may use. It counts against every team with a maximum.
func (c *Counter) SetUnknown(unknown citron.Capacity) {
	c.unknown = unknown
}

// Take counts one more task on a worker, also beyond the maximum.
func (c *Counter) Take(team citron.Team, need citron.Capacity) {
	if c.used == nil {
		c.used = map[citron.Team]citron.Capacity{}
	}
	c.used[team] = c.used[team].Add(need)
}

// Return counts one task less.
func (c *Counter) Return(team citron.Team, need citron.Capacity) {
	left := c.used[team].Sub(need)
	if left == (citron.Capacity{}) {
		delete(c.used, team)
		return
	}
	c.used[team] = left
}

// Used returns what the team's tasks use.
func (c *Counter) Used(team citron.Team) citron.Capacity {
	return c.used[team]
}

// Maximum returns the maximum that applies to a team. Ok is false if the team has none.
func (c *Counter) Maximum(team citron.Team) (maximum citron.Capacity, ok bool) {
	maximum, ok = c.maxima[team]
	return maximum, ok && maximum != (citron.Capacity{})
}

// Fits returns how many more tasks of a size the team may start, at most limit. A team above its maximum in any dimension
// may start none.
func (c *Counter) Fits(team citron.Team, need citron.Capacity, limit int) int {
	maximum, ok := c.Maximum(team)
	if !ok {
		return limit
	}
	used := c.used[team]
	limit = min(limit, copies(maximum.MilliCores, used.MilliCores, c.unknown.MilliCores, need.MilliCores))
	limit = min(limit, copies(maximum.MemoryMb, used.MemoryMb, c.unknown.MemoryMb, need.MemoryMb))
	return min(limit, copies(maximum.Accelerators, used.Accelerators, c.unknown.Accelerators, need.Accelerators))
}

// Above reports whether a team uses more than its maximum.
func (c *Counter) Above(team citron.Team) bool {
	known := Counter{maxima: c.maxima, used: c.used}
	return known.Fits(team, citron.Capacity{}, 1) == 0
}

// Suits reports whether a team's maximum allows a number of tasks of a size together, if nothing else of the team runs.
func (c *Counter) Suits(team citron.Team, need citron.Capacity, tasks int) bool {
	empty := Counter{maxima: c.maxima}
	return empty.Fits(team, need, tasks) >= tasks
}

// noLimit is more tasks than any step has.
const noLimit = 1 << 30

// copies returns how many times need fits below the maximum in one dimension.
func copies(maximum, used, unknown, need int64) int {
	if maximum == 0 {
		return noLimit
	}
	left := maximum - used
	if unknown > 0 {
		left = min(left, maximum+int64(unknownOverage*float64(maximum))-used-unknown)
	}
	switch {
	case left < 0:
		return 0
	case need <= 0:
		return noLimit
	}
	return int(min(left/need, noLimit))
}
