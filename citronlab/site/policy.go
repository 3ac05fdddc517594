package site

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// Policy is the policy service. It allows every step on every worker unless restricted by Allow. The zero value works.
type Policy struct {
	mu       sync.Mutex
	allow    func(step, worker string) bool
	requests int
}

// Allow sets which steps may run on which workers.
func (p *Policy) Allow(allow func(step, worker string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allow = allow
}

// Requests returns the number of requests so far.
func (p *Policy) Requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

// ServeHTTP handles the call advise.
func (p *Policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || strings.TrimPrefix(r.URL.Path, "/citroncross/") != "advise" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.requests++
	allow := p.allow
	p.mu.Unlock()
	reply := struct {
		Eligible [][2]string `json:"eligible"`
		ValidMs  int         `json:"valid_ms"`
	}{Eligible: [][2]string{}, ValidMs: 2500}
	for _, worker := range request.Workers {
		if allow == nil || allow(request.Step, worker) {
			reply.Eligible = append(reply.Eligible, [2]string{worker, "t-" + worker})
		}
	}
	writeJSON(w, http.StatusOK, reply)
}
