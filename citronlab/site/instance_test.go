package site

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
)

// A worker checks its runs only when it gets a call, which may be after both the end of the run and the end of the
// lease. The run must then be reported as done, not as ended by the expired lease.
func TestRunThatEndedBeforeTheLeaseIsDone(t *testing.T) {
	clock := &timer.Immediate{}
	clock.Advance(time.Second)
	i := &Instance{Timer: clock, ID: "i", RunTime: 30 * time.Millisecond}
	call := func(name, body string) string {
		w := httptest.NewRecorder()
		i.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/citroncross/"+name, strings.NewReader(body)))
		return w.Body.String()
	}
	call("run-start", `{"task":"j.0.0.0","run":1,"deadline_ms":3601100,"fencing_token":1,"ticket":"t"}`)
	clock.Advance(200 * time.Millisecond)
	if report := call("hold", `{"fencing_token":1}`); !strings.Contains(report, `"done"`) {
		t.Errorf("report %s, want end kind \"done\": the run ended 70 ms before the lease", report)
	}
}
