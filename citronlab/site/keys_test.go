package site

import (
	"net/http"
	"testing"
	"time"
)

// configApply is the time in which a version of the configuration must be in force at every daemon.
const configApply = 3 * time.Second

// teamsWithKeys returns two teams without limits. The first one has the given keys, the second one has key "b".
func teamsWithKeys(keys ...string) []TeamEntry {
	return []TeamEntry{{Name: "a", Keys: keys, Weight: 1}, {Name: "b", Keys: []string{"b"}, Weight: 1}}
}

// pendingStatus returns the status of a count of pending jobs at a daemon with a key.
func (c *cell) pendingStatus(front int, key string) int {
	client := Client{Key: key}
	status, _ := client.Call(c.fronts[front], http.MethodGet, "/quick/", "")
	return status
}

// waitForKeys waits until every daemon answers with the wanted status for each key, and returns how long that took.
func (c *cell) waitForKeys(want map[string]int) time.Duration {
	began := c.site.Timer.Now().Boot
	for front := range c.daemons {
		for key, status := range want {
			c.waitUntil(func() bool { return c.pendingStatus(front, key) == status })
		}
	}
	return c.site.Timer.Now().Boot - began
}

// A withdrawn key must be refused, and an added one accepted, by every daemon soon after the configuration is written and
// by one that is started later.
func TestKeysFollowTheConfigurationAtEveryDaemon(t *testing.T) {
	c := startCell(t, "127.0.0.53", 3)
	c.site.PublishTeams(2, teamsWithKeys("old"), "quick", "bulk")
	c.waitForKeys(map[string]int{"old": http.StatusOK, "new": http.StatusUnauthorized, "": http.StatusUnauthorized})
	c.client.Key = "old"
	id := c.submit(twoSteps)
	c.site.PublishTeams(3, teamsWithKeys("new"), "quick", "bulk")
	want := map[string]int{"old": http.StatusUnauthorized, "new": http.StatusOK, "b": http.StatusOK}
	if took := c.waitForKeys(want); took > configApply {
		t.Errorf("the keys were in force after %v, want at most %v", took, configApply)
	}
	// The operator's records may be compacted before a daemon starts.
	c.site.Store.Compact()
	c.daemons[0].Kill()
	c.launch(0)
	// Until it has read a configuration the daemon refuses every call.
	c.waitUntil(func() bool {
		status := c.pendingStatus(0, "old")
		if status == http.StatusOK {
			t.Fatal("a daemon that was started again accepts a withdrawn key")
		}
		return status == http.StatusUnauthorized
	})
	c.waitForKeys(want)
	c.client.Key = "new"
	c.waitUntilCompleted([]string{id})
	c.client.Key = "b"
	for front := range c.daemons {
		if status, _ := c.call(front, http.MethodGet, "/quick/"+id, ""); status != http.StatusGone {
			t.Errorf("daemon %d answers %d for another team's job, want 410", front, status)
		}
		if status, _ := c.call(front, http.MethodPost, "/quick/"+id, twoSteps); status != http.StatusConflict {
			t.Errorf("daemon %d answers %d to the id of another team's job, want 409", front, status)
		}
	}
	c.checkStarts()
}

// With revoke_strict a daemon that the store does not answer must stop accepting keys, and accept them again later.
func TestStrictRevocationAtADaemonWithoutTheConfiguration(t *testing.T) {
	c := startCell(t, "127.0.0.54", 1)
	c.daemons[0].Kill()
	c.strict = true
	c.launch(0)
	c.site.PublishTeams(2, teamsWithKeys("a"), "quick")
	c.waitForKeys(map[string]int{"a": http.StatusOK})
	c.site.Store.SetFailures(func(_, topic, _ string) Failure {
		if topic == "keyed.op" {
			return Unresponsive
		}
		return NoFailure
	})
	c.waitForKeys(map[string]int{"a": http.StatusServiceUnavailable})
	c.site.Store.SetFailures(nil)
	c.waitForKeys(map[string]int{"a": http.StatusOK})
}
