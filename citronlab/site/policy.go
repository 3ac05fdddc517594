package site

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// Policy is the policy service. It allows every step on every worker unless Allow says otherwise. The zero value works.
type Policy struct {
	mu    sync.Mutex
	allow func(step, worker string) bool
	asked int
}

// Allow sets which steps may run on which workers.
func (p *Policy) Allow(allow func(step, worker string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allow = allow
}

// Requests returns the number of questions so far.
func (p *Policy) Requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// ServeHTTP answers one question.
func (p *Policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var question struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&question); err != nil || strings.TrimPrefix(r.URL.Path, "/citroncross/") != "advise" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.asked++
	allow := p.allow
	p.mu.Unlock()
	reply := struct {
		Eligible [][2]string `json:"eligible"`
		ValidMs  int         `json:"valid_ms"`
	}{Eligible: [][2]string{}, ValidMs: 2500}
	for _, worker := range question.Workers {
		if allow == nil || allow(question.Step, worker) {
			reply.Eligible = append(reply.Eligible, [2]string{worker, "t-" + worker})
		}
	}
	writeJSON(w, http.StatusOK, reply)
}
