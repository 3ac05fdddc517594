package site

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/schema/work"
)

// claim returns the newest claim of the pool.
func (c *cell) claim() *work.Claim {
	c.t.Helper()
	newest := &work.Claim{}
	if err := proto.Unmarshal([]byte(c.site.Store.Value("keyed.citron.cell", "claim/0")), newest); err != nil {
		c.t.Fatal(err)
	}
	return newest
}

// Guards against a restarted holder that claims the pool again before it has read the accepted jobs.
func TestRestartedHolderLeavesThePoolToADaemonThatHasLoaded(t *testing.T) {
	c := startCell(t, "127.0.0.49", 2)
	restarted := c.holder()
	before := c.claim()
	ids := []string{c.submit(twoSteps)}
	c.waitUntilCompleted(ids)
	c.waitUntil(func() bool { return c.loaded(1 - restarted) })
	c.failNewest(func(int64) bool { return true })
	c.daemons[restarted].Kill()
	c.launch(restarted)
	c.waitUntil(func() bool { return c.claim().GetEpoch() > before.GetEpoch() })
	if got, want := c.claim().GetVM(), fmt.Sprintf("entry-%d", 1-restarted); got != want {
		t.Errorf("%s claims the pool, want %s, which has read the accepted jobs", got, want)
	}
	c.site.Store.SetFailures(nil)
	c.waitUntilCompleted(append(ids, c.submit(twoSteps)))
	c.checkStarts()
}
