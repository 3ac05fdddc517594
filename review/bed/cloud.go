package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// cloud is the platform's machine service.
type cloud struct {
	bed *bed
	// All is guarded by bed.mu.
	done      map[string]bool
	downUntil map[string]time.Time
	tokens    map[string]uint64
	orders    int
	// onOrder, if set, is called with each upkeep order and reports whether it is to be carried out late and without an answer.
	onOrder func(machine string) bool
}

// ServeHTTP handles machines and machine-upkeep.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := strings.TrimPrefix(r.URL.Path, "/citroncross/")
	switch call {
	case "machines":
		c.list(w)
	case "machine-upkeep":
		c.upkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	b := c.bed
	b.mu.Lock()
	machines := []any{}
	for _, l := range b.lives {
		if !l.gone {
			machines = append(machines, map[string]any{"machine": l.machine, "pool": service, "state": "up", "zone": "z1", "id": l.id, "labels": []string{"a", l.rack}, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}})
		}
	}
	for m := range c.downUntil {
		machines = append(machines, map[string]any{"machine": m, "pool": service, "state": "upkeep", "zone": "z1", "id": ""})
	}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
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
	b := c.bed
	b.mu.Lock()
	c.orders++
	b.log("upkeep of %s ordered by %s, token %d", o.Machine, r.Header.Get("Citroncross-Lease-Holder"), token)
	if c.onOrder != nil && c.onOrder(o.Machine) {
		b.mu.Unlock()
		go func() {
			time.Sleep(orderLate)
			b.mu.Lock()
			defer b.mu.Unlock()
			status, reason := c.begin(o.Machine, fmt.Sprintf("%s/%d", o.Machine, o.Wave), token, true)
			b.log("the late order for %s with token %d: %d %s", o.Machine, token, status, reason)
		}()
		<-r.Context().Done()
		return
	}
	status, reason := c.begin(o.Machine, fmt.Sprintf("%s/%d", o.Machine, o.Wave), token, false)
	b.mu.Unlock()
	if reason != "" {
		writeJSON(w, status, map[string]string{"reason": reason})
		return
	}
	writeJSON(w, status, struct{}{})
}

// begin takes a machine down unless that was done for the wave. The lock is held. What a late order ends is not judged.
func (c *cloud) begin(machine, key string, token uint64, late bool) (status int, reason string) {
	b := c.bed
	if token < c.tokens[machine] {
		return http.StatusConflict, "fence"
	}
	c.tokens[machine] = token
	if c.done[key] && c.downUntil[machine].IsZero() {
		return http.StatusOK, ""
	}
	for _, l := range b.lives {
		if l.machine != machine || l.gone {
			continue
		}
		c.done[key] = true
		c.downUntil[machine] = time.Now().Add(upkeepTime)
		if !late {
			b.checkAvailable(l)
		}
		go func() {
			b.crash(l, "upkeep")
			time.Sleep(upkeepTime)
			if _, err := b.addWorker(l.id+"-2", l.machine, l.rack, "", time.Second); err != nil {
				b.note("no executor after the upkeep of %s: %v", machine, err)
			}
			b.mu.Lock()
			delete(c.downUntil, machine)
			b.mu.Unlock()
		}()
		return http.StatusOK, ""
	}
	return http.StatusConflict, "busy"
}

// checkAvailable checks that an upkeep ends no more tasks at work of a step than may be missing. The lock is held.
func (b *bed) checkAvailable(l *life) {
	now := time.Now()
	atWork := map[string]int{}
	for _, r := range l.sorted() {
		b.log("upkeep of %s ends %s run %d at %d %%", l.machine, r.task, r.number, r.percent(now))
		if r.spec.mayMiss > 0 && r.percent(now) == 100 {
			atWork[r.task[:strings.LastIndexByte(r.task, '.')]]++
		}
	}
	for step, n := range atWork {
		index := step + ".0"
		if spec, _ := b.specOf(index); n > spec.mayMiss {
			b.violate("AVAIL: the upkeep of %s ends %d tasks of step %s that are at work; %d may be missing at the same time", l.machine, n, step, spec.mayMiss)
		}
	}
}
