package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/pool"
)

// Guards against a kind of decision without an event, and against a pair that is logged without its kinds and counts.
func TestPairsAreLogged(t *testing.T) {
	var out bytes.Buffer
	d := &Daemon{Log: event.New(&out, "info", "json", "vm")}
	pair := &citron.InterferingPair{Slowed: citron.TaskKind{Queue: "quick"}, By: citron.TaskKind{Queue: "sweep", Gang: true}, Factor: 1.4567, With: 20, Without: 30}
	d.recordDecision(pool.Decision{Kind: pool.DecidedPairAccepted, Pair: pair})
	d.recordDecision(pool.Decision{Kind: pool.DecidedPairWithdrawn, Pair: pair, Age: time.Second})
	for _, want := range []string{"633", "634", `"Slowed":"quick"`, `"By":"sweep gang"`, `"Factor":1.46`, `"With":20`, `"Without":30`, `"AgeMs":1000`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log has no %s:\n%s", want, out.String())
		}
	}
}
