package site

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/citroncross/citroncross/citron"
)

// startRelayCell starts a cell in which the holder relays its orders through the other daemons.
func startRelayCell(t *testing.T, ip string, daemons int) *cell {
	t.Helper()
	c := startCellWith(t, ip, daemons, 1)
	for _, i := range c.site.Instances() {
		i.SetNeed(func(string) citron.Capacity { return citron.Capacity{MilliCores: 1000, MemoryMb: 100} })
	}
	return c
}

// relayedOrders returns the number of starts that reached workers from daemons other than the holder.
func (c *cell) relayedOrders() (n int) {
	holder := c.holder()
	for d, daemon := range c.daemons {
		if daemon != nil && d != holder {
			n += c.metric(d, `citron_exchanges_total{Remote="worker",Call="run-start"}`)
		}
	}
	return n
}

// metric returns the value of a counter of daemon n.
func (c *cell) metric(n int, name string) (value int) {
	c.t.Helper()
	response, err := http.Get("http://" + c.metrics[n] + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	_, err = recorder.Body.ReadFrom(response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		c.t.Fatal(err, closeErr)
	}
	for line := range strings.Lines(recorder.Body.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			if _, err := fmt.Sscan(rest, &value); err != nil {
				c.t.Fatal(err)
			}
		}
	}
	return value
}

func TestRelayedTasksStartOnceWithTheirPayload(t *testing.T) {
	c := startRelayCell(t, "127.0.0.43", 4)
	var ids []string
	for range 20 {
		ids = append(ids, c.submit(twoSteps))
	}
	c.waitUntilCompleted(ids)
	for task, n := range c.checkStarts() {
		if n != 1 {
			t.Errorf("task %s started %d times, want 1", task, n)
		}
	}
	if c.relayedOrders() == 0 {
		t.Error("no start was relayed")
	}
}

// Jobs complete while the holder and the daemons that relay its orders are killed, stopped and started again.
func TestRelayingDaemonsAreKilledAndStopped(t *testing.T) {
	c := startRelayCell(t, "127.0.0.44", 4)
	var ids []string
	for round := range 6 {
		for range 5 {
			ids = append(ids, c.submit(twoSteps))
		}
		ended := round % len(c.daemons)
		if round%2 == 0 {
			c.daemons[ended].Kill()
		} else {
			c.daemons[ended].Stop()
		}
		c.daemons[ended] = nil
		for range 5 {
			ids = append(ids, c.submit(twoSteps))
		}
		c.waitUntil(func() bool { return c.holder() >= 0 })
		c.launch(ended)
	}
	c.waitUntilCompleted(ids)
	c.checkStarts()
}
