package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upkeepTime is how long an upkeep takes.
const upkeepTime = 2 * time.Second

// cloud is a stand-in of the platform's machine service.
type cloud struct {
	lab *lab

	mu     sync.Mutex
	tokens map[string]uint64
	begun  map[string]bool
	down   map[string]bool
	// onOrder, if set, is called when an upkeep order arrives.
	onOrder func()
	// silentUntil is the time before which no call is answered or carried out.
	silentUntil time.Time
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "machine-upkeep") && c.onOrder != nil {
		c.onOrder()
	}
	if c.silent() {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/citroncross/") {
	case "machines":
		c.list(w)
	case "machine-upkeep":
		c.upkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.silentUntil)
}

// fallSilent makes the service silent for a time.
func (c *cloud) fallSilent(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentUntil = time.Now().Add(d)
}

func (c *cloud) list(w http.ResponseWriter) {
	list := []map[string]any{}
	c.mu.Lock()
	for _, x := range c.lab.present() {
		list = append(list, map[string]any{"machine": x.machine, "pool": "svc", "state": "up", "zone": "z", "id": x.id})
	}
	for m := range c.down {
		list = append(list, map[string]any{"machine": m, "pool": "svc", "state": "upkeep", "zone": "z", "id": ""})
	}
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "next_token": ""})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Citroncross-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reason := c.begin(o.Machine, token, r.Header.Get("Citroncross-Lease-Holder"))
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason})
		return
	}
	_, _ = w.Write([]byte("{}"))
}

func (c *cloud) begin(machine string, token uint64, holder string) (reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens == nil {
		c.tokens, c.begun, c.down = map[string]uint64{}, map[string]bool{}, map[string]bool{}
	}
	switch {
	case token < c.tokens[machine]:
		return "fence"
	case c.begun[machine]:
		return ""
	}
	c.tokens[machine] = token
	for n, x := range c.lab.present() {
		if x.machine != machine {
			continue
		}
		c.lab.note("cloud", "upkeep of %s begins, ordered by %s with token %d, %d runs on it", machine, holder, token, x.load())
		c.begun[machine], c.down[machine] = true, true
		x.leave()
		time.AfterFunc(upkeepTime, func() {
			_ = c.lab.addExecutor(machine, n)
			c.mu.Lock()
			delete(c.down, machine)
			c.mu.Unlock()
		})
		return ""
	}
	return "busy"
}
