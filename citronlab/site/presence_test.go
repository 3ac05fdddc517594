package site

import "testing"

const cellTopic = "keyed.citron.cell"

// Guards against records of stopped daemons that stay in the store for good, and against a daemon that nobody knows any more, since its
// record was removed while it was silent.
func TestPresenceRecordsFollowTheDaemons(t *testing.T) {
	c := startCell(t, "127.0.0.78", 3)
	present := func(name string) bool { return c.site.Store.Value(cellTopic, "peer/"+name) != "" }
	names := []string{"entry-0", "entry-1", "entry-2"}
	for _, name := range names {
		c.waitUntil(func() bool { return present(name) })
	}
	for _, name := range names {
		c.site.Store.Put(cellTopic, "peer/"+name, nil)
	}
	for _, name := range names {
		c.waitUntil(func() bool { return present(name) })
	}
	stopped := (c.holder() + 1) % 3
	c.daemons[stopped].Stop()
	c.daemons[stopped] = nil
	if present(names[stopped]) {
		t.Errorf("the record of %s is left after its planned stop", names[stopped])
	}
	c.launch(stopped)
	c.waitUntil(func() bool { return present(names[stopped]) })
	c.waitUntilCompleted([]string{c.submit(`{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":30}]}`)})
}
