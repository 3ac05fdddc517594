package entry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/stats"
)

// The number of team labels must stay bounded whatever the configuration names, also over several versions of it.
func TestTeamGaugesAreBounded(t *testing.T) {
	d := &Daemon{Stats: stats.New()}
	for version := range 3 {
		teams := []citron.TeamTerms{{Name: "a\"\n{}"}}
		for n := range 100 {
			teams = append(teams, citron.TeamTerms{Name: citron.Team(fmt.Sprintf("team-%d-%d", version, n))})
		}
		d.mu.Lock()
		d.registerTeamGauges(teams)
		d.mu.Unlock()
	}
	var text bytes.Buffer
	d.Stats.Write(&text)
	for _, name := range []string{"citron_team_used_cores{", "citron_team_maximum_cores{"} {
		if n := strings.Count(text.String(), name); n != maxGaugedTeams {
			t.Errorf("%d gauges %s, want %d", n, name, maxGaugedTeams)
		}
	}
}
