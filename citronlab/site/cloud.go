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

// upkeepDuration is how long a machine is down for upkeep.
const upkeepDuration = 200 * time.Millisecond

// Cloud is the platform's machine service: it lists the machines and takes them down for upkeep. It does not simulate
// moves of machines.
type Cloud struct {
	Site *Site

	mu sync.Mutex
	// highestTokens holds the highest fencing token seen for each machine.
	highestTokens map[string]uint64
	// upkeeps counts upkeeps by "MACHINE/WAVE".
	upkeeps  map[string]int
	down     map[string]bool
	maxDown  int
	calls    int
	loseCall func(call int) (requestLost, answerLost bool)
}

// LoseCalls sets which upkeep calls, numbered from 1, lose their request or their answer.
func (c *Cloud) LoseCalls(loseCall func(call int) (requestLost, answerLost bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseCall = loseCall
}

// Upkeeps returns the number of upkeeps by "MACHINE/WAVE" and the largest number of machines down at once.
func (c *Cloud) Upkeeps() (upkeeps map[string]int, maxAtOnce int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	upkeeps = map[string]int{}
	for key, n := range c.upkeeps {
		upkeeps[key] = n
	}
	return upkeeps, c.maxDown
}

// ServeHTTP handles the calls machines and machine-upkeep.
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
	for _, i := range c.Site.Instances() {
		if !i.Gone() {
			reply.Machines = append(reply.Machines, machine{i.Machine, "svc", "up", i.ID})
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
	requestLost, answerLost := false, false
	if c.loseCall != nil {
		requestLost, answerLost = c.loseCall(c.calls)
	}
	reason := ""
	if !requestLost {
		reason = c.startUpkeep(order.Machine, fmt.Sprintf("%s/%d", order.Machine, order.Wave), token)
	}
	c.mu.Unlock()
	switch {
	case requestLost || answerLost:
		panic(http.ErrAbortHandler)
	case reason != "":
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reason})
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// startUpkeep takes a machine down unless that was done under the same key before. It returns the reason of a refusal,
// or "". The lock is held.
func (c *Cloud) startUpkeep(machine, key string, token uint64) (reason string) {
	if c.highestTokens == nil {
		c.highestTokens, c.upkeeps, c.down = map[string]uint64{}, map[string]int{}, map[string]bool{}
	}
	if token < c.highestTokens[machine] {
		return "fence"
	}
	c.highestTokens[machine] = token
	if c.upkeeps[key] > 0 {
		return ""
	}
	for _, i := range c.Site.Instances() {
		if i.Machine == machine && !i.Gone() {
			i.Crash()
			c.upkeeps[key]++
			c.down[machine] = true
			c.maxDown = max(c.maxDown, len(c.down))
			c.Site.runAfter(upkeepDuration, func() { c.endUpkeep(machine) })
			return ""
		}
	}
	return "busy"
}

// endUpkeep starts a new worker instance on a machine.
func (c *Cloud) endUpkeep(machine string) {
	var n int
	if _, err := fmt.Sscanf(machine, "m-%d", &n); err != nil {
		return
	}
	if c.Site.AddInstance(n) != nil {
		return
	}
	c.mu.Lock()
	delete(c.down, machine)
	c.mu.Unlock()
}
