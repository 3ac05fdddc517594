package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upkeepTakes is how long a machine is down for its upkeep.
const upkeepTakes = 200 * time.Millisecond

// Cloud lists the machines and takes them down for upkeep. Moves are not played.
type Cloud struct {
	Site *Site

	mu     sync.Mutex
	tokens map[string]uint64
	// had counts the upkeeps of each machine by wave.
	had      map[string]int
	down     map[string]bool
	mostDown int
	calls    int
	lose     func(call int) (before, after bool)
}

// LoseCalls has calls go unanswered: before they are carried out, or after.
func (c *Cloud) LoseCalls(lose func(call int) (before, after bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = lose
}

// Upkeeps returns how many upkeeps each machine had, and how many were down at once at the most.
func (c *Cloud) Upkeeps() (had map[string]int, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	had = map[string]int{}
	for key, n := range c.had {
		had[key] = n
	}
	return had, c.mostDown
}

// ServeHTTP lists the machines or takes one down.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch call := strings.TrimPrefix(r.URL.Path, "/citroncross/"); {
	case r.Method == http.MethodGet && call == "machines":
		c.list(w)
	case r.Method == http.MethodPost && call == "machine-upkeep":
		c.upkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *Cloud) list(w http.ResponseWriter) {
	type machine struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		State   string `json:"state"`
		ID      string `json:"id"`
	}
	reply := struct {
		Machines  []machine `json:"machines"`
		NextToken *string   `json:"next_token"`
	}{Machines: []machine{}}
	for _, e := range c.Site.Instances() {
		if !e.Gone() {
			reply.Machines = append(reply.Machines, machine{e.Machine, "svc", "up", e.ID})
		}
	}
	c.mu.Lock()
	for m := range c.down {
		reply.Machines = append(reply.Machines, machine{m, "svc", "upkeep", ""})
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (c *Cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Citroncross-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil || r.Header.Get("Citroncross-Lease-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.calls++
	before, after := false, false
	if c.lose != nil {
		before, after = c.lose(c.calls)
	}
	reason := ""
	if !before {
		reason = c.take(order.Machine, fmt.Sprintf("%s/%d", order.Machine, order.Wave), token)
	}
	c.mu.Unlock()
	switch {
	case before || after:
		panic(http.ErrAbortHandler)
	case reason != "":
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reason})
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// take begins an upkeep unless the machine had it. The lock is held.
func (c *Cloud) take(machine, key string, token uint64) (reason string) {
	if c.tokens == nil {
		c.tokens, c.had, c.down = map[string]uint64{}, map[string]int{}, map[string]bool{}
	}
	if token < c.tokens[machine] {
		return "fence"
	}
	c.tokens[machine] = token
	if c.had[key] > 0 {
		return ""
	}
	for _, e := range c.Site.Instances() {
		if e.Machine == machine && !e.Gone() {
			e.Crash()
			c.had[key]++
			c.down[machine] = true
			c.mostDown = max(c.mostDown, len(c.down))
			c.Site.later(upkeepTakes, func() { c.back(machine) })
			return ""
		}
	}
	return "busy"
}

// back starts the next life of a machine.
func (c *Cloud) back(machine string) {
	var n int
	if _, err := fmt.Sscanf(machine, "m-%d", &n); err != nil {
		return
	}
	if c.Site.AddExecutor(n) != nil {
		return
	}
	c.mu.Lock()
	delete(c.down, machine)
	c.mu.Unlock()
}
