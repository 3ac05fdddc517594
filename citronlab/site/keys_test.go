package site

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
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
	c.waitForKeys(map[string]int{"a": http.StatusOK, "": http.StatusUnauthorized})
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

// Two teams submit one id to daemons that do not know of each other's job yet. The first record in the store must count at
// every daemon, also at one that is started later. Records in different partitions have no order (docs/design/keys.md), so only the
// first partition takes appends, and an id is used only if neither record was appended twice.
func TestFirstOfTwoTeamsKeepsItsJob(t *testing.T) {
	c := startCell(t, "127.0.0.55", 3)
	c.site.PublishTeams(2, teamsWithKeys("a"), "quick", "bulk")
	// Without a team in the configuration every key is accepted, and so is none.
	c.waitForKeys(map[string]int{"a": http.StatusOK, "b": http.StatusOK, "": http.StatusUnauthorized})
	holder := c.holder()
	first, second := (holder+1)%3, (holder+2)%3
	var appends atomic.Int64
	c.site.Store.SetFailures(func(call, topic, part string) Failure {
		if call == "log-append" && topic == jobsTopic {
			if appends.Add(1); part != "0" {
				return Busy
			}
		}
		if call == "log-read" && topic == jobsTopic {
			return Unresponsive
		}
		return NoFailure
	})
	// No worker has room, so that the job does not end meanwhile.
	const body = `{"spec":"x","steps":[{"count":1,"cpu":900000,"mem_mb":100}]}`
	id, tries := "", 0
	keyed := func(key string, front int, method string) int {
		client := Client{Key: key}
		status, _ := client.Call(c.fronts[front], method, "/quick/"+id, body)
		return status
	}
	c.waitUntil(func() bool {
		// A read that began before the failures may still show the first job to the second daemon; then another id is used.
		tries++
		id = fmt.Sprintf("%016x", 0xaa00+tries)
		appends.Store(0)
		return keyed("a", first, http.MethodPost) == http.StatusOK && keyed("b", second, http.MethodPost) == http.StatusOK && appends.Load() == 2
	})
	c.site.Store.SetFailures(nil)
	belongsToFirst := func(front int) bool {
		return keyed("a", front, http.MethodGet) == http.StatusOK && keyed("b", front, http.MethodGet) == http.StatusGone
	}
	for front := range c.daemons {
		c.waitUntil(func() bool { return belongsToFirst(front) })
	}
	// The holder has stored the first team's record (field 10 is "a") again.
	c.waitUntil(func() bool { return strings.Contains(c.site.Store.Value(jobsTopic, "job/"+id), "R\x01a") })
	c.site.Store.Compact()
	c.daemons[second].Kill()
	c.launch(second)
	c.waitUntil(func() bool { return c.loaded(second) && c.pendingStatus(second, "a") == http.StatusOK })
	if !belongsToFirst(second) || keyed("b", second, http.MethodPost) != http.StatusConflict {
		t.Error("a daemon that was started later takes the job for the second team's")
	}
	if status := keyed("a", second, http.MethodDelete); status != http.StatusOK {
		t.Errorf("the first team's cancellation is answered with %d", status)
	}
}
