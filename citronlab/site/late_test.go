package site

import "testing"

// Guards against daemons whose orders do not fence the ones before that were not answered: those would reach the next life of
// the worker under its id.
func TestOrdersAfterAnUnansweredOneFenceIt(t *testing.T) {
	c := startCell(t, "127.0.0.58", 1)
	i := c.site.Instances()[0]
	c.waitUntil(func() bool { return i.HighestToken() > 0 })
	first := i.HighestToken()
	i.LoseAnswers(func(call string) bool { return call == "hold" })
	c.waitUntil(func() bool { return i.HighestToken() > first })
	i.LoseAnswers(nil)
	ids := []string{c.submit(twoSteps), c.submit(twoSteps)}
	c.waitUntilCompleted(ids)
	holder := c.holder()
	i.Crash()
	if err := c.site.RestartInstance(i); err != nil {
		t.Fatal(err)
	}
	instances := c.site.Instances()
	restarted := instances[len(instances)-1]
	c.waitUntil(func() bool { return restarted.HighestToken() > i.HighestToken() })
	if c.holder() != holder {
		t.Error("the pool has changed hands, want the tokens of one holder")
	}
	c.checkStarts()
}
