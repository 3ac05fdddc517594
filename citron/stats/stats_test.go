package stats

import (
	"fmt"
	"strings"
	"testing"

	"github.com/citroncross/citroncross/citron"
)

// Guards against a number of series that grows with the teams that configurations list over time.
func TestTeamLabelsAreLimited(t *testing.T) {
	s := New()
	for n := range maxTeamLabels + 50 {
		s.CountTeamJob(citron.Team(fmt.Sprintf("t%d", n)), true)
	}
	s.CountTeamJob("t0", true)
	var text strings.Builder
	s.set.WritePrometheus(&text)
	if n := strings.Count(text.String(), "citron_team_jobs_total{"); n != maxTeamLabels+1 {
		t.Errorf("%d series, want %d", n, maxTeamLabels+1)
	}
	for _, line := range []string{`citron_team_jobs_total{Team="other",Accepted="true"} 50`, `citron_team_jobs_total{Team="t0",Accepted="true"} 2`} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("no line %s", line)
		}
	}
}
