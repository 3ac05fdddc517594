package site

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
)

// The worker looks at its runs only when it is asked, which may be long after they have ended.
func TestRunThatEndedBeforeTheLeaseIsDone(t *testing.T) {
	clock := &timer.Immediate{}
	clock.Advance(time.Second)
	e := &Executor{Timer: clock, ID: "i", RunTime: 30 * time.Millisecond}
	ask := func(call, body string) string {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/citroncross/"+call, strings.NewReader(body)))
		return w.Body.String()
	}
	ask("run-start", `{"task":"j.0.0.0","run":1,"deadline_ms":3601100,"fencing_token":1,"ticket":"t"}`)
	clock.Advance(200 * time.Millisecond)
	if report := ask("hold", `{"fencing_token":1}`); !strings.Contains(report, `"done"`) {
		t.Errorf("report %s; the run ended 70 ms before the lease", report)
	}
}
